// A stand-in for the state service, written from the protocol page.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/port.hpp"
#include "sim/clock.hpp"
#include "wire/codec.hpp"

namespace dunebridge::sim {

class StateStandIn {
  public:
    using Reply = std::function<void(core::HttpReply)>;

    explicit StateStandIn(Clock& clock) : clock_(clock) {}

    void handle(const std::string& method, const std::string& target, const std::string& body,
                Reply reply);
    void set_outage(bool outage);
    // The packed value of a key, empty if there is none.
    std::string value(const std::string& key) const;
    std::size_t most_writes() const { return most_writes_; }

  private:
    struct Entry {
        std::string value;
        std::uint64_t rev = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t rev = 0;
        std::string key;
        bool removed = false;
        std::string value;
    };
    struct Lease {
        Millis ttl{};
        Instant until{};
    };
    struct Watch {
        std::string prefix;
        std::uint64_t from = 0;
        Reply reply;
        bool done = false;
    };

    void get(const std::string& key, const Reply& reply);
    void list(const std::string& query, const Reply& reply);
    void multi(const std::string& body, const Reply& reply);
    void watch(const std::string& query, const Reply& reply);
    void remove(const std::string& key);
    void expire();
    void notify();
    bool answer(Watch& watch, bool force);

    Clock& clock_;
    bool outage_ = false;
    std::uint64_t rev_ = 1;
    std::uint64_t next_lease_ = 0;
    std::size_t most_writes_ = 0;
    std::map<std::string, Entry> keys_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Change> changes_;
    std::vector<std::shared_ptr<Watch>> watches_;
};

}  // namespace dunebridge::sim
