/// \file
/// Timeouts, retry limits and concurrency limits of the user API.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/types.hpp"

namespace dunebridge::api {

// ---- timeouts of the key-value store ----

inline constexpr Millis kReadTimeout{1500};
inline constexpr Millis kWriteTimeout{3000};
/// Total time for looking up the dependencies of a submission, counted from its arrival.
inline constexpr Millis kDependencyLookupTimeout{1500};
/// After this time without a usable response, the store is considered down and requests are refused
/// immediately.
inline constexpr Millis kStoreUnresponsiveAfter{300};

// ---- requests ----

/// Requests that have waited for longer are refused. A store that takes seconds to respond is still
/// usable: users wait 2 s for the response to a poll and 5 s for the others.
inline constexpr Millis kMaxRequestAge{1500};
/// Number of times that a request may be queued, or that the commit of its cancellation may be
/// retried, before the request is refused.
inline constexpr int kMaxAttempts = 5;
/// Limit for each of the read and submission queues.
inline constexpr std::size_t kMaxQueuedRequests = 400;
/// Spreads the retries of requests that are refused at the same time over this many seconds.
inline constexpr std::uint64_t kRetryJitter_s = 3;

// ---- transactions ----

// Transactions in flight at the same time.
inline constexpr int kMaxReadTransactions = 2;
inline constexpr int kMaxWriteTransactions = 2;
/// Preconditions of a request on its own job: one each on the job record and the terminal record.
inline constexpr std::size_t kOwnJobPreconditions = 2;
/// Limit on the size of the writes of a transaction with more than one submission.
inline constexpr std::size_t kMaxBatchBytes = std::size_t{30} * 1024;
/// Size that a write and its preconditions add to that of the value.
inline constexpr std::size_t kWriteOverheadBytes = 200;

// ---- ancestor checks ----

/// A check stays valid for the cancellation deadline divided by this number.
inline constexpr int kAncestorCheckValidityDivisor = 8;
inline constexpr std::size_t kMaxConcurrentAncestorChecks = 64;

// ---- shares of the store's rate limits ----

/// Share of the write rate that each node may use for users. Most of the rest is for the leader's
/// own records.
inline constexpr double kWriteSharePerNode = 0.2;
/// Share of the request rate that all nodes together may use to read for users. The rest is for the
/// leader: its lease, its watches, its transactions, and loading the cluster state when a term
/// begins.
inline constexpr double kReadShareOfAllNodes = 0.5;

}  // namespace dunebridge::api
