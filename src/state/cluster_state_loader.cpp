#include "state/cluster_state_loader.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::state {

using kv::kDependencyPrefix;
using kv::kJobPrefix;
using kv::kProgressPrefix;
using kv::kScaleOutPrefix;
using kv::kTerminalPrefix;
using kv::Outcome;
using kv::without_prefix;

namespace {
constexpr Millis kCheckTimeout{2500};
constexpr Millis kWatchWait{8000};
constexpr Millis kLeastWait{500};
constexpr Millis kWatchRetry{300};
constexpr Millis kWatchPause{20};  // gathers changes that come together into one answer
constexpr Millis kReadAgain{500};
constexpr Millis kLoadRetry{150};
// For how long another node may lead that can read what this one cannot.
constexpr Millis kStandAside{20000};
}  // namespace

ClusterStateLoader::ClusterStateLoader(sansio::Context& port, kv::KvClient& store,
                                       coordination::Election& election,
                                       ClusterState& cluster_state, const config::Config& config)
    : context_(port),
      kv_client_(store),
      election_(election),
      state_(cluster_state),
      config_(config) {}

void ClusterStateLoader::load() {
    state_.begin();
    terminal_records_read_at_ = context_.now();
    load_next(0, state_.generation());
}

void ClusterStateLoader::load_next(std::size_t step, std::uint64_t generation) {
    struct Step {
        const char* prefix;
        void (ClusterStateLoader::*take)(const kv::ListResult&);
    };
    static constexpr Step steps[] = {{kJobPrefix, &ClusterStateLoader::load_jobs},
                                     {kDependencyPrefix, &ClusterStateLoader::load_dependencies},
                                     {kScaleOutPrefix, &ClusterStateLoader::load_rentals},
                                     {kProgressPrefix, &ClusterStateLoader::load_progress}};
    if (step == std::size(steps)) {
        std::vector<JobId> ids;
        ids.reserve(state_.jobs().size());
        for (const auto& [id, job] : state_.jobs()) ids.push_back(id);
        check_ends(std::move(ids), generation);
        return;
    }
    kv_client_.list(steps[step].prefix, [this, step, generation](const kv::ListResult& result) {
        if (!state_.current(generation)) return;
        if (!result.answered) {
            try_again([this, step, generation] { load_next(step, generation); });
            return;
        }
        if (step == 0) load_revision_ = result.rev;
        (this->*steps[step].take)(result);
        if (state_.current(generation)) load_next(step + 1, generation);
    });
}

// A read that the service refused, as it is over its rate or slow, is made again: a new term would
// only begin the whole load anew, and with it as many reads. Whether this node still leads is known
// apart from that.
void ClusterStateLoader::try_again(std::function<void()> read) {
    context_.after(kLoadRetry + context_.jitter(kLoadRetry),
                   [this, read = std::move(read), generation = state_.generation()] {
                       if (state_.current(generation)) read();
                   });
}

// A record that cannot be read stops the load: going on without it would lose a job or a task. A
// node that knows the format may lead meanwhile.
void ClusterStateLoader::bad_record(const std::string& key, const std::string& error) {
    context_.log(sansio::LogLevel::error, "event=invalid_record key={} error=\"{}\"", key, error);
    election_.resign(kStandAside);
}

// False if a record could not be read; the load has then been given up.
bool ClusterStateLoader::take_rows(const kv::ListResult& result,
                                   const std::function<void(const kv::Row&)>& take) {
    const kv::Row* current = nullptr;
    try {
        for (const auto& row : result.rows) {
            current = &row;
            take(row);
        }
    } catch (const wire::DecodeError& e) {
        bad_record(current->key, e.what());
        return false;
    }
    return true;
}

void ClusterStateLoader::load_jobs(const kv::ListResult& result) {
    take_rows(result, [this](const kv::Row& row) {
        state_.add_job(kv::decode_job_record(row.value), row.rev);
    });
}

// Parts of a job that was created after the jobs were read come with the watch.
void ClusterStateLoader::load_dependencies(const kv::ListResult& result) {
    take_rows(result, [this](const kv::Row& row) {
        const auto name = without_prefix(row.key, kDependencyPrefix);
        auto* job = state_.find_job(JobId(name.substr(0, name.rfind('/'))));
        if (job) take_dependency_part(*job, row);
    });
}

void ClusterStateLoader::load_rentals(const kv::ListResult& result) {
    take_rows(result, [this](const kv::Row& row) {
        if (row.key == kv::kFormatMark && config_.newest_record_format >= config::kRangeFormat) {
            state_.restore_format(decode_format_mark(row.value, config_.newest_record_format));
        } else {
            state_.restore_scale_out(decode_scale_out_record(row.value));
        }
        state_.stored().set(row.key, row.rev);
    });
}

void ClusterStateLoader::load_progress(const kv::ListResult& result) {
    if (!take_rows(result, [this](const kv::Row& row) { load_progress_record(row); })) return;
    for (auto& [id, job] : state_.jobs()) {
        complete_ranges(job, state_.format());
        std::erase_if(job.waiting, [&, &tasks = job.tasks](std::uint32_t i) {
            return tasks[i].done || tasks[i].at != nullptr;
        });
        job.done = static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(),
                                                            [](const Task& t) { return t.done; }));
        state_.finish_if_done(job);
    }
}

void ClusterStateLoader::load_progress_record(const kv::Row& row) {
    const auto record = decode_progress(row, config_.newest_record_format);
    state_.stored().set(row.key, row.rev);
    // Where the job is over and its record gone, what was recorded counts until proved gone.
    auto* known = state_.find_job(record.job);
    auto& job = known ? *known : state_.add_terminal_job(record.job);
    const auto end = record.from + record.size;
    if (job.spec.task_count == 0 && job.tasks.size() < end) job.tasks.resize(end);
    const auto size = static_cast<std::uint32_t>(job.tasks.size());
    if (record.from >= size) throw wire::DecodeError("from");
    job.ranges.push_back({record.from, std::min(record.size, size - record.from), row.key});
    for (const auto index : record.done) {
        if (index < size) job.tasks[index].done = true;
    }
    for (const auto index : record.preemption_protected) {
        if (index < size) job.tasks[index].preemption_protected = true;
    }
    for (const auto& placed : record.placements) {
        if (placed.task_index >= size) throw wire::DecodeError("index");
        // Where no rental names the machine any more, it counts all the same, until proved gone.
        auto* machine = state_.find_machine(placed.machine);
        if (!machine) machine = &state_.create_machine(placed.machine);
        state_.restore_placement(job, placed.task_index, *machine, placed.attempt);
    }
}

// Which of the open jobs have ended: compare-only transactions that name those with an end.
void ClusterStateLoader::check_ends(std::vector<JobId> ids, std::uint64_t generation) {
    if (ids.empty()) {
        finish(generation);
        return;
    }
    const auto n = std::min(ids.size(), kv_client_.max_preconditions() / 2);
    std::vector<wire::Precondition> preconditions;
    for (std::size_t i = 0; i < n; ++i)
        preconditions.push_back({kv::terminal_key(ids[i]), KeyRevision()});
    kv_client_.transact(
        preconditions, {}, kCheckTimeout,
        [this, ids = std::move(ids), n, generation](const kv::TransactionResult& result) mutable {
            if (!state_.current(generation)) return;
            if (result.outcome == Outcome::ok) {
                ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(n));
                check_ends(std::move(ids), generation);
                return;
            }
            if (result.outcome != Outcome::conflict || result.failed.empty()) {
                try_again([this, ids = std::move(ids), generation]() mutable {
                    check_ends(std::move(ids), generation);
                });
                return;
            }
            for (const auto& key : result.failed) {
                const JobId id(without_prefix(key, kTerminalPrefix));
                state_.mark_cancelled(id, context_.wall_ms());
                std::erase(ids, id);
            }
            check_ends(std::move(ids), generation);
        });
}

void ClusterStateLoader::finish(std::uint64_t generation) {
    state_.set_loaded();
    link_dependencies();
    context_.log(sansio::LogLevel::info,
                 "event=state_loaded term={} jobs={} machines={} open_rentals={}",
                 election_.term().get(), state_.jobs().size(), state_.machines().size(),
                 state_.unanswered_scale_outs().size());
    watch(kJobPrefix, load_revision_, generation);
    watch(kTerminalPrefix, load_revision_, generation);
}

// A job whose parts are not all there may have ended meanwhile; else it must not start.
void ClusterStateLoader::link_dependencies() {
    for (auto& [id, job] : state_.jobs()) {
        if (job.state == JobState::active && job.parts_read < job.dependency_parts) {
            bad_record(kv::dependency_prefix(id), "parts are missing");
            return;
        }
        state_.dependencies().add(job);
    }
}

// ---- what others write ----

void ClusterStateLoader::watch(const char* prefix, KeyRevision from, std::uint64_t generation) {
    // What is known of the ends must never be old (Controller::may_renew_leases).
    const bool ends = prefix == std::string_view(kTerminalPrefix);
    const auto wait =
        ends ? std::clamp(config_.max_cancellation_staleness() / 4, kLeastWait, kWatchWait)
             : kWatchWait;
    kv_client_.watch(prefix, from, wait,
                     [this, prefix, from, generation, ends,
                      asked = context_.now()](const kv::WatchResult& result) {
                         if (!state_.current(generation)) return;
                         if (result.kind == kv::WatchResult::Kind::too_old) {
                             election_.require_new_term();
                             return;
                         }
                         const bool failed = result.kind == kv::WatchResult::Kind::failed;
                         for (const auto& change : result.changes) apply_change(change);
                         if (ends && !failed)
                             terminal_records_read_at_ = std::max(terminal_records_read_at_, asked);
                         context_.after(
                             failed ? kWatchRetry : kWatchPause,
                             [this, prefix, generation, next = failed ? from : result.rev] {
                                 if (state_.current(generation)) {
                                     watch(prefix, next, generation);
                                 }
                             });
                     });
}

void ClusterStateLoader::apply_change(const kv::Change& change) {
    if (change.removed) return;
    if (change.key.starts_with(kJobPrefix)) {
        add_new_job(change);
    } else if (change.key.starts_with(kTerminalPrefix)) {
        const JobId id(without_prefix(change.key, kTerminalPrefix));
        const auto end = kv::decode_terminal_record(change.value);
        state_.mark_cancelled(id, end.at_ms);
        state_.ended(id, end.phase);
    }
}

void ClusterStateLoader::add_new_job(const kv::Change& change) {
    Job* job = nullptr;
    try {
        job = state_.add_job(kv::decode_job_record(change.value), change.rev);
    } catch (const wire::DecodeError& e) {
        context_.log(sansio::LogLevel::error, "event=invalid_record key={} error=\"{}\"",
                     change.key, e.what());
        return;
    }
    if (!job) return;
    complete_ranges(*job, state_.format());
    if (job->dependency_parts > 0) {
        read_dependencies(job->spec.id, state_.generation());
    } else {
        state_.dependencies().add(*job);
    }
}

void ClusterStateLoader::take_dependency_part(Job& job, const kv::Row& row) {
    const auto part = kv::decode_dependency_part(row.value);
    ++job.parts_read;
    state_.stored().set(row.key, row.rev);
    if (!part.direct) return;
    auto& direct = job.spec.waits_on;
    direct.insert(direct.end(), part.jobs.begin(), part.jobs.end());
}

// They were created with the job's record.
void ClusterStateLoader::read_dependencies(const JobId& id, std::uint64_t generation) {
    kv_client_.list(kv::dependency_prefix(id), [this, id, generation](const kv::ListResult& parts) {
        if (!state_.current(generation)) return;
        auto* job = state_.find_job(id);
        if (!job) return;
        if (!parts.answered || parts.rows.size() != job->dependency_parts) {
            context_.after(kReadAgain, [this, id, generation] {
                if (state_.current(generation)) read_dependencies(id, generation);
            });
            return;
        }
        try {
            for (const auto& row : parts.rows) take_dependency_part(*job, row);
        } catch (const wire::DecodeError& e) {
            bad_record(kv::dependency_prefix(id), e.what());
            return;
        }
        state_.dependencies().add(*job);
    });
}

}  // namespace dunebridge::state
