/// \file
/// Settings: the platform's TOML file and the operators' optional XML file. This is the only place
/// that knows the names of the platform's settings.
#pragma once

#include <string>

#include "app/settings_error.hpp"
#include "config/config.hpp"

namespace dunebridge::app {

/// Reads both files. Throws SettingsError. If `operators_path` is empty, the defaults hold.
config::Config load_settings(const std::string& path, const std::string& operators_path);

}  // namespace dunebridge::app
