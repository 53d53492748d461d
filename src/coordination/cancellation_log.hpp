// The cancellations that this node knows to be committed and may show its users.
//
// A committed end is true without the state service. Each node numbers the ends `cancelled` that it
// learns, in its log, before it shows them to anybody; its heartbeats carry the log's latest part.
// So they reach a leader that the state service does not serve, and a peer's heartbeat acknowledges
// that there are no others that it could have shown.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

// A part of a node's log: what follows one another from `first` on, up to its end.
struct CancellationLogSegment {
    std::uint64_t incarnation = 0;  // of the process that keeps the log; 0: it keeps none
    std::uint64_t first = 1;        // number of the first of `jobs`
    std::vector<JobId> jobs;

    std::uint64_t next() const { return first + jobs.size(); }
};

class CancellationLog {
  public:
    CancellationLog(sansio::Context& port, const config::Config& config);

    // Returns whether it was not known.
    bool append(const JobId& id);
    // What is kept of the log: ends that no leader can be held to any more are dropped.
    const CancellationLogSegment& retained();

  private:
    sansio::Context& context_;
    const config::Config& config_;
    CancellationLogSegment part_;
    std::deque<Instant> since_;  // of each job in part_
    // When each was learnt. Kept for longer than the log, as peers' logs drop theirs later: they
    // must not count as new again here, and then there, for ever.
    std::map<JobId, Instant> known_;
    Instant next_forget_{};
};

}  // namespace dunebridge::coordination
