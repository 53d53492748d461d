#include "state/machine_type_catalog.hpp"

#include <algorithm>
#include <utility>

namespace dunebridge::state {

const wire::MachineType* MachineTypeCatalog::find(const std::string& name) const {
    const auto it = std::find_if(types_.begin(), types_.end(),
                                 [&](const auto& type) { return type.name == name; });
    return it == types_.end() ? nullptr : &*it;
}

void MachineTypeCatalog::replace(std::vector<wire::MachineType> types) {
    types_ = std::move(types);
}

}  // namespace dunebridge::state
