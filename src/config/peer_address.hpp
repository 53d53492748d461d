/// \file
/// The address of another controller.
#pragma once

#include <string>

#include "base/types.hpp"

namespace dunebridge::config {

/// The name, zone and address of another controller.
struct PeerAddress {
    ControllerName name;
    std::string zone;
    std::string address;  ///< "host:port" where it listens for other controllers.
};

}  // namespace dunebridge::config
