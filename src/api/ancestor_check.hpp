/// \file
/// Finds out whether any ancestor of a job is terminal, for a job with more ancestors than one
/// transaction can guard.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// Checks the ancestors of jobs in several transactions that only compare, each of as many
/// ancestors as a transaction may have preconditions.
///
/// A check that found none terminal stays valid for a part of the cancellation deadline, because a
/// cancellation must have reached the jobs that depend on it within that deadline. Whether the job
/// itself is terminal is not checked here: the transaction that confirms the response does that, so
/// that no response is older than one given before.
class AncestorCheck {
  public:
    enum class Outcome : std::uint8_t {
        none_terminal,
        some_terminal,
        unavailable  ///< The key-value store did not answer, or too many checks are under way.
    };
    /// Called once at the end of each check, possibly from within start(). `terminal` holds
    /// ancestors that are terminal if the outcome says that there are some; not always all of them.
    using OnFinished =
        std::function<void(const JobId& job, Outcome, const std::vector<JobId>& terminal)>;

    /// `read_budget` is shared with the caller, which owns it; each transaction takes one token.
    AncestorCheck(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
                  TokenBucket& read_budget, OnFinished on_finished);

    /// Whether a check of the job that found no terminal ancestor is recent enough.
    bool has_valid_check(const JobId& job) const;
    /// Begins a check of the job; does nothing if one is under way.
    void start(const JobId& job, const std::vector<JobId>& ancestors);

  private:
    struct Check {
        std::vector<JobId> unchecked;
        Instant started_at{};
    };

    void check_next(const JobId& job);
    void handle_result(const JobId& job, std::size_t checked, const kv::TransactionResult& result);
    void finish(const JobId& job, Outcome outcome, const std::vector<JobId>& terminal);
    void remove_expired();
    Millis validity() const;

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    TokenBucket& read_budget_;
    OnFinished on_finished_;
    std::map<JobId, Check> checks_;
    /// When the last check began that found no terminal ancestor of the job.
    std::map<JobId, Instant> last_passed_at_;
};

}  // namespace dunebridge::api
