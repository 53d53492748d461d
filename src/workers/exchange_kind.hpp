/// \file
/// The two ways in which the leader and a worker exchange heartbeats and commands.
#pragma once

#include <cstdint>

namespace dunebridge::workers {

/// The side that initiated an exchange.
///
/// The kind determines what a heartbeat proves: only a heartbeat that the worker sends as a request
/// shows that the reply to its previous heartbeat has been read or lost.
enum class ExchangeKind : std::uint8_t {
    heartbeat,      ///< the worker sends a heartbeat and receives commands in the reply
    direct_command  ///< the leader sends commands and receives a heartbeat in the reply
};

}  // namespace dunebridge::workers
