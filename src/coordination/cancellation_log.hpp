/// \file
/// Log of the cancellations that this controller knows to be committed and may show its users.
///
/// A committed terminal record is true, whether the key-value store can be reached or not. Each
/// controller numbers the cancellations that it learns of, in its log, before it shows them to
/// anybody; its heartbeats to its peers carry the log's latest segment. So cancellations reach a
/// leader that the key-value store does not serve, and a peer's heartbeat acknowledges that there
/// are no others that the peer could have shown.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

/// A contiguous part of a controller's log, up to its end.
struct CancellationLogSegment {
    std::uint64_t incarnation = 0;     ///< Of the process that keeps the log; 0: it keeps none.
    std::uint64_t first_sequence = 1;  ///< Number of the first of `jobs`.
    std::vector<JobId> jobs;  ///< The cancelled jobs, in the order in which they were learnt.

    /// Number that the next cancellation will get.
    std::uint64_t next_sequence() const { return first_sequence + jobs.size(); }
};

/// The cancellations that this controller knows to be committed, numbered in the order in which it
/// learnt of them.
class CancellationLog {
  public:
    /// Context and configuration must outlive the log.
    CancellationLog(sansio::Context& context, const config::Config& config);

    /// Appends a committed cancellation. Returns false if it is in the log already, or has been.
    bool append(const JobId& id);
    /// The part of the log that is kept, after those have been dropped that no leader can be held
    /// to any more. Valid until the log changes.
    const CancellationLogSegment& retained();

  private:
    void drop_oldest(std::size_t count);
    void prune_seen_ids(Millis age);

    sansio::Context& context_;
    const config::Config& config_;
    CancellationLogSegment segment_;
    std::deque<Instant> appended_at_;  ///< Of each job in the segment.
    /// When each cancellation was learnt. Kept for longer than the log, as peers' logs drop theirs
    /// later: one that was forgotten too early would count as new again here, and then there, for
    /// ever.
    std::map<JobId, Instant> first_seen_at_;
    Instant next_prune_at_{};
};

}  // namespace dunebridge::coordination
