#include "api/ancestor_check.hpp"

#include <algorithm>

#include "api/request_limits.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

AncestorCheck::AncestorCheck(sansio::Context& context, kv::KvClient& kv_client,
                             const config::Config& config, TokenBucket& read_budget,
                             OnFinished on_finished)
    : context_(context),
      kv_client_(kv_client),
      config_(config),
      read_budget_(read_budget),
      on_finished_(std::move(on_finished)) {}

Millis AncestorCheck::validity() const {
    return config_.cancellation_deadline / kAncestorCheckValidityDivisor;
}

bool AncestorCheck::has_valid_check(const JobId& job) const {
    const auto it = last_passed_at_.find(job);
    return it != last_passed_at_.end() && context_.now() - it->second < validity();
}

void AncestorCheck::remove_expired() {
    std::erase_if(last_passed_at_, [this](const auto& entry) {
        return context_.now() - entry.second >= validity();
    });
}

void AncestorCheck::start(const JobId& job, const std::vector<JobId>& ancestors) {
    remove_expired();
    if (checks_.size() >= kMaxConcurrentAncestorChecks && !checks_.contains(job)) {
        on_finished_(job, Outcome::unavailable, {});
        return;
    }
    if (checks_.try_emplace(job, Check{ancestors, context_.now()}).second) check_next(job);
}

void AncestorCheck::check_next(const JobId& job) {
    const auto it = checks_.find(job);
    if (it == checks_.end()) return;
    const auto& unchecked = it->second.unchecked;
    if (unchecked.empty()) {
        last_passed_at_[job] = it->second.started_at;
        finish(job, Outcome::none_terminal, {});
        return;
    }
    if (!read_budget_.take(1, context_.now())) {
        const auto wait = read_budget_.ready_at(1, context_.now()) - context_.now();
        context_.after(wait, [this, job] { check_next(job); });
        return;
    }
    const auto count = std::min(unchecked.size(), kv_client_.max_preconditions());
    std::vector<wire::Precondition> preconditions;
    for (auto id = unchecked.end() - static_cast<std::ptrdiff_t>(count); id != unchecked.end();
         ++id) {
        preconditions.push_back({kv::terminal_key(*id), KeyRevision()});
    }
    kv_client_.compare_and_swap(preconditions, {}, kReadTimeout,
                                [this, job, count](const kv::TransactionResult& result) {
                                    handle_result(job, count, result);
                                });
}

void AncestorCheck::handle_result(const JobId& job, std::size_t checked,
                                  const kv::TransactionResult& result) {
    const auto it = checks_.find(job);
    if (it == checks_.end()) return;
    if (result.outcome == kv::TransactionOutcome::ok) {
        auto& unchecked = it->second.unchecked;
        unchecked.resize(unchecked.size() - checked);
        check_next(job);
    } else if (result.outcome == kv::TransactionOutcome::conflict) {
        std::vector<JobId> terminal;
        terminal.reserve(result.conflicting_keys.size());
        for (const auto& key : result.conflicting_keys) {
            terminal.emplace_back(kv::without_prefix(key, kv::kTerminalPrefix));
        }
        finish(job, Outcome::some_terminal, terminal);
    } else {
        finish(job, Outcome::unavailable, {});
    }
}

void AncestorCheck::finish(const JobId& job, Outcome outcome, const std::vector<JobId>& terminal) {
    checks_.erase(job);
    on_finished_(job, outcome, terminal);
}

}  // namespace dunebridge::api
