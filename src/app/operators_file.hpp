/// \file
/// The operators' optional XML file.
#pragma once

#include <optional>
#include <pugixml.hpp>
#include <string>

#include "config/config.hpp"

namespace dunebridge::app {

/// Reads the file over the defaults. Throws SettingsError that names the file and the attribute.
///
///     <dunebridge>
///       <preemption from="urgent"/><ranking slack_s="2"/><leader lease_s="3"/>
///       <fleet idle_return_s="45" headroom="1.25"/>
///     </dunebridge>
void read_operators_file(const std::string& path, config::Tuning& tuning);

}  // namespace dunebridge::app
