/// \file
/// Progress records that have become too large and whose parts have not been committed yet.
///
/// All parts are written, and the split record is removed, in one transaction, so that no task is
/// ever in two records or in none.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/job.hpp"

namespace dunebridge::state {

/// Which records are split in memory while the key-value store still has them whole. Records are
/// named by their keys. A part that grows too large before it is committed is split in its turn;
/// its parts then belong to the record that is still stored.
class PendingSplits {
  public:
    /// Forgets all splits: another term begins.
    void clear();
    /// The split record that this one is a part of; the record itself if it is a part of none.
    std::string split_record_of(const std::string& key) const;
    /// Whether the record is split, and is to be removed in favour of its parts.
    bool is_split(const std::string& key) const { return parts_.contains(key); }
    /// The parts of a split record; empty if the record is not split.
    const std::set<std::string>& parts_of(const std::string& split_record) const;
    /// Records that `key`, which is `split_record` or a part of it, is divided into `parts`.
    void split(const std::string& split_record, const std::string& key,
               const std::vector<TaskRange>& parts);
    /// The transaction with all parts is committed: the split record is gone.
    void mark_committed(const std::string& split_record);

  private:
    std::map<std::string, std::set<std::string>> parts_;  ///< Keys of the parts, by split record.
    std::map<std::string, std::string> split_records_;    ///< Keys of split records, by part.
};

}  // namespace dunebridge::state
