/// \file
/// Which of the cluster state's records exist in the key-value store, and at which revision each
/// was left. Ends are not among them: they are created once and never change.
#pragma once

#include <string>
#include <unordered_map>

#include "base/types.hpp"

namespace dunebridge::state {

/// The revisions at which the leader left its records in the key-value store.
class StoredRecords {
  public:
    void clear() { revisions_.clear(); }
    bool contains(const std::string& key) const { return revisions_.contains(key); }
    /// The revision that a transaction on the record is guarded with; that of an absent key if the
    /// record does not exist.
    KeyRevision revision(const std::string& key) const {
        const auto it = revisions_.find(key);
        return it == revisions_.end() ? KeyRevision() : it->second;
    }
    void set(const std::string& key, KeyRevision revision) { revisions_[key] = revision; }
    /// Read late: a revision that is known already is at least as new.
    void set_if_unknown(const std::string& key, KeyRevision revision) {
        revisions_.try_emplace(key, revision);
    }
    void erase(const std::string& key) { revisions_.erase(key); }

  private:
    std::unordered_map<std::string, KeyRevision> revisions_;
};

}  // namespace dunebridge::state
