/// \file
/// Division of the process's file descriptors among its HTTP clients and servers.
#pragma once

#include <cstddef>

namespace dunebridge::config {

/// The largest number of connections of each HTTP client and server. Separate shares keep one kind
/// of peer from exhausting the sockets of another. The shares add up to less than the limit on open
/// files; the rest is reserved for the process itself.
struct SocketBudget {
    std::size_t service_client = 0;  ///< Outgoing, to the key-value store and the cloud.
    std::size_t peer_client = 0;     ///< Outgoing, to other controllers.
    std::size_t peer_server = 0;     ///< Incoming, from other controllers.
    std::size_t public_server = 0;   ///< Incoming, from users, health probes, workers.
    std::size_t worker_client = 0;   ///< Outgoing, to workers.

    /// `limit` is the number of files that the process may have open.
    explicit SocketBudget(std::size_t limit);

    /// Returns how many connections to workers may be open while the public server has
    /// `public_connections`: its unused share is available for commands to workers.
    std::size_t max_worker_connections(std::size_t public_connections) const;
};

}  // namespace dunebridge::config
