#include "state/dependency_graph.hpp"

#include <algorithm>

#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::state {

namespace {
constexpr Millis kReadAgain{500};
constexpr Millis kReadTimeout{1500};
// Between the end of a job and the first start of one that waits on it.
constexpr Millis kHandover{2000};
}  // namespace

DependencyGraph::DependencyGraph(sansio::Context& port, kv::KvClient& store,
                                 std::map<JobId, Job>& jobs, Callbacks callbacks)
    : context_(port), kv_client_(store), jobs_(jobs), callbacks_(std::move(callbacks)) {}

void DependencyGraph::clear() {
    dependents_.clear();
    unread_ends_.clear();
    reading_ = false;
    ++clears_;
}

Job* DependencyGraph::find(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void DependencyGraph::after(Millis delay, std::function<void()> then) {
    context_.after(delay, [this, clears = clears_, then = std::move(then)] {
        if (clears == clears_ && callbacks_.active()) then();
    });
}

void DependencyGraph::add(Job& job) {
    if (job.spec.dependencies.empty() || job.state != JobState::active) return;
    if (job.has_started()) return;  // all that it needs was done when an earlier leader placed it
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

void DependencyGraph::handle_job_end(const JobId& id, wire::JobPhase how) {
    std::vector<JobId> ends{id};
    while (!ends.empty()) {
        const auto end = ends.back();
        ends.pop_back();
        const auto it = dependents_.find(end);
        if (it == dependents_.end()) continue;
        const auto waiting = std::move(it->second);
        dependents_.erase(it);
        for (const auto& next : waiting) {
            Job* job = find(next);
            if (!job || job->state != JobState::active) continue;
            if (how == wire::JobPhase::cancelled) {
                callbacks_.cancel(*job);
                ends.push_back(next);
            } else if (job->dependencies.unmet.erase(end) > 0 && job->dependencies.unmet.empty()) {
                job->dependencies.runnable_since = context_.now();
            }
        }
    }
}

// The job is not in the cluster state, or how it ended is not known here: its end is read. It may
// not be there yet, as what others write arrives in its own time. Those asked for together are read
// together.
void DependencyGraph::read_terminal_record(const JobId& id) {
    if (!dependents_.contains(id) || !unread_ends_.insert(id).second || reading_) return;
    reading_ = true;
    after(Millis(0), [this] { read_ends(); });
}

void DependencyGraph::read_ends() {
    std::vector<std::string> names;
    names.reserve(unread_ends_.size());
    for (const auto& id : unread_ends_) names.push_back(id.get());
    reading_ = !names.empty();
    if (names.empty()) return;
    kv_client_.multi_get(kv::kTerminalPrefix, std::move(names), kReadTimeout,
                         [this, clears = clears_](const kv::MultiGetResult& rows) {
                             if (clears != clears_ || !callbacks_.active()) return;
                             if (rows.available) take_ends(rows);
                             after(kReadAgain, [this] { read_ends(); });
                         });
}

void DependencyGraph::take_ends(const kv::MultiGetResult& rows) {
    for (const auto& [key, row] : rows.entries) {
        const JobId id(kv::without_prefix(key, kv::kTerminalPrefix));
        unread_ends_.erase(id);
        handle_job_end(id, kv::decode_terminal_record(row.value).phase);
    }
    // What is open in the cluster state has no end yet; the watch reports it.
    std::erase_if(unread_ends_, [this](const JobId& id) {
        const auto* job = find(id);
        return job && job->state != JobState::terminal;
    });
}

// Priority and latest end reach back over all that a job depends on; only what improves goes on, so
// that diamonds and wide fans cost no more than their edges.
void DependencyGraph::propagate_priority(const Job& from) {
    std::vector<const Job*> reached{&from};
    while (!reached.empty()) {
        const auto& job = *reached.back();
        reached.pop_back();
        auto latest_end = job.dependencies.latest_end;
        if (latest_end != Instant::max()) {
            latest_end -= from_seconds(job.spec.expected_run_time_s * kRunTimeSafetyFactor) + kHandover;
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
            reached.push_back(other);
        }
    }
}

}  // namespace dunebridge::state
