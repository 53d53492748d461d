#include "api/job_cache.hpp"

#include <algorithm>
#include <utility>

namespace dunebridge::api {

const JobCache::Entry* JobCache::find(const JobId& job) const {
    const auto it = entries_.find(job);
    return it == entries_.end() ? nullptr : &it->second;
}

KeyRevision JobCache::record(const JobId& job) const {
    const auto* entry = find(job);
    return entry ? entry->record : KeyRevision();
}

bool JobCache::is_known_done(const JobId& job) const {
    const auto* entry = find(job);
    return entry && entry->terminal && entry->terminal->phase == wire::JobPhase::done;
}

const std::vector<JobId>& JobCache::ancestors(const JobId& job) const {
    static const std::vector<JobId> none;
    const auto* entry = find(job);
    return entry ? entry->ancestors : none;
}

JobCache::Entry& JobCache::entry(const JobId& job) {
    const auto [it, added] = entries_.try_emplace(job);
    if (added) {
        insertion_order_.push_back(job);
        if (entries_.size() > limits_.max_jobs) evict_oldest();
    }
    return it->second;
}

void JobCache::evict_oldest() {
    const auto oldest = entries_.find(insertion_order_.front());
    ancestor_count_ -= oldest->second.ancestors.size();
    entries_.erase(oldest);
    insertion_order_.pop_front();
}

void JobCache::set_open(const JobId& job, KeyRevision record, std::vector<JobId> ancestors) {
    entry(job).record = record;
    set_ancestors(job, std::move(ancestors));
}

void JobCache::set_no_record(const JobId& job) { set_open(job, KeyRevision(), {}); }

void JobCache::set_terminal(const JobId& job, const wire::JobStatus& terminal) {
    entry(job).terminal = terminal;
    set_ancestors(job, {});
}

void JobCache::set_ancestors(const JobId& job, std::vector<JobId> ancestors) {
    std::erase_if(ancestors, [this](const JobId& id) { return is_known_done(id); });
    auto& kept = entry(job).ancestors;
    ancestor_count_ += ancestors.size();
    ancestor_count_ -= kept.size();
    kept = std::move(ancestors);
    while (ancestor_count_ > limits_.max_ancestors && insertion_order_.front() != job)
        evict_oldest();
}

void JobCache::remove_ancestor(const JobId& job, const JobId& ancestor) {
    const auto it = entries_.find(job);
    if (it == entries_.end()) return;
    ancestor_count_ -= std::erase(it->second.ancestors, ancestor);
}

}  // namespace dunebridge::api
