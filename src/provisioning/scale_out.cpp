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

InstancePool market_of(const wire::ScaleOutRequest& request) {
    return {request.machine_type, request.zone, request.spot};
}
}  // namespace

ScaleOut::ScaleOut(sansio::Context& port, CloudClient& cloud, coordination::Election& election,
                   state::ClusterState& cluster_state,
                   const state::ReleasedMachines& released_machines, const config::Config& config)
    : context_(port),
      cloud_(cloud),
      election_(election),
      state_(cluster_state),
      released_machines_(released_machines),
      config_(config) {}

void ScaleOut::reset() {
    in_flight_.clear();
    retry_at_.clear();
    requests_ = 0;
}

void ScaleOut::request(const InstancePool& pool, std::size_t count) {
    const auto limit = config_.kv_limits.value_bytes();
    const std::uint64_t fit = limit > 2 * kRecordBytes ? (limit - kRecordBytes) / kHostBytes : 1;
    const auto most = std::min(kMaxMachinesPerRequest, fit);
    const auto key = fmt::format("{}{}", key_prefix(), ++requests_);
    state_.add_scale_out(
        {key, pool.machine_type, pool.zone, pool.spot, std::min<std::uint64_t>(count, most)});
}

// Keys of different terms never meet.
std::string ScaleOut::key_prefix() const { return fmt::format("{}-", election_.term().get()); }

bool ScaleOut::asked_in_this_term(const std::string& idempotency_key) const {
    return idempotency_key.starts_with(key_prefix());
}

std::map<InstancePool, std::size_t> ScaleOut::pending() const {
    std::map<InstancePool, std::size_t> out;
    for (const auto& key : state_.unanswered_scale_outs()) {
        const auto& request = state_.rentals().at(key).request;
        out[market_of(request)] += request.how_many;
    }
    return out;
}

std::set<InstancePool> ScaleOut::in_backoff() const {
    std::set<InstancePool> out;
    for (const auto& [pool, refusal] : refusals_) {
        if (context_.now() < refusal.until) out.insert(pool);
    }
    return out;
}

bool ScaleOut::may_send(const std::string& idempotency_key) {
    if (in_flight_.contains(idempotency_key)) return false;
    if (!state_.scale_out_committed(idempotency_key)) return false;
    const auto retry = retry_at_.find(idempotency_key);
    if (retry == retry_at_.end() || context_.now() >= retry->second) return true;
    context_.request_wake(retry->second);
    return false;
}

void ScaleOut::send() {
    for (const auto& key : state_.unanswered_scale_outs()) {
        if (!may_send(key)) continue;
        if (!cloud_.take_request()) return;
        in_flight_.insert(key);
        const auto& request = state_.rentals().at(key).request;
        cloud_.rent(request, [this, request,
                              generation = state_.generation()](const ScaleOutResult& result) {
            if (state_.usable_in(generation)) answered(request, result);
        });
    }
}

void ScaleOut::answered(const wire::ScaleOutRequest& request, const ScaleOutResult& result) {
    const auto& key = request.idempotency_key;
    in_flight_.erase(key);
    if (result.outcome == ScaleOutResult::Outcome::unknown) {
        retry_at_[key] = context_.now() + kRetry + context_.jitter(kRetry);
        return;
    }
    const auto pool = market_of(request);
    const bool granted = result.outcome == ScaleOutResult::Outcome::granted;
    const bool partly = granted && result.hosts.size() < request.how_many;
    if (partly || result.outcome == ScaleOutResult::Outcome::no_capacity) {
        refused(pool);
    } else {
        refusals_.erase(pool);
    }
    context_.log(LogLevel::info, "event=scale_out key={} type={} zone={} spot={} wanted={} got={}",
                 key, request.machine_type, request.zone, request.spot, request.how_many,
                 result.hosts.size());
    retry_at_.erase(key);
    auto hosts = result.hosts;
    std::erase_if(hosts, [&](const auto& host) { return released_machines_.contains(host); });
    state_.scale_out_answered(key, hosts);
    for (const auto& host : hosts) {
        auto* machine = state_.find_machine(host);
        if (machine && asked_in_this_term(key)) machine->instance.boot_tracked = true;
    }
}

void ScaleOut::refused(const InstancePool& pool) {
    auto& refusal = refusals_[pool];
    refusal.pause = std::clamp(refusal.pause * 2, kRefusedPause, kMaxRefusedPause);
    refusal.until = context_.now() + refusal.pause;
}

}  // namespace dunebridge::provisioning
