/// \file
/// Fencing tokens, by which a worker refuses commands of leaders that have been superseded.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "state/placement.hpp"

namespace dunebridge::state {

/// Width of the part of a token that is the machine's own counter.
inline constexpr int kFenceBits = 20;

/// The token of a machine: the leader's term above a counter of the machine's own.
///
/// A worker refuses commands with a token below the highest that it has seen. The counter is raised
/// within a term to shut out commands that may still be under way.
inline FencingToken make_token(Term term, std::uint64_t fence_counter) {
    return FencingToken(term.get() << kFenceBits | fence_counter);
}
/// The term of the leader that issued the token.
inline Term term_of(FencingToken token) { return Term(token.get() >> kFenceBits); }
/// The term of the leader that placed the attempt.
inline Term term_of(Attempt attempt) { return Term(attempt.get() >> kAttemptBits); }

}  // namespace dunebridge::state
