/// \file
/// What one step of the controller asks the I/O layer to do.
#pragma once

#include <vector>

#include "sansio/http.hpp"
#include "sansio/log.hpp"

namespace dunebridge::sansio {

/// Calls to make, responses to send and lines to log, each in the order in which they were decided.
struct Effects {
    std::vector<HttpCall> calls;
    std::vector<HttpResponse> responses;
    std::vector<LogRecord> logs;
};

}  // namespace dunebridge::sansio
