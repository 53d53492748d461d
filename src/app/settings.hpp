// Settings: the platform's TOML file and the operators' optional XML file.
#pragma once

#include <stdexcept>
#include <string>

#include "config/config.hpp"

namespace dunebridge::app {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads both files. Throws SettingsError naming the file and the field. `operators_path` may be
// empty: then the defaults hold.
config::Config load_settings(const std::string& path, const std::string& operators_path);

}  // namespace dunebridge::app
