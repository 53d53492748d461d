/// \file
/// Boost.Asio, with what Boost 1.74's awaitable.hpp forgets to include: it uses std::exchange.
#pragma once

#include <utility>
// The blank line keeps the order.

#include <boost/asio.hpp>
