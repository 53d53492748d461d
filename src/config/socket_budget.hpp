/// \file
/// How the process's sockets are shared out among its connections.
#pragma once

#include <cstddef>

namespace dunebridge::config {

/// Shares of the limit on open files, so that no kind of peer can take the sockets of another. Some
/// are left for the process itself.
struct SocketBudget {
    std::size_t service_client = 0;  ///< Out, to the key-value store and the cloud.
    std::size_t peer_client = 0;     ///< Out, to other controllers.
    std::size_t peer_server = 0;     ///< In, from other controllers.
    std::size_t public_server = 0;   ///< In, from users, health probes and workers.
    std::size_t worker_client = 0;   ///< Out, to workers.

    /// `limit` is the number of files that the process may have open.
    explicit SocketBudget(std::size_t limit);

    /// How many connections to workers there may be while the front has so many: commands may use
    /// what the front leaves free.
    std::size_t max_worker_connections(std::size_t public_connections) const;
};

}  // namespace dunebridge::config
