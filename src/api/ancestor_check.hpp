/// \file
/// Checks whether any ancestor of a job is terminal, for jobs with more ancestors than one
/// transaction may have preconditions.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// Runs ancestor checks, at most one per job at a time. A check sends a series of transactions
/// without writes; each requires that a batch of ancestors, as large as the limit on preconditions
/// allows, has no terminal records.
///
/// A check that found no terminal ancestor stays valid for a fraction of the cancellation deadline,
/// the time within which a cancellation must reach all dependent jobs. The check does not cover the
/// job's own terminal record. The transaction that confirms the response covers that record, so
/// that a response is never staler than an earlier one.
class AncestorCheck {
  public:
    /// Result of a check.
    enum class Outcome : std::uint8_t {
        none_terminal,
        some_terminal,
        unavailable  ///< The key-value store did not respond, or too many checks are running.
    };
    /// Called once at the end of each check, possibly from within start(). For some_terminal,
    /// `terminal` lists terminal ancestors, though not necessarily all of them; otherwise it is
    /// empty.
    using OnFinished =
        std::function<void(const JobId& job, Outcome, const std::vector<JobId>& terminal)>;

    /// `read_budget` is owned by the caller and must outlive this object; each transaction takes
    /// one token from it.
    AncestorCheck(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
                  TokenBucket& read_budget, OnFinished on_finished);

    /// Returns whether a recent check of the job found no terminal ancestor and is still valid.
    bool has_valid_check(const JobId& job) const;
    /// Starts a check of the job; does nothing if one is already running.
    void start(const JobId& job, const std::vector<JobId>& ancestors);

  private:
    /// A running check.
    struct Check {
        std::vector<JobId> unchecked;  ///< Checked from the back.
        Instant started_at{};
    };

    /// Checks the next batch of ancestors, as soon as the read budget allows.
    void check_next(const JobId& job);
    void handle_result(const JobId& job, std::size_t checked, const kv::TransactionResult& result);
    void finish(const JobId& job, Outcome outcome, const std::vector<JobId>& terminal);
    /// Removes results of checks that are no longer valid.
    void remove_expired();
    /// The time for which a check that found no terminal ancestor is valid, from its start.
    Millis validity() const;

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    TokenBucket& read_budget_;
    OnFinished on_finished_;
    std::map<JobId, Check> checks_;
    /// Start time of the last check of each job that found no terminal ancestor.
    std::map<JobId, Instant> last_passed_at_;
};

}  // namespace dunebridge::api
