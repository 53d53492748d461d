/// \file
/// A scale-out on record: the request to the cloud, and the machines that it brought.
#pragma once

#include <set>

#include "base/types.hpp"
#include "wire/cloud_messages.hpp"

namespace dunebridge::state {

/// A request for machines, and once the cloud has answered it, those of its machines that are not
/// proved gone. Written by ClusterState.
struct ScaleOutRecord {
    wire::ScaleOutRequest request;
    bool answered = false;
    std::set<MachineName> hosts;
};

}  // namespace dunebridge::state
