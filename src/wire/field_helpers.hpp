/// \file
/// Helpers shared by the message codecs: names of enum values, and checks of fields.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace dunebridge::wire {

/// The values of an enum with their names on the wire.
template <class E, std::size_t N>
using EnumNames = std::array<std::pair<std::string_view, E>, N>;

/// Returns the enum value with this name; nullopt if there is none.
template <class E, std::size_t N>
std::optional<E> from_name(const EnumNames<E, N>& names, std::string_view s) {
    for (const auto& [name, e] : names)
        if (name == s) return e;
    return std::nullopt;
}

/// Returns the name of an enum value; empty if it has none.
template <class E, std::size_t N>
std::string_view to_name(const EnumNames<E, N>& names, E e) {
    for (const auto& [name, v] : names)
        if (v == e) return name;
    return "";
}

/// Throws a DecodeError that names the field.
[[noreturn]] inline void throw_invalid_field(const char* field) {
    throw DecodeError(std::string(field));
}

/// Returns a number between 0 and 1e9. Throws DecodeError if it is anything else.
inline double need_amount(Value v, const char* field) {
    constexpr double max_amount = 1e9;
    const double amount = v.need_number(field);
    if (amount < 0 || amount > max_amount) throw_invalid_field(field);
    return amount;
}

/// Returns a list of strings. Throws DecodeError if it is anything else.
inline std::vector<std::string> need_text_list(Value v, const char* field) {
    if (!v.is_list()) throw_invalid_field(field);
    std::vector<std::string> out;
    for (std::size_t i = 0; i < v.size(); ++i) out.push_back(v.at(i).need_text(field));
    return out;
}

}  // namespace dunebridge::wire
