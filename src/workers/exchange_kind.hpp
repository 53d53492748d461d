/// \file
/// The two ways in which the leader and a worker exchange heartbeats and commands.
#pragma once

#include <cstdint>

namespace dunebridge::workers {

/// Who began an exchange. It decides what a heartbeat proves: only one that the worker sends of its
/// own accord shows that the reply to its previous one has been read or lost.
enum class ExchangeKind : std::uint8_t {
    heartbeat,      ///< the worker sends its heartbeat, and gets commands in the reply
    direct_command  ///< the leader sends commands, and gets a heartbeat in the reply
};

}  // namespace dunebridge::workers
