#include "state/dirty_records.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dunebridge::state {

namespace {
// Between the oldest change of the class `cadence` to a record and its commit.
constexpr Millis kCadence{1500};
}  // namespace

const DirtyRecord* DirtyRecords::find(const std::string& key) const {
    const auto it = records_.find(key);
    return it == records_.end() ? nullptr : &it->second;
}

void DirtyRecords::mark(const std::string& key, CommitUrgency urgency) {
    ++version_;
    auto& record = records_[key];
    if (record.first == 0) {
        record = {version_, version_, urgency, context_.now()};
        return;
    }
    record.last = version_;
    record.urgency = std::min(record.urgency, urgency);
}

void DirtyRecords::mark_in_place_of(const DirtyRecord& earlier, const std::string& key) {
    mark(key, earlier.urgency);
    auto& record = records_[key];
    record.since = earlier.since;
    if (earlier.first != 0) record.first = std::min(record.first, earlier.first);
}

void DirtyRecords::committed(const std::string& key, Version version) {
    const auto it = records_.find(key);
    if (it == records_.end()) return;
    if (it->second.last <= version) {
        records_.erase(it);
        return;
    }
    it->second.first = version + 1;
    it->second.since = context_.now();
}

void DirtyRecords::lower_to_cadence(const std::string& key) {
    const auto it = records_.find(key);
    if (it != records_.end()) it->second.urgency = CommitUrgency::batched;
}

bool DirtyRecords::is_committed(const std::string& key, Version version) const {
    const auto* record = find(key);
    return !record || record->first > version;
}

std::vector<std::string> DirtyRecords::due() {
    const auto now = context_.now();
    struct Due {
        std::string key;
        DirtyRecord record;
    };
    std::vector<Due> due;
    Instant next = Instant::max();
    for (const auto& [key, record] : records_) {
        const auto due_at = record.since + kCadence;
        if (record.urgency == CommitUrgency::batched && now < due_at) {
            next = std::min(next, due_at);
        } else {
            due.push_back({key, record});
        }
    }
    if (next < Instant::max()) context_.request_wake(next);
    std::sort(due.begin(), due.end(), [](const Due& a, const Due& b) {
        return std::tie(a.record.urgency, a.record.first) <
               std::tie(b.record.urgency, b.record.first);
    });
    std::vector<std::string> keys;
    keys.reserve(due.size());
    for (auto& [key, record] : due) keys.push_back(std::move(key));
    return keys;
}

}  // namespace dunebridge::state
