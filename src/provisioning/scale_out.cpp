#include "provisioning/scale_out.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace dunebridge::provisioning {

using sansio::LogLevel;

namespace {
constexpr Millis kRetryDelay{1000};
// Initial and maximum backoff of a pool that lacks capacity.
constexpr Millis kMinBackoff{15000};
constexpr Millis kMaxBackoff{60000};
constexpr std::uint64_t kMaxMachinesPerRequest = 50;
// Estimated size of a request's record, which lists the granted machines: without machines, and the
// increase per machine.
constexpr std::size_t kBaseRecordBytes = 400;
constexpr std::size_t kBytesPerHost = 30;

InstancePool pool_of(const wire::ScaleOutRequest& request) {
    return {request.machine_type, request.zone, request.spot};
}
}  // namespace

ScaleOut::ScaleOut(sansio::Context& context, CloudClient& cloud, coordination::Election& election,
                   state::ClusterState& cluster_state,
                   const state::ReleasedMachines& released_machines, const config::Config& config)
    : context_(context),
      cloud_(cloud),
      election_(election),
      state_(cluster_state),
      released_machines_(released_machines),
      config_(config) {}

void ScaleOut::reset() {
    in_flight_.clear();
    retry_at_.clear();
    request_count_ = 0;
}

void ScaleOut::request(const InstancePool& pool, std::size_t count) {
    const auto limit = config_.kv_limits.value_bytes();
    const std::uint64_t max_machines_on_record =
        limit > 2 * kBaseRecordBytes ? (limit - kBaseRecordBytes) / kBytesPerHost : 1;
    const auto max_machines = std::min(kMaxMachinesPerRequest, max_machines_on_record);
    const auto key = fmt::format("{}{}", key_prefix(), ++request_count_);
    state_.add_scale_out({key, pool.machine_type, pool.zone, pool.spot,
                          std::min<std::uint64_t>(count, max_machines)});
}

// The term makes the keys of different leaders distinct.
std::string ScaleOut::key_prefix() const { return fmt::format("{}-", election_.term().get()); }

bool ScaleOut::requested_in_this_term(const std::string& idempotency_key) const {
    return idempotency_key.starts_with(key_prefix());
}

std::map<InstancePool, std::size_t> ScaleOut::outstanding_machines() const {
    std::map<InstancePool, std::size_t> result;
    for (const auto& key : state_.unanswered_scale_outs()) {
        const auto& request = state_.scale_outs().at(key).request;
        result[pool_of(request)] += request.machine_count;
    }
    return result;
}

std::set<InstancePool> ScaleOut::in_backoff() const {
    std::set<InstancePool> result;
    for (const auto& [pool, backoff] : backoffs_) {
        if (context_.now() < backoff.until) result.insert(pool);
    }
    return result;
}

bool ScaleOut::may_send(const std::string& idempotency_key) {
    if (in_flight_.contains(idempotency_key)) return false;
    if (!state_.is_scale_out_committed(idempotency_key)) return false;
    const auto retry = retry_at_.find(idempotency_key);
    if (retry == retry_at_.end() || context_.now() >= retry->second) return true;
    context_.request_wake(retry->second);
    return false;
}

void ScaleOut::send() {
    for (const auto& key : state_.unanswered_scale_outs()) {
        if (!may_send(key)) continue;
        if (!cloud_.try_acquire_request()) return;
        in_flight_.insert(key);
        const auto& request = state_.scale_outs().at(key).request;
        cloud_.provision(request, [this, request,
                                   generation = state_.generation()](const ScaleOutResult& result) {
            if (state_.usable_in(generation)) handle_response(request, result);
        });
    }
}

void ScaleOut::handle_response(const wire::ScaleOutRequest& request, const ScaleOutResult& result) {
    const auto& key = request.idempotency_key;
    in_flight_.erase(key);
    if (result.outcome == ScaleOutResult::Outcome::unknown) {
        retry_at_[key] = context_.now() + kRetryDelay + context_.jitter(kRetryDelay);
        return;
    }
    update_backoff(request, result);
    context_.log(LogLevel::info, "event=scale_out key={} type={} zone={} spot={} wanted={} got={}",
                 key, request.machine_type, request.zone, request.spot, request.machine_count,
                 result.hosts.size());
    retry_at_.erase(key);
    add_machines(key, result);
}

void ScaleOut::update_backoff(const wire::ScaleOutRequest& request, const ScaleOutResult& result) {
    using Outcome = ScaleOutResult::Outcome;
    const auto pool = pool_of(request);
    const bool partly_granted =
        result.outcome == Outcome::granted && result.hosts.size() < request.machine_count;
    if (!partly_granted && result.outcome != Outcome::no_capacity) {
        backoffs_.erase(pool);
        return;
    }
    auto& backoff = backoffs_[pool];
    backoff.duration = std::clamp(backoff.duration * 2, kMinBackoff, kMaxBackoff);
    backoff.until = context_.now() + backoff.duration;
}

void ScaleOut::add_machines(const std::string& idempotency_key, const ScaleOutResult& result) {
    auto hosts = result.hosts;
    // The response to a repeated request may name machines that have been deleted since then.
    std::erase_if(hosts, [&](const auto& host) { return released_machines_.contains(host); });
    state_.apply_scale_out_response(idempotency_key, hosts);
    for (const auto& host : hosts) {
        auto* machine = state_.find_machine(host);
        if (machine && requested_in_this_term(idempotency_key)) {
            machine->instance.boot_tracked = true;
        }
    }
}

}  // namespace dunebridge::provisioning
