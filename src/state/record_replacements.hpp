// Records that take the place of a larger one. All of them are written, and the larger one is
// removed, in one transaction, so that no task is ever in two records or in none.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/model.hpp"

namespace dunebridge::state {

class RecordReplacements {
  public:
    void clear();
    // The record in whose place this one is to be written; itself if there is none.
    std::string original_of(const std::string& key) const;
    // Whether other records are to take this one's place.
    bool is_original(const std::string& key) const { return parts_.contains(key); }
    // The records that take its place; none if nothing does.
    const std::set<std::string>& parts_of(const std::string& original) const;
    // The parts take the place of the record, which may itself be a part of the original.
    void replace(const std::string& original, const std::string& key,
                 const std::vector<TaskRange>& parts);
    // The transaction with all of the parts is committed.
    void committed(const std::string& original);

  private:
    std::map<std::string, std::set<std::string>> parts_;  // by original
    std::map<std::string, std::string> originals_;        // by part
};

}  // namespace dunebridge::state
