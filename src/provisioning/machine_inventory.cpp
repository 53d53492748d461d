#include "provisioning/machine_inventory.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace dunebridge::provisioning {

using sansio::LogLevel;

namespace {
constexpr Millis kEvery{4000};
// Of the cloud's rate: a long list leaves most of it to rentals and deletions.
constexpr double kShare = 0.25;
constexpr Millis kPagePause{200};
}  // namespace

MachineList::MachineList(sansio::Port& port, CloudClient& cloud, state::Ledger& ledger,
                         workers::Workers& workers, const config::Config& config,
                         std::function<void(state::Machine&)> failed)
    : port_(port),
      cloud_(cloud),
      ledger_(ledger),
      workers_(workers),
      config_(config),
      failed_(std::move(failed)) {}

void MachineList::reset() {
    reading_ = false;
    next_ = Instant{};
}

void MachineList::tick() {
    if (!reading_ && port_.now() >= next_ && cloud_.take_request()) start();
    port_.wake_at(next_);
}

void MachineList::start() {
    reading_ = true;
    seen_.clear();
    pages_ = 0;
    read_page({}, ledger_.generation());
}

void MachineList::read_page(const std::string& after, std::uint64_t generation) {
    if (!ledger_.usable_in(generation)) return;
    // Each page is a request; the first has been taken from the budget.
    if (pages_ > 0 && !cloud_.take_request()) {
        port_.after(kPagePause, [this, after, generation] { read_page(after, generation); });
        return;
    }
    ++pages_;
    cloud_.list_machines(
        after, [this, generation](const std::optional<wire::MachineListPage>& page) {
            if (!ledger_.usable_in(generation)) return;
            reading_ = false;
            const auto share_of_rate = from_seconds(pages_ / (kShare * config_.cloud_rps));
            next_ = port_.now() + std::max(kEvery, share_of_rate);
            if (page) take_page(*page, generation);
        });
}

void MachineList::take_page(const wire::MachineListPage& page, std::uint64_t generation) {
    for (const auto& row : page.hosts) take_row(row);
    if (page.has_next && !page.hosts.empty()) {
        reading_ = true;
        read_page(page.hosts.back().host.get(), generation);
        return;
    }
    count_missing();
}

void MachineList::take_row(const wire::MachineListing& row) {
    seen_.insert(row.host);
    if (workers_.was_deleted(row.host)) return;  // the list is late
    auto* machine = ledger_.find_machine(row.host);
    if (!machine) {
        machine = &ledger_.add_machine(row.host, row.machine_type, row.zone, row.spot);
        port_.log(LogLevel::info, "event=machine_unexpected host={} phase={}", row.host.get(),
                  static_cast<int>(row.phase));
    }
    auto& cloud = machine->cloud;
    cloud.listed = true;
    cloud.missing_lists = 0;
    if (machine->machine_type.empty()) {
        ledger_.describe(*machine, row.machine_type, row.zone, row.spot);
    }
    if (!machine->worker.reported) {
        cloud.rented_at = std::min(cloud.rented_at, port_.now() - from_seconds(row.held_s));
        cloud.starting = row.phase == wire::MachinePhase::starting;
    }
    if (row.phase != wire::MachinePhase::failed || cloud.failed) return;
    // A failed machine has stopped: whatever was on it is gone.
    cloud.failed = true;
    while (!machine->tasks.empty()) ledger_.remove(*machine, machine->tasks.begin()->first);
    failed_(*machine);
}

void MachineList::count_missing() {
    for (auto& [host, machine] : ledger_.machines()) {
        if (!seen_.contains(host)) ++machine.cloud.missing_lists;
    }
}

}  // namespace dunebridge::provisioning
