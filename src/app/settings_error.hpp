/// \file
/// The exception for invalid settings files.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace dunebridge::app {

/// Thrown if a settings file is missing or malformed, or a field in it is missing or out of range.
/// what() is a single line that names the file and the field.
class SettingsError : public std::runtime_error {
  public:
    /// The file cannot be read or parsed as a whole.
    SettingsError(const std::string& file, const std::string& problem)
        : std::runtime_error(file + ": " + problem) {}
    /// A field, given by its full path, is invalid.
    SettingsError(const std::string& file, std::string field, const std::string& problem)
        : std::runtime_error(file + ": " + field + ": " + problem), field_(std::move(field)) {}

    /// Returns the full path of the field; empty if the error concerns the whole file.
    const std::string& field() const { return field_; }

  private:
    std::string field_;
};

}  // namespace dunebridge::app
