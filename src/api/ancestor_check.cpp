#include "api/ancestor_check.hpp"

#include <algorithm>

#include "api/timeouts.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

namespace {
constexpr int kFreshPart = 8;  // of `cancel_s`
constexpr std::size_t kMaxChecks = 64;
}  // namespace

AncestorCheck::AncestorCheck(sansio::Context& port, kv::KvClient& store,
                             const config::Config& config, TokenBucket& reads, Done done)
    : context_(port), kv_client_(store), config_(config), reads_(reads), done_(std::move(done)) {}

Millis AncestorCheck::fresh_for() const { return config_.cancellation_deadline / kFreshPart; }

bool AncestorCheck::fresh(const JobId& job) const {
    const auto it = none_ended_at_.find(job);
    return it != none_ended_at_.end() && context_.now() - it->second < fresh_for();
}

void AncestorCheck::forget_old() {
    std::erase_if(none_ended_at_, [this](const auto& entry) {
        return context_.now() - entry.second >= fresh_for();
    });
}

void AncestorCheck::start(const JobId& job, const std::vector<JobId>& ancestors) {
    forget_old();
    if (checks_.size() >= kMaxChecks && !checks_.contains(job)) {
        done_(job, Outcome::unavailable, {});
        return;
    }
    if (checks_.try_emplace(job, Check{ancestors, context_.now()}).second) next_step(job);
}

void AncestorCheck::next_step(const JobId& job) {
    const auto it = checks_.find(job);
    if (it == checks_.end()) return;
    const auto& left = it->second.left;
    if (left.empty()) {
        none_ended_at_[job] = it->second.started;
        finish(job, Outcome::none_ended, {});
        return;
    }
    if (!reads_.take(1, context_.now())) {
        const auto wait = reads_.ready_at(1, context_.now()) - context_.now();
        context_.after(wait, [this, job] { next_step(job); });
        return;
    }
    const auto count = std::min(left.size(), kv_client_.max_preconditions());
    std::vector<wire::Precondition> preconditions;
    for (auto id = left.end() - static_cast<std::ptrdiff_t>(count); id != left.end(); ++id) {
        preconditions.push_back({kv::terminal_key(*id), KeyRevision()});
    }
    kv_client_.transact(
        preconditions, {}, kReadTimeout,
        [this, job, count](const kv::TransactionResult& result) { stepped(job, count, result); });
}

void AncestorCheck::stepped(const JobId& job, std::size_t checked,
                            const kv::TransactionResult& result) {
    const auto it = checks_.find(job);
    if (it == checks_.end()) return;
    if (result.outcome == kv::Outcome::ok) {
        it->second.left.resize(it->second.left.size() - checked);
        next_step(job);
    } else if (result.outcome == kv::Outcome::conflict) {
        std::vector<JobId> ended;
        ended.reserve(result.failed.size());
        for (const auto& key : result.failed)
            ended.emplace_back(kv::without_prefix(key, kv::kTerminalPrefix));
        finish(job, Outcome::some_ended, ended);
    } else {
        finish(job, Outcome::unavailable, {});
    }
}

void AncestorCheck::finish(const JobId& job, Outcome outcome, const std::vector<JobId>& ended) {
    checks_.erase(job);
    done_(job, outcome, ended);
}

}  // namespace dunebridge::api
