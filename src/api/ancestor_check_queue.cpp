#include "api/ancestor_check_queue.hpp"

#include <utility>

#include "api/request_limits.hpp"

namespace dunebridge::api {

AncestorCheckQueue::AncestorCheckQueue(sansio::Context& context, kv::KvClient& kv_client,
                                       const config::Config& config, TokenBucket& read_budget,
                                       JobCache& cache, JobResponder& responder,
                                       RequestPipeline& pipeline)
    : kv_client_(kv_client),
      cache_(cache),
      responder_(responder),
      pipeline_(pipeline),
      check_(context, kv_client, config, read_budget,
             [this](const JobId& job, AncestorCheck::Outcome outcome,
                    const std::vector<JobId>& terminal) {
                 handle_check_finished(job, outcome, terminal);
             }) {}

bool AncestorCheckQueue::needs_check(JobRequest& request) const {
    if (request.ancestors_checked) return false;
    const auto preconditions = kOwnJobPreconditions + cache_.ancestors(request.job).size();
    if (preconditions <= kv_client_.max_preconditions()) return false;
    request.ancestors_checked = check_.has_valid_check(request.job);
    return !request.ancestors_checked;
}

void AncestorCheckQueue::push(JobRequest request) {
    const auto job = request.job;
    waiting_[job].push_back(std::move(request));
    check_.start(job, cache_.ancestors(job));
}

void AncestorCheckQueue::drop_if(const DropPredicate& drop) {
    for (auto& [job, requests] : waiting_) std::erase_if(requests, drop);
    std::erase_if(waiting_, [](const auto& entry) { return entry.second.empty(); });
}

void AncestorCheckQueue::handle_check_finished(const JobId& job, AncestorCheck::Outcome outcome,
                                               const std::vector<JobId>& terminal) {
    const auto it = waiting_.find(job);
    if (it == waiting_.end()) return;
    auto requests = std::move(it->second);
    waiting_.erase(it);
    for (auto& request : requests) {
        switch (outcome) {
            case AncestorCheck::Outcome::unavailable:
                responder_.respond_unavailable(request);
                break;
            case AncestorCheck::Outcome::some_terminal:
                pipeline_.resolve_ancestors(std::move(request), terminal);
                break;
            case AncestorCheck::Outcome::none_terminal:
                request.ancestors_checked = true;
                pipeline_.enqueue_checked_read(std::move(request));
                break;
        }
    }
}

}  // namespace dunebridge::api
