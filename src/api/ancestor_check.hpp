// Finds out, for a job with more ancestors than one transaction can guard, whether any of them has
// ended, a few at a time.
//
// What was found stays good for a part of `cancel_s`: a cancellation must have reached the jobs
// after it within that time. The job's own end is not looked at here: the transaction that confirms
// an answer does that, so that no answer is older than one already given.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

class AncestorCheck {
  public:
    enum class Outcome : std::uint8_t { none_ended, some_ended, unavailable };
    // The ancestors that have ended, if some have.
    using Done = std::function<void(const JobId& job, Outcome, const std::vector<JobId>& ended)>;

    // Takes its requests from the budget, which the caller shares.
    AncestorCheck(sansio::Context& port, kv::KvClient& store, const config::Config& config,
                  TokenBucket& reads, Done done);

    // Whether a check of the job that found none ended is recent enough.
    bool fresh(const JobId& job) const;
    // Begins, unless a check of the job is under way.
    void start(const JobId& job, const std::vector<JobId>& ancestors);

  private:
    struct Check {
        std::vector<JobId> left;
        Instant started{};
    };

    void next_step(const JobId& job);
    void stepped(const JobId& job, std::size_t checked, const kv::TransactionResult& result);
    void finish(const JobId& job, Outcome outcome, const std::vector<JobId>& ended);
    void forget_old();
    Millis fresh_for() const;

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    TokenBucket& reads_;
    Done done_;
    std::map<JobId, Check> checks_;
    std::map<JobId, Instant> none_ended_at_;  // when the check began that found none ended
};

}  // namespace dunebridge::api
