/// \file
/// Log of the committed cancellations that this controller knows of and may report to its users.
///
/// A committed terminal record is final, so it stays valid while the key-value store is
/// unreachable. Each controller appends every cancellation that it learns of to its log, with a
/// sequence number, before it reports the cancellation to anyone. Its heartbeats to its peers carry
/// the latest segment of the log. Cancellations therefore reach a leader that cannot reach the
/// key-value store, and a peer's heartbeat also shows that the peer has reported no others.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

/// A contiguous part of a controller's log that extends to the end of the log.
struct CancellationLogSegment {
    std::uint64_t incarnation = 0;     ///< Of the process that keeps the log; 0: no log.
    std::uint64_t first_sequence = 1;  ///< Sequence number of the first of `jobs`.
    std::vector<JobId> jobs;  ///< Cancelled jobs, in the order in which they were appended.

    /// Sequence number of the next cancellation to be appended.
    std::uint64_t next_sequence() const { return first_sequence + jobs.size(); }
};

/// Committed cancellations that this controller knows of, numbered in the order in which it learned
/// of them.
class CancellationLog {
  public:
    /// The context and the configuration must outlive the log.
    CancellationLog(sansio::Context& context, const config::Config& config);

    /// Appends a committed cancellation. Returns false if the job is in the log already, or was
    /// dropped from it recently.
    bool append(const JobId& id);
    /// Drops the entries that have expired or exceed the size limit, and returns the rest. An entry
    /// expires after 1.5 cancellation deadlines. The reference is valid until the log changes.
    const CancellationLogSegment& retained();

  private:
    void drop_oldest(std::size_t count);
    void prune_seen_ids(Millis age);

    sansio::Context& context_;
    const config::Config& config_;
    CancellationLogSegment segment_;
    std::deque<Instant> appended_at_;  ///< When each job in the segment was appended.
    /// When each cancellation was first seen; used to ignore repeated ones. Kept for longer than
    /// the log entries, because peers drop theirs later: if an id were removed too early, the entry
    /// of a peer would be appended again here, then again at the peer, and so on forever.
    std::map<JobId, Instant> first_seen_at_;
    Instant next_prune_at_{};
};

}  // namespace dunebridge::coordination
