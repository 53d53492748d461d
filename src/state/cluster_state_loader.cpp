#include "state/cluster_state_loader.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "state/record_codec.hpp"
#include "state/record_reading.hpp"
#include "state/task_ranges.hpp"
#include "state/while_in_term.hpp"

namespace dunebridge::state {

namespace {
constexpr Millis kTerminalCheckTimeout{2500};
constexpr Millis kRetryBackoff{150};
}  // namespace

// The order matters: dependency and progress records refer to jobs, and progress records refer to
// machines.
const ClusterStateLoader::Step ClusterStateLoader::kSteps[] = {
    {kv::kJobPrefix, &ClusterStateLoader::apply_job},
    {kv::kDependencyPrefix, &ClusterStateLoader::apply_dependencies},
    {kv::kScaleOutPrefix, &ClusterStateLoader::apply_scale_out},
    {kv::kProgressPrefix, &ClusterStateLoader::apply_progress}};

ClusterStateLoader::ClusterStateLoader(sansio::Context& context, kv::KvClient& kv_client,
                                       coordination::Election& election,
                                       ClusterState& cluster_state, ClusterStateFollower& follower,
                                       const config::Config& config)
    : context_(context),
      kv_client_(kv_client),
      election_(election),
      state_(cluster_state),
      follower_(follower),
      config_(config) {}

void ClusterStateLoader::load() {
    state_.begin_term();
    started_at_ = context_.now();
    run_step(0);
}

void ClusterStateLoader::run_step(std::size_t index) {
    const auto handle = [this, index](const kv::ListResult& result) { handle_rows(index, result); };
    kv_client_.list(kSteps[index].prefix, while_in_term<kv::ListResult>(state_, handle));
}

void ClusterStateLoader::handle_rows(std::size_t step_index, const kv::ListResult& result) {
    if (!result.available) {
        retry([this, step_index] { run_step(step_index); });
        return;
    }
    if (step_index == 0) first_revision_ = result.rev;
    // The member pointer is read out of the array once, before the call: GCC 12 for arm64 with
    // -fsanitize=bounds reads an array index within `->*` from an uninitialized variable.
    const auto apply = kSteps[step_index].apply;
    const auto invalid =
        apply_entries(result.entries, [this, apply](const kv::Entry& row) { (this->*apply)(row); });
    if (invalid) {
        resign_over_invalid_record(context_, election_, *invalid);
        return;
    }
    if (step_index + 1 < std::size(kSteps)) {
        run_step(step_index + 1);
    } else {
        complete_jobs();
    }
}

// Repeats a read that failed because the key-value store was rate-limited or slow. A new term would
// start the whole load again and cause even more reads. Loss of leadership is detected elsewhere.
void ClusterStateLoader::retry(std::function<void()> read) {
    context_.after(kRetryBackoff + context_.jitter(kRetryBackoff),
                   while_in_term(state_, std::move(read)));
}

// ---- steps ----

void ClusterStateLoader::apply_job(const kv::Entry& row) {
    state_.add_job(kv::decode_job_record(row.value), row.rev);
}

// Skips the records of a job that was created after the jobs were read: the follower reads them.
void ClusterStateLoader::apply_dependencies(const kv::Entry& row) {
    const auto name = kv::without_prefix(row.key, kv::kDependencyPrefix);
    auto* job = state_.find_job(JobId(name.substr(0, name.rfind('/'))));
    if (job) apply_dependency_record(state_, *job, row);
}

void ClusterStateLoader::apply_scale_out(const kv::Entry& row) {
    if (row.key == kv::kFormatMarkerKey && config_.newest_record_format >= config::kRangeFormat) {
        state_.restore_format(decode_format_mark(row.value, config_.newest_record_format));
    } else {
        state_.restore_scale_out(decode_scale_out_record(row.value));
    }
    state_.stored().set(row.key, row.rev);
}

void ClusterStateLoader::apply_progress(const kv::Entry& row) {
    const auto record = decode_progress(row, config_.newest_record_format);
    state_.stored().set(row.key, row.rev);
    auto& job = find_or_add_job(record.job, record.from + record.size);
    const auto task_count = static_cast<std::uint32_t>(job.tasks.size());
    if (record.from >= task_count) throw wire::DecodeError("from");
    job.ranges.push_back({record.from, std::min(record.size, task_count - record.from), row.key});
    for (const auto index : record.done) {
        if (index < task_count) job.tasks[index].done = true;
    }
    for (const auto index : record.preemption_protected) {
        if (index < task_count) job.tasks[index].preemption_protected = true;
    }
    for (const auto& placement : record.placements) {
        if (placement.task_index >= task_count) throw wire::DecodeError("index");
        // A machine that no scale-out record names any more is kept until it is known to be gone.
        auto* machine = state_.find_machine(placement.machine);
        if (!machine) machine = &state_.create_machine(placement.machine);
        state_.restore_placement(job, placement.task_index, *machine, placement.attempt);
    }
}

// Returns the job of a progress record. If the job is terminal and its own record is deleted, it is
// added as a terminal job, because its recorded placements count until they are known to have
// ended. The number of its tasks is then unknown: there are at least as many as the progress
// records cover.
Job& ClusterStateLoader::find_or_add_job(const JobId& id, std::uint32_t task_count) {
    auto* known = state_.find_job(id);
    auto& job = known ? *known : state_.add_terminal_job(id);
    if (job.spec.task_count == 0 && job.tasks.size() < task_count) job.tasks.resize(task_count);
    return job;
}

// ---- after all records have been read ----

// Derives the fields of each job that its records do not contain.
void ClusterStateLoader::complete_jobs() {
    std::vector<JobId> ids;
    ids.reserve(state_.jobs().size());
    for (auto& [id, job] : state_.jobs()) {
        complete_ranges(job, state_.format());
        std::erase_if(job.pending_tasks, [&tasks = job.tasks](std::uint32_t index) {
            return tasks[index].done || tasks[index].placement != nullptr;
        });
        job.done_count = static_cast<std::uint32_t>(std::count_if(
            job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.done; }));
        state_.finish_if_done(job);
        ids.push_back(id);
    }
    find_terminal_jobs(std::move(ids));
}

// Finds the terminal jobs with transactions that write nothing and require that the jobs' terminal
// records do not exist. A conflict names the keys that do exist, without reading the records.
void ClusterStateLoader::find_terminal_jobs(std::vector<JobId> unchecked) {
    if (unchecked.empty()) {
        finish();
        return;
    }
    const auto count = std::min(unchecked.size(), kv_client_.max_preconditions() / 2);
    std::vector<wire::Precondition> preconditions;
    for (std::size_t i = 0; i < count; ++i) {
        preconditions.push_back({kv::terminal_key(unchecked[i]), KeyRevision()});
    }
    auto handle = [this, count,
                   unchecked = std::move(unchecked)](const kv::TransactionResult& result) mutable {
        handle_terminal_check(std::move(unchecked), count, result);
    };
    kv_client_.compare_and_swap(preconditions, {}, kTerminalCheckTimeout,
                                while_in_term<kv::TransactionResult>(state_, std::move(handle)));
}

// Handles the result of a transaction that covered the first `checked` of the unchecked jobs.
void ClusterStateLoader::handle_terminal_check(std::vector<JobId> unchecked, std::size_t checked,
                                               const kv::TransactionResult& result) {
    if (result.outcome == kv::TransactionOutcome::ok) {
        unchecked.erase(unchecked.begin(),
                        unchecked.begin() + static_cast<std::ptrdiff_t>(checked));
    } else if (result.outcome == kv::TransactionOutcome::conflict &&
               !result.conflicting_keys.empty()) {
        for (const auto& key : result.conflicting_keys) {
            const JobId id(kv::without_prefix(key, kv::kTerminalPrefix));
            state_.mark_terminal(id, context_.wall_ms());
            std::erase(unchecked, id);
        }
    } else {
        retry([this, unchecked = std::move(unchecked)] { find_terminal_jobs(unchecked); });
        return;
    }
    find_terminal_jobs(std::move(unchecked));
}

void ClusterStateLoader::finish() {
    state_.set_loaded();
    build_dependency_graph();
    context_.log(sansio::LogLevel::info,
                 "event=state_loaded term={} jobs={} machines={} open_scale_outs={}",
                 election_.term().get(), state_.jobs().size(), state_.machines().size(),
                 state_.unanswered_scale_outs().size());
    follower_.start(first_revision_, started_at_);
}

// Adds all jobs to the dependency graph. Dependency records of a job may be missing because it was
// cancelled in the meantime. Any other job must not start without them: this node resigns.
void ClusterStateLoader::build_dependency_graph() {
    for (auto& [id, job] : state_.jobs()) {
        if (job.state == JobState::active &&
            job.dependencies.records_read < job.dependencies.record_count) {
            resign_over_invalid_record(
                context_, election_, {kv::dependency_prefix(id), "dependency records are missing"});
            return;
        }
        state_.dependencies().add(job);
    }
}

}  // namespace dunebridge::state
