#include "app/toml_table.hpp"

#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

namespace dunebridge::app {

namespace {

constexpr int kMaxPort = 65535;

// Formats a number without trailing zeros.
std::string to_display(double number) {
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text;
}

// Returns whether the text is a non-empty host, a colon and a valid decimal port.
bool is_address(std::string_view text) {
    constexpr std::size_t max_digits = 5;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    const auto digits = text.substr(colon + 1);
    if (digits.empty() || digits.size() > max_digits) return false;
    if (digits.find_first_not_of("0123456789") != std::string_view::npos) return false;
    int port = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return port >= 1 && port <= kMaxPort;
}

}  // namespace

TomlTable::TomlTable(const toml::table& table, std::string file, std::string path)
    : table_(table), file_(std::move(file)), path_(std::move(path)) {}

void TomlTable::fail(const char* key, const std::string& problem) const {
    throw SettingsError(file_, path_ + key, problem);
}

std::string TomlTable::string(const char* key) const {
    const auto value = table_[key].value<std::string>();
    if (!value || value->empty()) fail(key, "must be a non-empty string");
    return *value;
}

std::string TomlTable::string_or_empty(const char* key) const {
    return table_[key].value<std::string>().value_or("");
}

double TomlTable::number(const char* key, double min, double max) const {
    const auto value = table_[key].value<double>();
    if (!value || !std::isfinite(*value) || *value < min || *value > max) {
        fail(key, "must be a number from " + to_display(min) + " to " + to_display(max));
    }
    return *value;
}

double TomlTable::number_or(const char* key, double fallback, double min, double max) const {
    return has(key) ? number(key, min, max) : fallback;
}

std::string TomlTable::address(const char* key) const {
    auto value = string(key);
    if (!is_address(value)) fail(key, "must be IP:PORT");
    return value;
}

TomlTable TomlTable::table(const char* key) const {
    const auto* table = table_[key].as_table();
    if (table == nullptr) fail(key, "must be a table");
    return {*table, file_, path_ + key + "."};
}

std::vector<TomlTable> TomlTable::tables(const char* key) const {
    std::vector<TomlTable> tables;
    if (!has(key)) return tables;
    const auto* array = table_[key].as_array();
    if (array == nullptr) fail(key, "must be an array of tables");
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto* table = (*array)[i].as_table();
        if (table == nullptr) fail(key, "must be an array of tables");
        tables.emplace_back(*table, file_, path_ + key + "[" + std::to_string(i) + "].");
    }
    return tables;
}

std::vector<std::string> TomlTable::strings(const char* key) const {
    std::vector<std::string> strings;
    const auto* array = table_[key].as_array();
    if (array == nullptr) fail(key, "must be an array of strings");
    for (const auto& item : *array) {
        const auto value = item.value<std::string>();
        if (!value) fail(key, "must be an array of strings");
        strings.push_back(*value);
    }
    return strings;
}

}  // namespace dunebridge::app
