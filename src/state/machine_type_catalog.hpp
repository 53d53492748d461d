/// \file
/// The machine types that the cloud offers, as last read. Plain data: src/provisioning fetches it,
/// src/api and the controller only read it.
#pragma once

#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace dunebridge::state {

/// The cloud's machine types with their current prices. Empty until they have been fetched once.
class MachineTypeCatalog {
  public:
    /// Whether no list has been read yet: this node then cannot judge whether a job can ever run.
    bool empty() const { return types_.empty(); }
    /// All types, in the cloud's order. The reference stays valid as long as the catalog.
    const std::vector<wire::MachineType>& all() const { return types_; }
    /// The type of that name; null if the cloud offers none. The pointer is valid until replace().
    const wire::MachineType* find(const std::string& name) const;
    /// Replaces the whole list by a newer one.
    void replace(std::vector<wire::MachineType> types);

  private:
    std::vector<wire::MachineType> types_;
};

}  // namespace dunebridge::state
