/// \file
/// Reads the operators' optional settings file (XML).
#pragma once

#include <optional>
#include <pugixml.hpp>
#include <string>

#include "config/config.hpp"

namespace dunebridge::app {

/// Overwrites the members of `tuning` that the file sets. Throws SettingsError, which names the
/// file and the attribute. Example of a file:
///
///     <dunebridge>
///       <preemption from="urgent"/><ranking slack_s="2"/><leader lease_s="3"/>
///       <fleet idle_return_s="45" headroom="1.25"/>
///     </dunebridge>
void read_operators_file(const std::string& path, config::Tuning& tuning);

}  // namespace dunebridge::app
