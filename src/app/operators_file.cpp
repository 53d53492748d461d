#include "app/operators_file.hpp"

#include <charconv>
#include <cmath>
#include <pugixml.hpp>
#include <string_view>

#include "app/settings_error.hpp"

namespace dunebridge::app {

namespace {

/// The parsed operators' file, with range checks on its attributes.
class OperatorsDocument {
  public:
    explicit OperatorsDocument(const std::string& path) : file_(path) {
        const auto result = document_.load_file(path.c_str());
        if (!result) throw SettingsError(path, result.description());
        if (!root()) throw SettingsError(path, "the root element must be <dunebridge>");
    }

    // Returns nullopt if the attribute is absent.
    std::optional<std::string> string(const char* element, const char* attribute) const {
        const auto found = root().child(element).attribute(attribute);
        if (!found) return std::nullopt;
        return found.value();
    }

    // Returns nullopt if the attribute is absent. Throws SettingsError if it is out of range.
    std::optional<double> number(const char* element, const char* attribute, double min,
                                 double max) const {
        const auto value = string(element, attribute);
        if (!value) return std::nullopt;
        const auto parsed = parse_number(*value);
        if (!parsed || *parsed < min || *parsed > max) {
            fail(element, attribute,
                 "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
        }
        return parsed;
    }

    [[noreturn]] void fail(const char* element, const char* attribute,
                           const std::string& problem) const {
        throw SettingsError(file_, std::string(element) + "@" + attribute, problem);
    }

  private:
    pugi::xml_node root() const { return document_.child("dunebridge"); }

    static std::optional<double> parse_number(const std::string& text) {
        std::size_t parsed_length = 0;
        try {
            const double number = std::stod(text, &parsed_length);
            if (parsed_length != text.size() || std::isnan(number)) return std::nullopt;
            return number;
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    std::string file_;
    pugi::xml_document document_;
};

}  // namespace

void read_operators_file(const std::string& path, config::Tuning& tuning) {
    const OperatorsDocument file(path);
    if (const auto priority = file.string("preemption", "from")) {
        if (*priority == "prod") {
            tuning.min_preempting_priority = wire::Priority::prod;
        } else if (*priority == "urgent") {
            tuning.min_preempting_priority = wire::Priority::urgent;
        } else {
            file.fail("preemption", "from", "must be prod or urgent");
        }
    }
    const auto read_seconds = [&](const char* element, const char* attribute, double min,
                                  double max, Millis& setting) {
        const auto seconds = file.number(element, attribute, min, max);
        if (seconds) setting = from_seconds(*seconds);
    };
    read_seconds("ranking", "slack_s", 0, 600, tuning.ranking_slack);
    read_seconds("leader", "lease_s", 0.5, 60, tuning.leader_lease);
    read_seconds("fleet", "idle_return_s", 1, 86400, tuning.idle_timeout);
    const auto headroom = file.number("fleet", "headroom", 1, 10);
    if (headroom) tuning.headroom = *headroom;
}

}  // namespace dunebridge::app
