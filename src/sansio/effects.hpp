/// \file
/// The output of one step of the controller, for the I/O layer to execute.
#pragma once

#include <vector>

#include "sansio/http.hpp"
#include "sansio/log.hpp"

namespace dunebridge::sansio {

/// Calls to make, responses to send and lines to log, each list in the order of the decisions.
struct Effects {
    std::vector<HttpCall> calls;
    std::vector<HttpResponse> responses;
    std::vector<LogRecord> logs;
};

}  // namespace dunebridge::sansio
