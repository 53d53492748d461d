#include "provisioning/scale_out.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace dunebridge::provisioning {

using sansio::LogLevel;

namespace {
constexpr Millis kRetry{1000};
// For how long a market that refused is left alone, at first and at most.
constexpr Millis kRefusedPause{15000};
constexpr Millis kMaxRefusedPause{60000};
constexpr std::uint64_t kMaxMachinesPerRequest = 50;
// The record of a rental names its machines: its size without any, and for each.
constexpr std::size_t kRecordBytes = 400;
constexpr std::size_t kHostBytes = 30;

Market market_of(const wire::RentalRequest& request) {
    return {request.machine_type, request.zone, request.spot};
}
}  // namespace

Rentals::Rentals(sansio::Port& port, CloudClient& cloud, coordination::Election& election,
                 state::Ledger& ledger, workers::Workers& workers, const config::Config& config)
    : port_(port),
      cloud_(cloud),
      election_(election),
      ledger_(ledger),
      workers_(workers),
      config_(config) {}

void Rentals::reset() {
    in_flight_.clear();
    retry_at_.clear();
    requests_ = 0;
}

void Rentals::request(const Market& market, std::size_t count) {
    const auto limit = config_.state.value_bytes();
    const std::uint64_t fit = limit > 2 * kRecordBytes ? (limit - kRecordBytes) / kHostBytes : 1;
    const auto most = std::min(kMaxMachinesPerRequest, fit);
    const auto key = fmt::format("{}{}", key_prefix(), ++requests_);
    ledger_.add_rental(
        {key, market.machine_type, market.zone, market.spot, std::min<std::uint64_t>(count, most)});
}

// Keys of different terms never meet.
std::string Rentals::key_prefix() const { return fmt::format("{}-", election_.term().get()); }

bool Rentals::asked_in_this_term(const std::string& idempotency_key) const {
    return idempotency_key.starts_with(key_prefix());
}

std::map<Market, std::size_t> Rentals::pending() const {
    std::map<Market, std::size_t> out;
    for (const auto& key : ledger_.open_rentals()) {
        const auto& request = ledger_.rentals().at(key).request;
        out[market_of(request)] += request.how_many;
    }
    return out;
}

std::set<Market> Rentals::blocked() const {
    std::set<Market> out;
    for (const auto& [market, refusal] : refusals_) {
        if (port_.now() < refusal.until) out.insert(market);
    }
    return out;
}

bool Rentals::may_send(const std::string& idempotency_key) {
    if (in_flight_.contains(idempotency_key)) return false;
    if (!ledger_.rental_committed(idempotency_key)) return false;
    const auto retry = retry_at_.find(idempotency_key);
    if (retry == retry_at_.end() || port_.now() >= retry->second) return true;
    port_.wake_at(retry->second);
    return false;
}

void Rentals::send() {
    for (const auto& key : ledger_.open_rentals()) {
        if (!may_send(key)) continue;
        if (!cloud_.take_request()) return;
        in_flight_.insert(key);
        const auto& request = ledger_.rentals().at(key).request;
        cloud_.rent(request,
                    [this, request, generation = ledger_.generation()](const RentalResult& result) {
                        if (ledger_.usable_in(generation)) answered(request, result);
                    });
    }
}

void Rentals::answered(const wire::RentalRequest& request, const RentalResult& result) {
    const auto& key = request.idempotency_key;
    in_flight_.erase(key);
    if (result.outcome == RentalResult::Outcome::unknown) {
        retry_at_[key] = port_.now() + kRetry + port_.jitter(kRetry);
        return;
    }
    const auto market = market_of(request);
    const bool granted = result.outcome == RentalResult::Outcome::granted;
    const bool partly = granted && result.hosts.size() < request.how_many;
    if (partly || result.outcome == RentalResult::Outcome::no_capacity) {
        refused(market);
    } else {
        refusals_.erase(market);
    }
    port_.log(LogLevel::info, "event=rented key={} type={} zone={} spot={} wanted={} got={}", key,
              request.machine_type, request.zone, request.spot, request.how_many,
              result.hosts.size());
    retry_at_.erase(key);
    auto hosts = result.hosts;
    std::erase_if(hosts, [&](const auto& host) { return workers_.was_deleted(host); });
    ledger_.rental_answered(key, hosts);
    for (const auto& host : hosts) {
        auto* machine = ledger_.find_machine(host);
        if (machine && asked_in_this_term(key)) machine->cloud.awaited = true;
    }
}

void Rentals::refused(const Market& market) {
    auto& refusal = refusals_[market];
    refusal.pause = std::clamp(refusal.pause * 2, kRefusedPause, kMaxRefusedPause);
    refusal.until = port_.now() + refusal.pause;
}

}  // namespace dunebridge::provisioning
