/// \file
/// Wrapper for continuations that must not run after the term in which they were created.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "state/cluster_state.hpp"

namespace dunebridge::state {

/// Wraps the continuation of a call or a timer so that it does nothing once this node no longer
/// leads in the term for which the cluster state was begun: by then the cluster state is empty or
/// belongs to another term. `cluster_state` must outlive the wrapper.
template <class... Results, class Continuation>
std::function<void(const Results&...)> while_in_term(const ClusterState& cluster_state,
                                                     Continuation continuation) {
    return [&cluster_state, generation = cluster_state.generation(),
            continuation = std::move(continuation)](const Results&... results) mutable {
        if (cluster_state.is_current(generation)) continuation(results...);
    };
}

}  // namespace dunebridge::state
