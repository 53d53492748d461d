/// \file
/// The record of a scale-out: the request to the cloud and the machines that it provided.
#pragma once

#include <set>

#include "base/types.hpp"
#include "wire/cloud_messages.hpp"

namespace dunebridge::state {

/// A request for machines and, once the cloud has answered it, the machines that it provided and
/// that are not known to be gone. Written by ClusterState.
struct ScaleOutRecord {
    wire::ScaleOutRequest request;
    bool answered = false;
    std::set<MachineName> hosts;
};

}  // namespace dunebridge::state
