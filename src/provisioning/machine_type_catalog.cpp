#include "provisioning/machine_type_catalog.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace dunebridge::provisioning {

namespace {
constexpr Millis kFetchEvery{60000};
constexpr Millis kRetry{1000};
}  // namespace

void MachineTypeCatalog::tick(bool leads) {
    if (!types_.empty() && !leads) return;
    if (!fetching_ && context_.now() >= next_fetch_) fetch();
    context_.request_wake(next_fetch_);
}

const wire::MachineType* MachineTypeCatalog::find(const std::string& name) const {
    const auto it = std::find_if(types_.begin(), types_.end(),
                                 [&](const auto& type) { return type.name == name; });
    return it == types_.end() ? nullptr : &*it;
}

void MachineTypeCatalog::fetch() {
    constexpr Millis until_answered{5000};
    fetching_ = true;
    next_fetch_ = context_.now() + until_answered;
    cloud_.machine_types([this](std::optional<std::vector<wire::MachineType>> types) {
        fetching_ = false;
        next_fetch_ = context_.now() + kRetry + context_.jitter(kRetry);
        if (!types) return;
        types_ = std::move(*types);
        next_fetch_ = context_.now() + kFetchEvery;
    });
}

}  // namespace dunebridge::provisioning
