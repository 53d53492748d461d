#include "state/dependency_graph.hpp"

#include <algorithm>

#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::state {

namespace {
constexpr Millis kReadInterval{500};
constexpr Millis kReadTimeout{1500};
// Time between the end of a job and the first start of a task of a dependent job.
constexpr Millis kDependentStartDelay{2000};
}  // namespace

DependencyGraph::DependencyGraph(sansio::Context& context, kv::KvClient& kv_client,
                                 std::map<JobId, Job>& jobs, Callbacks callbacks)
    : context_(context), kv_client_(kv_client), jobs_(jobs), callbacks_(std::move(callbacks)) {}

void DependencyGraph::clear() {
    dependents_.clear();
    unread_terminal_records_.clear();
    reading_ = false;
    ++clear_count_;
}

Job* DependencyGraph::find(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void DependencyGraph::call_after(Millis delay, std::function<void()> callback) {
    context_.after(delay, [this, clear_count = clear_count_, callback = std::move(callback)] {
        if (clear_count == clear_count_ && callbacks_.active()) callback();
    });
}

void DependencyGraph::add(Job& job) {
    if (job.spec.dependencies.empty() || job.state != JobState::active) return;
    // All dependencies were met when an earlier leader placed its first task.
    if (job.has_started()) return;
    for (const auto& dependency : job.spec.dependencies) {
        job.dependencies.unmet.insert(dependency);
        dependents_[dependency].push_back(job.spec.id);
    }
    propagate_priority(job);
    for (const auto& dependency : job.spec.dependencies) {
        const auto* other = find(dependency);
        if (!other || other->state == JobState::terminal) read_terminal_record(dependency);
    }
}

void DependencyGraph::handle_job_end(const JobId& id, wire::JobPhase final_phase) {
    std::vector<JobId> ended{id};
    while (!ended.empty()) {
        const auto dependency = ended.back();
        ended.pop_back();
        const auto it = dependents_.find(dependency);
        if (it == dependents_.end()) continue;
        const auto dependents = std::move(it->second);
        dependents_.erase(it);
        for (const auto& dependent : dependents) {
            Job* job = find(dependent);
            if (!job || job->state != JobState::active) continue;
            if (final_phase == wire::JobPhase::cancelled) {
                callbacks_.cancel(*job);
                ended.push_back(dependent);
            } else if (job->dependencies.unmet.erase(dependency) > 0 &&
                       job->dependencies.unmet.empty()) {
                job->dependencies.runnable_since = context_.now();
            }
        }
    }
}

// Called for a job that is not in the cluster state, or whose final phase is not known. Its
// terminal record may not be visible yet, so reads are repeated until it is. Records that are
// requested at the same time are read together.
void DependencyGraph::read_terminal_record(const JobId& id) {
    if (!dependents_.contains(id) || !unread_terminal_records_.insert(id).second || reading_)
        return;
    reading_ = true;
    call_after(Millis(0), [this] { read_terminal_records(); });
}

void DependencyGraph::read_terminal_records() {
    std::vector<std::string> names;
    names.reserve(unread_terminal_records_.size());
    for (const auto& id : unread_terminal_records_) names.push_back(id.get());
    reading_ = !names.empty();
    if (names.empty()) return;
    kv_client_.multi_get(kv::kTerminalPrefix, std::move(names), kReadTimeout,
                         [this, clear_count = clear_count_](const kv::MultiGetResult& rows) {
                             if (clear_count != clear_count_ || !callbacks_.active()) return;
                             if (rows.available) apply_terminal_records(rows);
                             call_after(kReadInterval, [this] { read_terminal_records(); });
                         });
}

void DependencyGraph::apply_terminal_records(const kv::MultiGetResult& rows) {
    for (const auto& [key, row] : rows.entries) {
        const JobId id(kv::without_prefix(key, kv::kTerminalPrefix));
        unread_terminal_records_.erase(id);
        handle_job_end(id, kv::decode_terminal_record(row.value).phase);
    }
    // A job that is open in the cluster state has no terminal record yet; the watch will report it.
    std::erase_if(unread_terminal_records_, [this](const JobId& id) {
        const auto* job = find(id);
        return job && job->state != JobState::terminal;
    });
}

// Propagates priority and latest end from a job to its direct and indirect dependencies. Continues
// only from jobs whose values change, so that jobs reachable on many paths (diamonds, wide
// fan-outs) are not visited once for each path.
void DependencyGraph::propagate_priority(const Job& from) {
    std::vector<const Job*> changed{&from};
    while (!changed.empty()) {
        const auto& job = *changed.back();
        changed.pop_back();
        auto latest_end = job.dependencies.latest_end;
        if (latest_end != Instant::max()) {
            latest_end -= from_seconds(job.spec.expected_run_time_s * kRunTimeSafetyFactor) +
                          kDependentStartDelay;
        }
        for (const auto& dependency : job.dependencies.unmet) {
            Job* other = find(dependency);
            if (!other ||
                (other->dependencies.effective_priority >= job.dependencies.effective_priority &&
                 other->dependencies.latest_end <= latest_end))
                continue;
            other->dependencies.effective_priority = std::max(
                other->dependencies.effective_priority, job.dependencies.effective_priority);
            other->dependencies.latest_end = std::min(other->dependencies.latest_end, latest_end);
            changed.push_back(other);
        }
    }
}

}  // namespace dunebridge::state
