/// \file
/// The exception that decoders throw.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace dunebridge::wire {

/// Reason why a message or a record cannot be decoded.
enum class DecodeProblem : std::uint8_t {
    not_messagepack,
    not_a_map,
    unknown_version,
    bad_field  ///< A field is missing, has the wrong type, or is out of range.
};

/// Thrown by decoders. what() may be shown to the sender of the message.
class DecodeError : public std::runtime_error {
  public:
    explicit DecodeError(DecodeProblem problem)
        : std::runtime_error(text_of(problem)), problem_(problem) {}
    /// Reports DecodeProblem::bad_field for the named field.
    explicit DecodeError(std::string field)
        : std::runtime_error("missing or invalid field: " + field),
          problem_(DecodeProblem::bad_field),
          field_(std::move(field)) {}

    DecodeProblem problem() const { return problem_; }
    /// Name of the invalid field; empty if the problem is not DecodeProblem::bad_field.
    const std::string& field() const { return field_; }

  private:
    static const char* text_of(DecodeProblem problem) {
        switch (problem) {
            case DecodeProblem::not_messagepack:
                return "not MessagePack";
            case DecodeProblem::not_a_map:
                return "not a map";
            case DecodeProblem::unknown_version:
                return "unknown version";
            case DecodeProblem::bad_field:
                break;
        }
        return "bad field";
    }

    DecodeProblem problem_;
    std::string field_;
};

}  // namespace dunebridge::wire
