/// \file
/// Checked access to the fields of a TOML table.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "app/settings_error.hpp"

namespace dunebridge::app {

/// A view of one table of a settings file. Every accessor throws SettingsError that names the file
/// and the field if the field is missing, of another type, or out of its range.
class TomlTable {
  public:
    /// `path` is prefixed to the names of fields in errors; the table must outlive the view.
    TomlTable(const toml::table& table, std::string file, std::string path);

    bool has(const char* key) const { return table_.contains(key); }
    /// A text that is not empty.
    std::string text(const char* key) const;
    /// The text if there is one; empty otherwise, whatever else is there.
    std::string text_or_empty(const char* key) const;
    double number(const char* key, double least, double most) const;
    double number_or(const char* key, double fallback, double least, double most) const;
    /// IP:PORT.
    std::string address(const char* key) const;
    TomlTable sub(const char* key) const;
    /// An array of tables; empty if there is none.
    std::vector<TomlTable> list(const char* key) const;
    std::vector<std::string> texts(const char* key) const;

  private:
    [[noreturn]] void fail(const char* key, const std::string& problem) const;

    const toml::table& table_;
    std::string file_;
    std::string path_;
};

}  // namespace dunebridge::app
