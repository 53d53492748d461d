/// \file
/// Fencing tokens, which let a worker refuse commands of superseded leaders.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "state/placement.hpp"

namespace dunebridge::state {

/// Number of low bits of a token that hold the machine's fence counter.
inline constexpr int kFenceCounterBits = 20;

/// Returns the token of a machine: the leader's term in the high bits, the machine's fence counter
/// in the low bits.
///
/// A worker refuses commands with a token below the highest that it has seen. Within a term the
/// counter is incremented to invalidate commands that may still be in transit.
inline FencingToken make_token(Term term, std::uint64_t fence_counter) {
    return FencingToken(term.get() << kFenceCounterBits | fence_counter);
}
/// Returns the term of the leader that issued the token.
inline Term term_of(FencingToken token) { return Term(token.get() >> kFenceCounterBits); }
/// Returns the term of the leader that placed the attempt.
inline Term term_of(Attempt attempt) { return Term(attempt.get() >> kAttemptBits); }

}  // namespace dunebridge::state
