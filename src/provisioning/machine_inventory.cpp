#include "provisioning/machine_inventory.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace dunebridge::provisioning {

using sansio::LogLevel;

namespace {
constexpr Millis kReadInterval{4000};
// Share of the cloud's request rate that reading may use on average: even with a long list most of
// the rate is left for scale-out and deletions.
constexpr double kRateShare = 0.25;
constexpr Millis kPageRetryDelay{200};
}  // namespace

MachineInventory::MachineInventory(sansio::Context& context, CloudClient& cloud,
                                   state::ClusterState& cluster_state,
                                   const state::ReleasedMachines& released_machines,
                                   const config::Config& config, OnMachineFailed on_machine_failed)
    : context_(context),
      cloud_(cloud),
      state_(cluster_state),
      released_machines_(released_machines),
      config_(config),
      on_machine_failed_(std::move(on_machine_failed)) {}

void MachineInventory::reset() {
    reading_ = false;
    next_read_ = Instant{};
}

void MachineInventory::tick() {
    if (!reading_ && context_.now() >= next_read_ && cloud_.try_acquire_request()) start_read();
    context_.request_wake(next_read_);
}

void MachineInventory::start_read() {
    reading_ = true;
    listed_hosts_.clear();
    pages_requested_ = 0;
    read_page({}, state_.generation());
}

void MachineInventory::read_page(const std::string& after, std::uint64_t generation) {
    if (!state_.usable_in(generation)) return;
    // Each page is one request; tick() has acquired the request for the first page.
    if (pages_requested_ > 0 && !cloud_.try_acquire_request()) {
        context_.after(kPageRetryDelay,
                       [this, after, generation] { read_page(after, generation); });
        return;
    }
    ++pages_requested_;
    cloud_.list_machines(
        after, [this, generation](const std::optional<wire::MachineListPage>& page) {
            if (!state_.usable_in(generation)) return;
            reading_ = false;
            const auto rate_limited_interval =
                from_seconds(pages_requested_ / (kRateShare * config_.cloud_rps));
            next_read_ = context_.now() + std::max(kReadInterval, rate_limited_interval);
            if (page) apply_page(*page, generation);
        });
}

void MachineInventory::apply_page(const wire::MachineListPage& page, std::uint64_t generation) {
    for (const auto& row : page.machines) apply_row(row);
    if (page.has_next && !page.machines.empty()) {
        reading_ = true;
        read_page(page.machines.back().host.get(), generation);
        return;
    }
    count_missed_listings();
}

void MachineInventory::apply_row(const wire::ListedMachine& row) {
    listed_hosts_.insert(row.host);
    if (released_machines_.contains(row.host)) return;  // the list lags behind
    auto* machine = state_.find_machine(row.host);
    if (!machine) {
        machine = &state_.add_machine(row.host, row.machine_type, row.zone, row.spot);
        context_.log(LogLevel::info, "event=unrecorded_machine host={} phase={}", row.host.get(),
                     static_cast<int>(row.phase));
    }
    auto& instance = machine->instance;
    instance.listed = true;
    instance.missed_listings = 0;
    if (machine->machine_type.empty()) {
        state_.set_machine_properties(*machine, row.machine_type, row.zone, row.spot);
    }
    if (!machine->worker.heartbeat_received) {
        instance.provisioned_at =
            std::min(instance.provisioned_at, context_.now() - from_seconds(row.age_s));
        instance.starting = row.phase == wire::MachinePhase::starting;
    }
    if (row.phase != wire::MachinePhase::failed || instance.failed) return;
    // A failed machine has stopped, so none of its tasks is running.
    instance.failed = true;
    while (!machine->placements.empty())
        state_.remove_placement(*machine, machine->placements.begin()->first);
    on_machine_failed_(*machine);
}

void MachineInventory::count_missed_listings() {
    for (auto& [host, machine] : state_.machines()) {
        if (!listed_hosts_.contains(host)) ++machine.instance.missed_listings;
    }
}

}  // namespace dunebridge::provisioning
