/// \file
/// Loads the platform's settings file (TOML) and the operators' optional settings file (XML). Only
/// settings.cpp depends on the names of the platform's settings.
#pragma once

#include <string>

#include "app/settings_error.hpp"
#include "config/config.hpp"

namespace dunebridge::app {

/// Reads both files. An empty `operators_path` leaves the operators' settings at their defaults.
/// Throws SettingsError.
config::Config load_settings(const std::string& path, const std::string& operators_path);

}  // namespace dunebridge::app
