#include "api/batch_preconditions.hpp"

#include "api/request_limits.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

std::span<const JobId> guarded_ancestors(const JobRequest& request, const JobCache& cache) {
    if (request.ancestors_checked) return {};
    if (request.kind != RequestKind::submission) return cache.ancestors(request.job);
    const auto& submission = request.submission;
    // The submission of a job with dependency parts does not check the ancestors, which may be too
    // many for one transaction. Polls and the leader check them.
    const bool has_parts = submission.writes.size() > 1;
    if (submission.cancelled || has_parts) return {};
    return submission.record.ancestors;
}

std::vector<JobId> terminal_ancestors(const JobRequest& request, const JobCache& cache,
                                      const FailedKeys& failed) {
    std::vector<JobId> terminal;
    for (const auto& id : guarded_ancestors(request, cache)) {
        if (failed.contains(kv::terminal_key(id))) terminal.push_back(id);
    }
    return terminal;
}

bool BatchPreconditions::add(const JobRequest& request, KeyRevision job_record) {
    if (!jobs_.insert(request.job).second) return false;
    preconditions_.push_back({kv::job_key(request.job), job_record});
    require_not_terminal(request.job);
    for (const auto& id : guarded_ancestors(request, cache_)) require_not_terminal(id);
    return true;
}

void BatchPreconditions::require_not_terminal(const JobId& job) {
    if (!not_terminal_.insert(job).second) return;
    preconditions_.push_back({kv::terminal_key(job), KeyRevision()});
}

std::size_t BatchPreconditions::max_size_with(const JobRequest& request) const {
    return preconditions_.size() + kOwnJobPreconditions + guarded_ancestors(request, cache_).size();
}

}  // namespace dunebridge::api
