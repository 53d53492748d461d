#include "state/pending_splits.hpp"

namespace dunebridge::state {

void PendingSplits::clear() {
    parts_.clear();
    split_records_.clear();
}

std::string PendingSplits::split_record_of(const std::string& key) const {
    const auto it = split_records_.find(key);
    return it == split_records_.end() ? key : it->second;
}

const std::set<std::string>& PendingSplits::parts_of(const std::string& split_record) const {
    static const std::set<std::string> no_parts;
    const auto it = parts_.find(split_record);
    return it == parts_.end() ? no_parts : it->second;
}

void PendingSplits::add_split(const std::string& split_record, const std::string& key,
                              const std::vector<TaskRange>& parts) {
    auto& all_parts = parts_[split_record];
    all_parts.erase(key);
    split_records_.erase(key);
    for (const auto& part : parts) {
        all_parts.insert(part.key);
        split_records_[part.key] = split_record;
    }
}

void PendingSplits::mark_committed(const std::string& split_record) {
    for (const auto& part : parts_of(split_record)) split_records_.erase(part);
    parts_.erase(split_record);
}

}  // namespace dunebridge::state
