/// \file
/// Where another controller is found.
#pragma once

#include <string>

#include "base/types.hpp"

namespace dunebridge::config {

/// Another controller: its name, its zone and its address for peers.
struct PeerAddress {
    ControllerName name;
    std::string zone;
    std::string address;  ///< "host:port" of its listener for other controllers.
};

}  // namespace dunebridge::config
