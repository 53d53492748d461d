/// \file
/// Records of the cluster state that have changed in memory since they were last written to the
/// key-value store, and when each is to be committed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "sansio/context.hpp"
#include "state/version.hpp"

namespace dunebridge::state {

/// How soon a change is to be committed. Due records are committed in the order of these values.
enum class CommitUrgency : std::uint8_t {
    /// The end of a job, which a user is waiting for, or the format mark. Committed at once.
    terminal,
    /// A placement or a scale-out request: something starts once it is committed. Committed at
    /// once.
    prompt,
    /// Anything else, for example that a task is done or that a machine is gone. Several changes to
    /// a record are committed together after a fixed delay. Nothing is lost by waiting: a worker
    /// lists an exited task in its heartbeats until the change is committed.
    batched
};

/// A record with changes that are not committed yet.
struct DirtyRecord {
    /// Version of the oldest change that is not committed, or a lower bound of it.
    Version first_version = 0;
    /// Version of the newest change.
    Version last_version = 0;
    /// The highest urgency of its changes.
    CommitUrgency urgency = CommitUrgency::batched;
    /// When the oldest uncommitted change was made, or when the changes before it were committed,
    /// whichever is later. The delay of batched changes runs from here.
    Instant dirty_since{};
};

/// The set of dirty records, by key. Gives every change to the cluster state a version, which grows
/// for as long as the process lives.
class DirtyRecords {
  public:
    /// The context must outlive this object.
    explicit DirtyRecords(sansio::Context& context) : context_(context) {}

    void clear() { records_.clear(); }
    bool empty() const { return records_.empty(); }
    /// The version of the latest change.
    Version version() const { return version_; }
    /// Returns the record with this key; null if it has no uncommitted change.
    const DirtyRecord* find(const std::string& key) const;

    /// Registers a change to the record.
    void mark(const std::string& key, CommitUrgency urgency);
    /// Registers a change to a record that replaces `replaced`, wholly or in part, and takes over
    /// the age and the urgency of its uncommitted changes.
    void mark_replacement(const DirtyRecord& replaced, const std::string& key);
    void erase(const std::string& key) { records_.erase(key); }
    /// Registers that the record's changes up to the version are committed.
    void mark_committed(const std::string& key, Version version);
    /// Lowers the record's urgency to `batched`: none of its remaining changes lets anything start.
    void lower_to_batched(const std::string& key);

    /// Returns whether the record's changes up to the version are in the key-value store.
    bool is_committed(const std::string& key, Version version) const;
    /// Returns the keys of the records that are to be committed now, in order of urgency and then
    /// of age. Asks to be woken when the next batched record becomes due.
    std::vector<std::string> due_keys();

  private:
    sansio::Context& context_;
    Version version_ = 0;
    std::map<std::string, DirtyRecord> records_;
};

}  // namespace dunebridge::state
