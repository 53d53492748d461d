/// \file
/// Progress records that were split because they had become too large, and whose parts are not
/// committed yet.
///
/// One transaction writes all parts and removes the split record, so that every task is in exactly
/// one stored record at any time.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/job.hpp"

namespace dunebridge::state {

/// Keys of the records that are split in memory while the key-value store still holds them whole,
/// and of their parts. If a part grows too large before it is committed, it is split as well; its
/// parts then count as parts of the record that is still stored.
class PendingSplits {
  public:
    /// Forgets all splits. To be called when a term begins or ends.
    void clear();
    /// Returns the key of the split record of which this record is a part, or `key` if there is
    /// none.
    std::string split_record_of(const std::string& key) const;
    /// Returns whether the record is split and is to be replaced by its parts.
    bool is_split(const std::string& key) const { return parts_.contains(key); }
    /// Returns the keys of the parts of a split record; empty if the record is not split.
    const std::set<std::string>& parts_of(const std::string& split_record) const;
    /// Registers that the record `key`, which is `split_record` or a part of it, is divided into
    /// `parts`.
    void add_split(const std::string& split_record, const std::string& key,
                   const std::vector<TaskRange>& parts);
    /// Registers that the transaction that replaces the split record by its parts is committed.
    void mark_committed(const std::string& split_record);

  private:
    /// Keys of the parts, by key of the split record.
    std::map<std::string, std::set<std::string>> parts_;
    /// Key of the split record, by key of the part.
    std::map<std::string, std::string> split_records_;
};

}  // namespace dunebridge::state
