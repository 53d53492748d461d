/// \file
/// The machine types that the cloud offers, as last fetched. Plain data: src/provisioning fetches
/// it, and src/api and the controller only read it.
#pragma once

#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace dunebridge::state {

/// The cloud's machine types with their current prices. Empty until they have been fetched once.
class MachineTypeCatalog {
  public:
    /// Returns true if no list has been fetched yet. This node then cannot tell whether a job can
    /// ever run.
    bool empty() const { return types_.empty(); }
    /// Returns all types, in the cloud's order. The reference is valid for the catalog's lifetime.
    const std::vector<wire::MachineType>& all() const { return types_; }
    /// Returns the type with this name; null if there is none. The pointer is valid until
    /// replace().
    const wire::MachineType* find(const std::string& name) const;
    /// Replaces the whole list.
    void replace(std::vector<wire::MachineType> types);

  private:
    std::vector<wire::MachineType> types_;
};

}  // namespace dunebridge::state
