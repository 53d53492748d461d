/// \file
/// Commands to the controller, and the order in which those of one batch are handled.
#pragma once

#include <variant>
#include <vector>

#include "base/types.hpp"
#include "controller/router.hpp"
#include "sansio/http.hpp"

namespace dunebridge::controller {

/// A call that the controller asked for has ended.
struct CallCompleted {
    CallId id;
    sansio::HttpResult result;
};

/// What the I/O layer hands to the controller.
using Command = std::variant<Request, CallCompleted>;

/// Sorts a batch by urgency: first what leases and leadership depend on, then cancellations,
/// submissions, and last what only asks. Commands of the same urgency keep their order.
void sort_by_priority(std::vector<Command>& batch);

}  // namespace dunebridge::controller
