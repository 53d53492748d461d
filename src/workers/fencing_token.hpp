// Fencing tokens: a worker refuses commands with a token below the highest that it has seen.
//
// A token is the leader's term above a counter of the machine's own, which is raised to shut out
// commands that may still be under way.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "state/model.hpp"

namespace dunebridge::workers {

inline constexpr int kFenceBits = 20;

inline FencingToken make_token(Term term, std::uint64_t fence_counter) {
    return FencingToken(term.get() << kFenceBits | fence_counter);
}
inline Term term_of(FencingToken token) { return Term(token.get() >> kFenceBits); }
// The term of the leader that placed the attempt.
inline Term term_of(Attempt attempt) { return Term(attempt.get() >> state::kAttemptBits); }

}  // namespace dunebridge::workers
