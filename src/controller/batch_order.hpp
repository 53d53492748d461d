/// \file
/// Commands to the controller, and the order in which the commands of one batch are handled.
#pragma once

#include <variant>
#include <vector>

#include "base/types.hpp"
#include "controller/router.hpp"
#include "sansio/http.hpp"

namespace dunebridge::controller {

/// Result of a call that the controller has requested.
struct CallCompleted {
    CallId id;
    sansio::HttpResult result;
};

/// Input that the I/O layer passes to the controller.
using Command = std::variant<Request, CallCompleted>;

/// Sorts a batch by priority: first the commands on which leases and leadership depend, then
/// cancellations, then submissions, and last the queries. Commands of equal priority keep their
/// order.
void sort_by_priority(std::vector<Command>& batch);

}  // namespace dunebridge::controller
