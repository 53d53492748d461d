/// \file
/// Helpers that the message codecs share: enumerations by name, and checked fields.
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

/// The values of an enumeration with their names on the wire.
template <class E, std::size_t N>
using EnumNames = std::array<std::pair<std::string_view, E>, N>;

/// The value of that name, if there is one.
template <class E, std::size_t N>
std::optional<E> from_name(const EnumNames<E, N>& names, std::string_view s) {
    for (const auto& [name, e] : names)
        if (name == s) return e;
    return std::nullopt;
}

/// The name of a value; empty if it has none.
template <class E, std::size_t N>
std::string_view to_name(const EnumNames<E, N>& names, E e) {
    for (const auto& [name, v] : names)
        if (v == e) return name;
    return "";
}

/// Throws DecodeError that names the field.
[[noreturn]] inline void throw_invalid_field(const char* field) {
    throw DecodeError(std::string(field));
}

/// A number from 0 to a thousand million. Throws DecodeError.
inline double need_amount(Value v, const char* field) {
    constexpr double max_amount = 1e9;
    const double amount = v.need_number(field);
    if (amount < 0 || amount > max_amount) throw_invalid_field(field);
    return amount;
}

/// A list of texts. Throws DecodeError.
inline std::vector<std::string> need_text_list(Value v, const char* field) {
    if (!v.is_list()) throw_invalid_field(field);
    std::vector<std::string> out;
    for (std::size_t i = 0; i < v.size(); ++i) out.push_back(v.at(i).need_text(field));
    return out;
}

}  // namespace dunebridge::wire
