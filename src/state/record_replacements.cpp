#include "state/record_replacements.hpp"

namespace dunebridge::state {

void RecordReplacements::clear() {
    parts_.clear();
    originals_.clear();
}

std::string RecordReplacements::original_of(const std::string& key) const {
    const auto it = originals_.find(key);
    return it == originals_.end() ? key : it->second;
}

const std::set<std::string>& RecordReplacements::parts_of(const std::string& original) const {
    static const std::set<std::string> none;
    const auto it = parts_.find(original);
    return it == parts_.end() ? none : it->second;
}

void RecordReplacements::replace(const std::string& original, const std::string& key,
                                 const std::vector<TaskRange>& parts) {
    auto& all = parts_[original];
    all.erase(key);
    originals_.erase(key);
    for (const auto& part : parts) {
        all.insert(part.key);
        originals_[part.key] = original;
    }
}

void RecordReplacements::committed(const std::string& original) {
    for (const auto& part : parts_of(original)) originals_.erase(part);
    parts_.erase(original);
}

}  // namespace dunebridge::state
