// The users' interface: submissions, polls and cancellations, at any node.
//
// A job is accepted by creating job/<id> while neither it nor end/<id> exists; it ends by creating
// end/<id>, once. An answer that says a job is open, or unknown, is confirmed by a transaction
// that only compares, many polls in one; without it the answer is 503 at once. For a job that waits
// on others the transaction also tells that none of them has ended: one that has been withdrawn
// ends it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/peers.hpp"
#include "core/config.hpp"
#include "core/port.hpp"
#include "state/store.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

class Jobs {
  public:
    // What the leader's own ledger or a peer's word tells of an open job, for display.
    using Display = std::function<cluster::Progress(const JobId&)>;
    // Hands a committed cancellation to whoever must know it before its user is told, and goes on.
    using Announce = std::function<void(const JobId&, std::function<void()> then)>;

    Jobs(core::Port& port, state::Store& store, const core::Config& config,
         const std::vector<wire::MachineType>& types, Display display, Announce announce);

    void submit(RequestId request, const std::string& body);
    void poll(RequestId request, const JobId& id);
    void abort(RequestId request, const JobId& id);
    void tick();

  private:
    enum class Intent : std::uint8_t { poll, submit, abort, refuse };
    struct Ask {
        RequestId request;
        JobId id;
        Intent intent = Intent::poll;
        int status = 200;           // refuse: the answer if the job is not known
        std::string error;          // refuse: why
        std::string record;         // submit: the packed job/<id>
        std::vector<JobId> before;  // submit: all that must be done before it, as far as not yet so
        std::vector<JobId> needs;   // submit: what it waits on and is still to be looked up
        bool withdrawn = false;     // submit: it names a job that is, and ends at once
        std::string spec;           // submit: the packed description, until the record is made
        std::size_t spec_json = 0;  // its size as the protocol counts it
        int tries = 0;
        Instant since{};
    };
    // What this node believes of a job. An end never changes, an open job is confirmed each time.
    struct Known {
        KeyRev job;  // 0: no record
        // What must be done before it, through others too, and was not when last looked at.
        std::vector<JobId> before;
        std::optional<wire::JobStatus> end;
        std::list<JobId>::iterator age;
    };

    Ask new_ask(RequestId request, const JobId& id, Intent intent) const;
    std::string refusal(const wire::JobSpec& job) const;
    Known& remember(const JobId& id);
    void answer_end(const Ask& ask, const wire::JobStatus& end);
    void end_found(Ask ask, const wire::JobStatus& end);
    void answer_open(const Ask& ask);
    void unavailable(const Ask& ask);
    void enqueue(Ask ask);
    bool answer_if_ended(const Ask& ask);
    void confirm();
    void confirmed(std::vector<Ask> asks, const state::MultiResult& result);
    void create();
    void created(std::vector<Ask> asks, const state::MultiResult& result);
    void look_up(Ask ask);
    void look_up_job(Ask ask);
    void withdraw(Ask ask);
    std::string withdrawn_value() const;
    // Chains.
    void submit_waiting(Ask ask);
    void look_up_needs(Ask ask);
    void need_found(Ask ask, const JobId& need, const state::Row& row);
    void need_not_open(Ask ask, const JobId& need);
    void add_before(Ask& ask, const JobId& id) const;
    void make_record(Ask ask);
    void refuse(Ask ask, int status, std::string why);
    void settle_before(Ask ask, std::vector<JobId> ended);
    const std::vector<JobId>& before(const Ask& ask) const;
    void guard_ends(const Ask& ask, std::set<JobId>& guarded,
                    std::vector<wire::Guard>& guards) const;
    std::vector<JobId> ended_before(const Ask& ask, const std::set<std::string>& failed) const;
    std::size_t guards_for(const Ask& ask) const;
    bool known_done(const JobId& id) const;

    core::Port& port_;
    state::Store& store_;
    const core::Config& config_;
    const std::vector<wire::MachineType>& types_;
    Display display_;
    Announce announce_;
    state::Budget writes_;
    state::Budget reads_;

    std::deque<Ask> confirms_;
    std::deque<Ask> creates_;
    int confirming_ = 0;
    int creating_ = 0;
    std::list<JobId> ages_;
    std::unordered_map<JobId, Known> known_;
    bool new_format_ = false;  // the ledger holds records of the newer format
};

}  // namespace dunebridge::api
