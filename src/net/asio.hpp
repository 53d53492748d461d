/// \file
/// Includes Boost.Asio after <utility>: awaitable.hpp of Boost 1.74 uses std::exchange without
/// including its header.
#pragma once

#include <utility>
// The blank line below separates the include blocks, so that the formatter keeps their order.

#include <boost/asio.hpp>
