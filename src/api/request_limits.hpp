/// \file
/// How long and how often the users' interface tries, and how much it has under way at once.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/types.hpp"

namespace dunebridge::api {

// ---- waiting for the key-value store ----

inline constexpr Millis kReadTimeout{1500};
inline constexpr Millis kWriteTimeout{3000};
/// For all reads of the jobs that a submission names, together.
inline constexpr Millis kDependencyLookupTimeout{1500};
/// A store that has given no good response for so long is taken to be down: requests are refused at
/// once.
inline constexpr Millis kStoreUnresponsiveAfter{300};

// ---- requests ----

/// A request that has waited for longer is refused. A store that takes seconds is still of use:
/// users wait 2 s for the response to a poll, and 5 s for the others'.
inline constexpr Millis kMaxRequestAge{1500};
/// How often a request is queued, or its cancellation committed, before it is refused.
inline constexpr int kMaxAttempts = 5;
/// Requests in each queue.
inline constexpr std::size_t kMaxQueuedRequests = 400;
/// Requests that are refused together come back spread over so many seconds.
inline constexpr std::uint64_t kRetryJitter_s = 3;

// ---- transactions ----

/// Of each kind, under way at once.
inline constexpr int kMaxReadTransactions = 2;
inline constexpr int kMaxWriteTransactions = 2;
/// Preconditions of a request on the two records of its own job.
inline constexpr std::size_t kOwnJobPreconditions = 2;
/// Size of the writes of one transaction, if it has those of several submissions.
inline constexpr std::size_t kMaxBatchBytes = std::size_t{30} * 1024;
/// What a write and its preconditions count besides the value.
inline constexpr std::size_t kWriteOverheadBytes = 200;

// ---- ancestor checks ----

/// A check is valid for the cancellation deadline divided by this.
inline constexpr int kAncestorCheckValidityDivisor = 8;
inline constexpr std::size_t kMaxConcurrentAncestorChecks = 64;

// ---- shares of the store's rate limits ----

/// A node's share of the writes; most of the rest is for the leader's own records.
inline constexpr double kWriteSharePerNode = 0.2;
/// What all nodes together may read for users. The rest is for the leader: its lease, its watches,
/// its transactions, and the cluster state that it reads when a term begins.
inline constexpr double kReadShareOfAllNodes = 0.5;

}  // namespace dunebridge::api
