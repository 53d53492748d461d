/// \file
/// Which records of the cluster state have changed in memory and are not in the key-value store
/// yet, and when each is to be committed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "sansio/context.hpp"
#include "state/version.hpp"

namespace dunebridge::state {

/// How soon a change is to be committed; the first go first.
enum class CommitUrgency : std::uint8_t {
    terminal,  // users wait for it
    prompt,    // a placement or a scale-out request request: something starts once it is committed
    batched    // something proved done or gone: the workers' lists hold it until then
};

/// A record with changes that are not committed yet.
struct DirtyRecord {
    Version first = 0;  // of the oldest change that is not committed
    Version last = 0;   // of the newest
    CommitUrgency urgency = CommitUrgency::batched;
    Instant since{};
};

/// Every change to the cluster state gets a version, which grows as long as the process lives.
class DirtyRecords {
  public:
    explicit DirtyRecords(sansio::Context& port) : context_(port) {}

    void clear() { records_.clear(); }
    bool empty() const { return records_.empty(); }
    Version version() const { return version_; }
    /// Null if the record has no change that is not committed.
    const DirtyRecord* find(const std::string& key) const;

    /// The record has changed.
    void mark(const std::string& key, CommitUrgency urgency);
    /// The record takes over changes that another has been waiting with.
    void mark_in_place_of(const DirtyRecord& earlier, const std::string& key);
    void erase(const std::string& key) { records_.erase(key); }
    /// The record's changes up to the version are committed.
    void committed(const std::string& key, Version version);
    /// What is left of the record's changes lets nothing start.
    void lower_to_cadence(const std::string& key);

    /// Whether the record's changes up to the version are in the key-value store.
    bool is_committed(const std::string& key, Version version) const;
    /// Keys of what is to be committed now, the most urgent class first, the oldest first in each.
    std::vector<std::string> due();

  private:
    sansio::Context& context_;
    Version version_ = 0;
    std::map<std::string, DirtyRecord> records_;
};

}  // namespace dunebridge::state
