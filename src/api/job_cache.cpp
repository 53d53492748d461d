#include "api/job_cache.hpp"

#include <algorithm>
#include <utility>

namespace dunebridge::api {

namespace {
constexpr std::size_t kMaxJobs = 8000;
constexpr std::size_t kMaxAncestors = 100000;  // some six megabytes
}  // namespace

const JobCache::Entry* JobCache::find(const JobId& job) const {
    const auto it = slots_.find(job);
    return it == slots_.end() ? nullptr : &it->second.entry;
}

bool JobCache::known_done(const JobId& job) const {
    const auto* entry = find(job);
    return entry && entry->end && entry->end->phase == wire::JobPhase::done;
}

const std::vector<JobId>& JobCache::ancestors(const JobId& job) const {
    static const std::vector<JobId> none;
    const auto* entry = find(job);
    return entry ? entry->ancestors : none;
}

JobCache::Slot& JobCache::slot(const JobId& job) {
    const auto [it, added] = slots_.try_emplace(job);
    if (added) {
        ages_.push_back(job);
        it->second.age = std::prev(ages_.end());
        if (slots_.size() > kMaxJobs) evict();
    }
    return it->second;
}

void JobCache::evict() {
    const auto oldest = slots_.find(ages_.front());
    ancestors_kept_ -= oldest->second.entry.ancestors.size();
    slots_.erase(oldest);
    ages_.pop_front();
}

void JobCache::set_record(const JobId& job, KeyRevision record) { slot(job).entry.record = record; }

void JobCache::set_end(const JobId& job, const wire::JobStatus& end) {
    slot(job).entry.end = end;
    set_ancestors(job, {});
}

void JobCache::set_ancestors(const JobId& job, std::vector<JobId> ancestors) {
    std::erase_if(ancestors, [this](const JobId& id) { return known_done(id); });
    auto& kept = slot(job).entry.ancestors;
    ancestors_kept_ += ancestors.size();
    ancestors_kept_ -= kept.size();
    kept = std::move(ancestors);
    while (ancestors_kept_ > kMaxAncestors && ages_.front() != job) evict();
}

void JobCache::remove_ancestor(const JobId& job, const JobId& ancestor) {
    const auto it = slots_.find(job);
    if (it == slots_.end()) return;
    ancestors_kept_ -= std::erase(it->second.entry.ancestors, ancestor);
}

}  // namespace dunebridge::api
