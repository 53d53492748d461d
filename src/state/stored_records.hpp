/// \file
/// Which of the cluster state's records exist in the key-value store, and the revision of each.
/// Terminal records are not tracked: they are created once and never change.
#pragma once

#include <string>
#include <unordered_map>

#include "base/types.hpp"

namespace dunebridge::state {

/// The revision at which this leader last read or wrote each of its records.
class StoredRecords {
  public:
    void clear() { revisions_.clear(); }
    bool contains(const std::string& key) const { return revisions_.contains(key); }
    /// Returns the revision for a precondition on the record: if the record does not exist, this is
    /// the default revision, which stands for an absent key.
    KeyRevision revision(const std::string& key) const {
        const auto it = revisions_.find(key);
        return it == revisions_.end() ? KeyRevision() : it->second;
    }
    void set(const std::string& key, KeyRevision revision) { revisions_[key] = revision; }
    /// Used for a record that was read late: a revision that is already known is at least as new.
    void set_if_unknown(const std::string& key, KeyRevision revision) {
        revisions_.try_emplace(key, revision);
    }
    void erase(const std::string& key) { revisions_.erase(key); }

  private:
    std::unordered_map<std::string, KeyRevision> revisions_;
};

}  // namespace dunebridge::state
