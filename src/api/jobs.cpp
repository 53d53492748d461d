#include "api/jobs.hpp"

#include <algorithm>
#include <set>

#include "state/keys.hpp"

namespace dunebridge::api {

using core::LogLevel;
using state::end_key;
using state::job_key;
using state::Outcome;
using wire::JobPhase;
using wire::JobStatus;

namespace {
constexpr std::size_t kMostKnown = 8000;
constexpr std::size_t kMostWaiting = 400;
constexpr int kMostTries = 5;
constexpr int kMostConfirming = 2;
constexpr int kMostCreating = 2;
// A state service that takes seconds is still of use: users wait 2 s for a poll's answer, 5 s for
// the others'.
constexpr Millis kCallTimeout{1500};
constexpr Millis kWriteTimeout{3000};
constexpr Millis kGiveUp{1500};
constexpr int kRetryAfter_s = 1;
// A node's share of the budgets; the leader's ledger has the larger part (core/ledger.cpp).
constexpr double kWriteShare = 0.2;
constexpr double kReadShare = 0.25;
constexpr std::size_t kTxnBytes = 30 * 1024;
}  // namespace

Jobs::Jobs(core::Port& port, state::Store& store, const core::Config& config,
           const std::vector<wire::MachineType>& types, Display display, Announce announce)
    : port_(port),
      store_(store),
      config_(config),
      types_(types),
      display_(std::move(display)),
      announce_(std::move(announce)),
      writes_(kWriteShare * config.state.write_rps()),
      reads_(kReadShare * config.state.rps()) {}

// ---- requests ----

Jobs::Ask Jobs::new_ask(RequestId request, const JobId& id, Intent intent) const {
    Ask ask;
    ask.request = request;
    ask.id = id;
    ask.intent = intent;
    ask.since = port_.now();
    return ask;
}

void Jobs::submit(RequestId request, const std::string& body) {
    const auto doc = wire::Document::parse(body);
    const auto id = doc ? wire::peek_job_id(doc->root()) : std::nullopt;
    if (!id) {
        port_.answer(request, 400, wire::encode_error("malformed"));
        return;
    }
    auto ask = new_ask(request, *id, Intent::submit);
    if (answer_if_ended(ask)) return;
    try {
        const auto job = wire::decode_job(doc->root());
        if (types_.empty()) {
            unavailable(ask);
            return;
        }
        ask.error = refusal(job);
        if (ask.error.empty()) {
            wire::Writer w;
            wire::encode_job(w, job);
            ask.spec_json = w.json_size();
            ask.spec = w.take();
            ask.needs = job.waits_on;
        } else {
            ask.status = 422;
        }
    } catch (const wire::DecodeError& e) {
        ask.error = e.what();
        ask.status = 400;
    }
    // A known id is answered with its state, whatever else the repeat carries.
    if (ask.status != 200) {
        ask.intent = Intent::refuse;
        enqueue(std::move(ask));
    } else if (ask.needs.empty()) {
        make_record(std::move(ask));
    } else {
        submit_waiting(std::move(ask));
    }
}

// A known id is answered with its state, whatever it carries; else this is the answer.
void Jobs::refuse(Ask ask, int status, std::string why) {
    ask.intent = Intent::refuse;
    ask.status = status;
    ask.error = std::move(why);
    enqueue(std::move(ask));
}

void Jobs::make_record(Ask ask) {
    wire::Writer w;
    const bool waits = !ask.before.empty();
    w.map(waits ? 3 : 2).text("at").count(static_cast<std::uint64_t>(port_.wall_ms()));
    if (waits) {
        w.text("before");
        wire::encode_job_ids(w, ask.before);
    }
    w.text("spec").raw(ask.spec, ask.spec_json);
    if (w.json_size() > config_.state.value_bytes()) {
        refuse(std::move(ask), 422, "its description is larger than can be kept");
        return;
    }
    ask.record = w.take();
    enqueue(std::move(ask));
}

// ---- chains ----

// A version that does not know chains would start its tasks early: until none can lead any more,
// the user is told to come back.
void Jobs::submit_waiting(Ask ask) {
    if (new_format_) {
        look_up_needs(std::move(ask));
        return;
    }
    store_.get(state::kFormatMark, kCallTimeout,
               [this, ask = std::move(ask)](const state::GetResult& result) mutable {
                   new_format_ = new_format_ || (result.answered && result.row);
                   new_format_ ? look_up_needs(std::move(ask)) : unavailable(ask);
               });
}

bool Jobs::known_done(const JobId& id) const {
    const auto it = known_.find(id);
    return it != known_.end() && it->second.end && it->second.end->phase == JobPhase::done;
}

void Jobs::add_before(Ask& ask, const JobId& id) const {
    if (known_done(id)) return;
    const auto at = std::lower_bound(ask.before.begin(), ask.before.end(), id);
    if (at == ask.before.end() || *at != id) ask.before.insert(at, id);
}

// Each job that it names has been accepted if it is on record, or its end is; that one has not is
// said only once the state service has told.
void Jobs::look_up_needs(Ask ask) {
    if (ask.needs.empty()) {
        if (ask.before.size() + 2 > store_.max_guards()) {
            refuse(std::move(ask), 422, "it waits on more jobs than can be kept in sight");
            return;
        }
        make_record(std::move(ask));
        return;
    }
    const auto need = ask.needs.back();
    ask.needs.pop_back();
    if (need == ask.id) {
        refuse(std::move(ask), 422, "it waits on itself");
        return;
    }
    if (known_done(need)) {
        look_up_needs(std::move(ask));
        return;
    }
    store_.get(job_key(need), kCallTimeout,
               [this, need, ask = std::move(ask)](const state::GetResult& result) mutable {
                   if (!result.answered) {
                       unavailable(ask);
                   } else if (result.row) {
                       need_found(std::move(ask), need, *result.row);
                   } else {
                       need_not_open(std::move(ask), need);
                   }
               });
}

void Jobs::need_found(Ask ask, const JobId& need, const state::Row& row) {
    add_before(ask, need);
    const auto before = row.value["before"];
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (const auto id = before.at(i).text()) add_before(ask, JobId(std::string(*id)));
    }
    look_up_needs(std::move(ask));
}

// Its record goes only after its end is there.
void Jobs::need_not_open(Ask ask, const JobId& need) {
    store_.get(end_key(need), kCallTimeout,
               [this, need, ask = std::move(ask)](const state::GetResult& result) mutable {
                   if (!result.answered) {
                       unavailable(ask);
                   } else if (!result.row) {
                       refuse(std::move(ask), 422, "it waits on a job that was never accepted");
                   } else {
                       const bool done =
                           result.row->value["phase"].text() == wire::name_of(JobPhase::done);
                       ask.withdrawn = ask.withdrawn || !done;
                       look_up_needs(std::move(ask));
                   }
               });
}

// Of what a job waits on, those have ended: with one that is withdrawn it ends too.
void Jobs::settle_before(Ask ask, std::vector<JobId> ended) {
    if (ended.empty()) {
        ask.intent == Intent::submit ? make_record(std::move(ask)) : enqueue(std::move(ask));
        return;
    }
    const auto one = ended.back();
    ended.pop_back();
    store_.get(end_key(one), kCallTimeout,
               [this, one, ended = std::move(ended),
                ask = std::move(ask)](const state::GetResult& result) mutable {
                   if (!result.answered || !result.row) {
                       unavailable(ask);
                   } else if (result.row->value["phase"].text() == wire::name_of(JobPhase::done)) {
                       std::erase(ask.before, one);
                       std::erase(remember(ask.id).before, one);
                       settle_before(std::move(ask), std::move(ended));
                   } else if (ask.intent == Intent::submit) {
                       ask.withdrawn = true;
                       enqueue(std::move(ask));
                   } else {
                       withdraw(std::move(ask));
                   }
               });
}

// What must be done before the job, as far as it was not when last looked at.
const std::vector<JobId>& Jobs::before(const Ask& ask) const {
    static const std::vector<JobId> none;
    if (ask.intent == Intent::submit) return ask.withdrawn ? none : ask.before;
    const auto it = known_.find(ask.id);
    return it == known_.end() ? none : it->second.before;
}

// Its own end, and those of what must be done before it, are not there.
void Jobs::guard_ends(const Ask& ask, std::set<JobId>& guarded,
                      std::vector<wire::Guard>& guards) const {
    if (guarded.insert(ask.id).second) guards.push_back({end_key(ask.id), KeyRev()});
    for (const auto& id : before(ask)) {
        if (guarded.insert(id).second) guards.push_back({end_key(id), KeyRev()});
    }
}

std::vector<JobId> Jobs::ended_before(const Ask& ask, const std::set<std::string>& failed) const {
    std::vector<JobId> out;
    for (const auto& id : before(ask)) {
        if (failed.contains(end_key(id))) out.push_back(id);
    }
    return out;
}

std::size_t Jobs::guards_for(const Ask& ask) const { return 2 + before(ask).size(); }

void Jobs::poll(RequestId request, const JobId& id) { enqueue(new_ask(request, id, Intent::poll)); }

void Jobs::abort(RequestId request, const JobId& id) {
    auto ask = new_ask(request, id, Intent::abort);
    if (answer_if_ended(ask)) return;
    look_up(std::move(ask));
}

// Why a job can never run, empty if it can.
std::string Jobs::refusal(const wire::JobSpec& job) const {
    const auto* team = config_.find_team(job.owner);
    if (!team) return "unknown team";
    if (team->cpus_max > 0 && job.cores > team->cpus_max) return "over the team's limit";
    if (team->gpus_max > 0 && job.accelerators > team->gpus_max) return "over the team's limit";
    const bool fits = std::any_of(types_.begin(), types_.end(), [&](const auto& t) {
        if (job.region &&
            std::find(t.regions.begin(), t.regions.end(), *job.region) == t.regions.end()) {
            return false;
        }
        return wire::can_hold(t, {job.cores, job.accelerators, job.ram_gb}, job.shapes);
    });
    return fits ? "" : "fits no allowed machine type";
}

// ---- answers ----

void Jobs::answer_end(const Ask& ask, const JobStatus& end) {
    port_.answer(ask.request, 200, wire::encode(end));
}

// Nobody is told of a cancellation that this node's log does not hold yet.
void Jobs::end_found(Ask ask, const JobStatus& end) {
    if (end.phase == JobPhase::done) {
        remember(ask.id).end = end;
        answer_end(ask, end);
        return;
    }
    announce_(end.id, [this, ask = std::move(ask), end] {
        remember(ask.id).end = end;
        answer_end(ask, end);
    });
}

void Jobs::answer_open(const Ask& ask) {
    const auto progress = display_(ask.id);
    const auto phase = progress.running > 0 ? JobPhase::running : JobPhase::pending;
    port_.answer(ask.request, 200,
                 wire::encode(JobStatus{ask.id, phase, progress.done, progress.running}));
}

void Jobs::unavailable(const Ask& ask) {
    port_.answer(ask.request, 503, wire::encode_error("try again"), kRetryAfter_s);
}

bool Jobs::answer_if_ended(const Ask& ask) {
    const auto it = known_.find(ask.id);
    if (it == known_.end() || !it->second.end) return false;
    answer_end(ask, *it->second.end);
    return true;
}

Jobs::Known& Jobs::remember(const JobId& id) {
    auto [it, added] = known_.try_emplace(id);
    if (added) {
        ages_.push_back(id);
        it->second.age = std::prev(ages_.end());
        if (known_.size() > kMostKnown) {
            known_.erase(ages_.front());
            ages_.pop_front();
        }
    }
    return it->second;
}

// ---- confirming ----

void Jobs::enqueue(Ask ask) {
    if (answer_if_ended(ask)) return;
    auto& queue = ask.intent == Intent::submit ? creates_ : confirms_;
    // Nobody is kept waiting for a service that does not answer, nor in a queue that only grows.
    if (++ask.tries > kMostTries || queue.size() >= kMostWaiting ||
        store_.silent_for() > Millis(300) || port_.now() - ask.since > kGiveUp) {
        unavailable(ask);
        return;
    }
    queue.push_back(std::move(ask));
}

void Jobs::tick() {
    while (!confirms_.empty() && confirming_ < kMostConfirming) {
        if (!reads_.take(1, port_.now())) {
            port_.wake_at(reads_.ready_at(1, port_.now()));
            break;
        }
        confirm();
    }
    while (!creates_.empty() && creating_ < kMostCreating) {
        const auto n = static_cast<double>(std::min(creates_.size(), config_.state.txn_ops()));
        if (!writes_.take(n, port_.now())) {
            port_.wake_at(writes_.ready_at(n, port_.now()));
            break;
        }
        create();
    }
    // Those that waited too long for the budget are told to come back.
    for (auto* queue : {&confirms_, &creates_}) {
        while (!queue->empty() && port_.now() - queue->front().since > kGiveUp) {
            unavailable(queue->front());
            queue->pop_front();
        }
    }
}

void Jobs::confirm() {
    std::vector<wire::Guard> guards;
    std::vector<Ask> asks;
    std::set<JobId> asked;
    std::set<JobId> guarded;  // whose ends are
    while (!confirms_.empty() &&
           guards.size() + guards_for(confirms_.front()) <= store_.max_guards()) {
        auto ask = std::move(confirms_.front());
        confirms_.pop_front();
        if (asked.insert(ask.id).second) {
            const auto it = known_.find(ask.id);
            guards.push_back({job_key(ask.id), it == known_.end() ? KeyRev() : it->second.job});
            guard_ends(ask, guarded, guards);
        }
        asks.push_back(std::move(ask));
    }
    ++confirming_;
    store_.multi(guards, {}, kCallTimeout,
                 [this, asks = std::move(asks)](const state::MultiResult& result) mutable {
                     --confirming_;
                     confirmed(std::move(asks), result);
                 });
}

void Jobs::confirmed(std::vector<Ask> asks, const state::MultiResult& result) {
    if (result.outcome == Outcome::ok) {
        for (const auto& ask : asks) {
            const auto it = known_.find(ask.id);
            if (it != known_.end() && it->second.job != KeyRev()) {
                answer_open(ask);
            } else if (ask.intent == Intent::refuse) {
                port_.answer(ask.request, ask.status, wire::encode_error(ask.error));
            } else {
                port_.answer(ask.request, 404, wire::encode_error("no such job"));
            }
        }
        return;
    }
    if (result.outcome != Outcome::conflict) {
        for (const auto& ask : asks) unavailable(ask);
        return;
    }
    // Only the keys named as failed are known to differ; the rest is asked again.
    const std::set<std::string> failed(result.failed.begin(), result.failed.end());
    std::map<JobId, std::vector<Ask>> changed;
    for (auto& ask : asks) {
        if (failed.contains(job_key(ask.id)) || failed.contains(end_key(ask.id))) {
            changed[ask.id].push_back(std::move(ask));
            continue;
        }
        auto ended = ended_before(ask, failed);
        settle_before(std::move(ask), std::move(ended));
    }
    for (auto& [id, group] : changed) {
        for (auto& ask : group) look_up(std::move(ask));
    }
}

void Jobs::look_up(Ask ask) {
    const auto key = end_key(ask.id);  // read before `ask` is moved from
    store_.get(key, kCallTimeout,
               [this, ask = std::move(ask)](const state::GetResult& result) mutable {
                   if (!result.answered) {
                       unavailable(ask);
                       return;
                   }
                   if (!result.row) {
                       look_up_job(std::move(ask));
                       return;
                   }
                   const auto v = result.row->value;
                   const auto shards = v["shards"].count().value_or(0);
                   const bool done = v["phase"].text() == wire::name_of(JobPhase::done);
                   const JobStatus end{ask.id, done ? JobPhase::done : JobPhase::withdrawn,
                                       done ? shards : 0, 0};
                   end_found(std::move(ask), end);
               });
}

void Jobs::look_up_job(Ask ask) {
    const auto key = job_key(ask.id);  // read before `ask` is moved from
    store_.get(key, kCallTimeout,
               [this, ask = std::move(ask)](const state::GetResult& result) mutable {
                   if (!result.answered) {
                       unavailable(ask);
                       return;
                   }
                   auto& known = remember(ask.id);
                   known.job = result.row ? result.row->rev : KeyRev();
                   known.before.clear();
                   if (result.row && !result.row->value["before"].is_null()) {
                       try {
                           known.before = wire::job_ids(result.row->value["before"], "before");
                       } catch (const wire::DecodeError& e) {
                           port_.log(LogLevel::error, "event=bad_record key={} error=\"{}\"",
                                     job_key(ask.id), e.what());
                           unavailable(ask);
                           return;
                       }
                       std::erase_if(known.before, [&](const JobId& id) { return known_done(id); });
                   }
                   if (ask.intent == Intent::abort && result.row) {
                       withdraw(std::move(ask));
                   } else {
                       enqueue(std::move(ask));
                   }
               });
}

// ---- submissions ----

void Jobs::create() {
    std::vector<wire::Guard> guards;
    std::vector<wire::Write> writes;
    std::vector<Ask> asks;
    std::set<JobId> asked;
    std::set<JobId> guarded;  // whose ends are
    std::size_t bytes = 0;
    while (!creates_.empty() && writes.size() < config_.state.txn_ops() && bytes < kTxnBytes &&
           guards.size() + guards_for(creates_.front()) <= store_.max_guards()) {
        auto ask = std::move(creates_.front());
        creates_.pop_front();
        if (asked.insert(ask.id).second) {
            guards.push_back({job_key(ask.id), KeyRev()});
            guard_ends(ask, guarded, guards);
            bytes += ask.record.size() + 200;
            writes.push_back(ask.withdrawn
                                 ? wire::Write{end_key(ask.id), withdrawn_value(), std::nullopt}
                                 : wire::Write{job_key(ask.id), ask.record, std::nullopt});
        }
        asks.push_back(std::move(ask));
    }
    ++creating_;
    store_.multi(guards, writes, kWriteTimeout,
                 [this, asks = std::move(asks)](const state::MultiResult& result) mutable {
                     --creating_;
                     created(std::move(asks), result);
                 });
}

void Jobs::created(std::vector<Ask> asks, const state::MultiResult& result) {
    const std::set<std::string> failed(result.failed.begin(), result.failed.end());
    for (auto& ask : asks) {
        if (result.outcome == Outcome::ok && ask.withdrawn) {
            // Accepted all the same; nothing of it is anywhere.
            const JobStatus end{ask.id, JobPhase::withdrawn, 0, 0};
            remember(ask.id).end = end;
            port_.answer(ask.request, 201, wire::encode(end));
        } else if (result.outcome == Outcome::ok) {
            auto& known = remember(ask.id);
            known.job = result.rev;
            known.before = ask.before;
            port_.answer(ask.request, 201,
                         wire::encode(JobStatus{ask.id, JobPhase::pending, 0, 0}));
        } else if (result.outcome != Outcome::conflict) {
            // Not written, or not known: the user's repeat finds out.
            unavailable(ask);
        } else if (failed.contains(job_key(ask.id)) || failed.contains(end_key(ask.id))) {
            ask.intent = Intent::poll;
            look_up(std::move(ask));
        } else {
            auto ended = ended_before(ask, failed);
            settle_before(std::move(ask), std::move(ended));
        }
    }
}

// ---- cancellations ----

std::string Jobs::withdrawn_value() const {
    return wire::Writer()
        .map(2)
        .text("phase")
        .text(wire::name_of(JobPhase::withdrawn))
        .text("at")
        .count(static_cast<std::uint64_t>(port_.wall_ms()))
        .take();
}

void Jobs::withdraw(Ask ask) {
    const auto rev = remember(ask.id).job;
    const std::vector<wire::Guard> guards{{job_key(ask.id), rev}, {end_key(ask.id), KeyRev()}};
    const std::vector<wire::Write> writes{{end_key(ask.id), withdrawn_value(), std::nullopt}};
    store_.multi(guards, writes, kWriteTimeout,
                 [this, ask = std::move(ask)](const state::MultiResult& result) mutable {
                     if (result.outcome == Outcome::ok) {
                         const JobStatus end{ask.id, JobPhase::withdrawn, 0, 0};
                         end_found(std::move(ask), end);
                     } else if (result.outcome == Outcome::conflict && ++ask.tries <= kMostTries) {
                         look_up(std::move(ask));
                     } else {
                         unavailable(ask);
                     }
                 });
}

}  // namespace dunebridge::api
