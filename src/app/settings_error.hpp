/// \file
/// The error for a settings file that cannot be used.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace dunebridge::app {

/// A settings file is missing, malformed, or has a field that is missing or out of its range.
/// what() is one line for the operator that names the file and the field.
class SettingsError : public std::runtime_error {
  public:
    /// The file cannot be read or parsed as a whole.
    SettingsError(const std::string& file, const std::string& problem)
        : std::runtime_error(file + ": " + problem) {}
    /// The field, given by its whole path, has a problem.
    SettingsError(const std::string& file, std::string field, const std::string& problem)
        : std::runtime_error(file + ": " + field + ": " + problem), field_(std::move(field)) {}

    /// Empty if the problem is with the file as a whole.
    const std::string& field() const { return field_; }

  private:
    std::string field_;
};

}  // namespace dunebridge::app
