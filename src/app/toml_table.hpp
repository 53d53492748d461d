/// \file
/// Access to the fields of a TOML table with checks of type and range.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "app/settings_error.hpp"

namespace dunebridge::app {

/// A view of a table in a settings file. If a field is missing, has the wrong type or is out of
/// range, the accessors throw SettingsError, which names the file and the field, unless stated
/// otherwise.
class TomlTable {
  public:
    /// `path` is prepended to field names in errors. The table must outlive the view.
    TomlTable(const toml::table& table, std::string file, std::string path);

    bool has(const char* key) const { return table_.contains(key); }
    /// Returns a non-empty string.
    std::string string(const char* key) const;
    /// Returns a string, or "" if the field is missing or has another type. Never throws.
    std::string string_or_empty(const char* key) const;
    /// Returns a number from `min` to `max`, inclusive.
    double number(const char* key, double min, double max) const;
    /// Like number(), but returns `fallback` if the field is missing.
    double number_or(const char* key, double fallback, double min, double max) const;
    /// Returns an address of the form HOST:PORT. Only the port is checked.
    std::string address(const char* key) const;
    /// Returns a nested table.
    TomlTable table(const char* key) const;
    /// Returns an array of tables; empty if the field is missing.
    std::vector<TomlTable> tables(const char* key) const;
    /// Returns an array of strings.
    std::vector<std::string> strings(const char* key) const;

  private:
    [[noreturn]] void fail(const char* key, const std::string& problem) const;

    const toml::table& table_;
    std::string file_;
    std::string path_;
};

}  // namespace dunebridge::app
