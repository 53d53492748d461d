// What the controllers tell each other: who leads, who reaches the state service, and how far the
// leader's jobs are. All of it is advice: safety never rests on it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "core/config.hpp"
#include "core/port.hpp"
#include "wire/codec.hpp"

namespace dunebridge::cluster {

struct Progress {
    JobId id;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
};

// A controller's word about itself.
struct Hello {
    NodeName node;
    Term term;
    bool leads = false;
    bool state_reachable = false;
    std::vector<Progress> progress;
};
std::string encode(const Hello& hello);
Hello decode_hello(wire::Value body);  // throws wire::DecodeError

class Peers {
  public:
    Peers(core::Port& port, const core::Config& config, std::function<Hello()> own);

    void tick();
    // Sends to all peers at the next tick, as something changed that they should know.
    void hurry() { next_ = Instant{}; }
    // Takes a peer's word, and returns this node's own.
    void heard(const Hello& hello);

    // The peer that leads as far as this node has heard lately, empty if none.
    NodeName leader() const;
    // When any peer was last heard.
    Instant last_heard() const { return last_heard_; }
    Term highest_term() const { return highest_term_; }
    // Some peer heard lately reaches the state service.
    bool state_reachable_elsewhere() const;
    const std::unordered_map<JobId, Progress>& progress() const { return progress_; }

  private:
    struct Peer {
        Instant heard{};
        bool known = false;
        Hello hello;
        bool in_flight = false;
    };
    bool lately(const Peer& peer) const;
    void send(const core::KnownNode& node, const std::string& hello);

    core::Port& port_;
    const core::Config& config_;
    std::function<Hello()> own_;
    std::unordered_map<NodeName, Peer> peers_;
    std::unordered_map<JobId, Progress> progress_;
    Term highest_term_;
    Instant last_heard_{};
    Instant next_{};
};

}  // namespace dunebridge::cluster
