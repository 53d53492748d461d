#include "state/dirty_records.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dunebridge::state {

namespace {
// Time from the oldest change to a record of urgency `batched` to its commit.
constexpr Millis kBatchDelay{1500};
}  // namespace

const DirtyRecord* DirtyRecords::find(const std::string& key) const {
    const auto it = records_.find(key);
    return it == records_.end() ? nullptr : &it->second;
}

void DirtyRecords::mark(const std::string& key, CommitUrgency urgency) {
    ++version_;
    auto& record = records_[key];
    if (record.first_version == 0) {
        record = {version_, version_, urgency, context_.now()};
        return;
    }
    record.last_version = version_;
    record.urgency = std::min(record.urgency, urgency);
}

void DirtyRecords::mark_replacement(const DirtyRecord& replaced, const std::string& key) {
    mark(key, replaced.urgency);
    auto& record = records_[key];
    record.dirty_since = replaced.dirty_since;
    if (replaced.first_version != 0)
        record.first_version = std::min(record.first_version, replaced.first_version);
}

void DirtyRecords::mark_committed(const std::string& key, Version version) {
    const auto it = records_.find(key);
    if (it == records_.end()) return;
    if (it->second.last_version <= version) {
        records_.erase(it);
        return;
    }
    it->second.first_version = version + 1;
    it->second.dirty_since = context_.now();
}

void DirtyRecords::lower_to_batched(const std::string& key) {
    const auto it = records_.find(key);
    if (it != records_.end()) it->second.urgency = CommitUrgency::batched;
}

bool DirtyRecords::is_committed(const std::string& key, Version version) const {
    const auto* record = find(key);
    return !record || record->first_version > version;
}

std::vector<std::string> DirtyRecords::due_keys() {
    const auto now = context_.now();
    struct Due {
        std::string key;
        DirtyRecord record;
    };
    std::vector<Due> due;
    Instant next = Instant::max();
    for (const auto& [key, record] : records_) {
        const auto due_at = record.dirty_since + kBatchDelay;
        if (record.urgency == CommitUrgency::batched && now < due_at) {
            next = std::min(next, due_at);
        } else {
            due.push_back({key, record});
        }
    }
    if (next < Instant::max()) context_.request_wake(next);
    std::sort(due.begin(), due.end(), [](const Due& a, const Due& b) {
        return std::tie(a.record.urgency, a.record.first_version) <
               std::tie(b.record.urgency, b.record.first_version);
    });
    std::vector<std::string> keys;
    keys.reserve(due.size());
    for (auto& [key, record] : due) keys.push_back(std::move(key));
    return keys;
}

}  // namespace dunebridge::state
