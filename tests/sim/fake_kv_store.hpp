/// \file
/// A fake of the consensus-backed key-value store, written from its protocol page.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sansio/context.hpp"
#include "sim/clock.hpp"
#include "wire/codec.hpp"

namespace dunebridge::sim {

/// Keys with revisions, transactions with preconditions (compare-and-swap), leases and watches, in
/// virtual time. It enforces rate and size limits as the real one does.
class FakeKvStore {
  public:
    using Reply = std::function<void(sansio::HttpResult)>;

    explicit FakeKvStore(Clock& clock) : clock_(clock) {}

    /// Carries out a request. The reply is called at once, or when a watch has news or times out.
    void handle(const std::string& method, const std::string& target, const std::string& body,
                Reply reply);
    /// While set, every request gets status 503 and no lease expires.
    void set_outage(bool outage);
    /// While set, watches report no change.
    void set_watches_stalled(bool stalled) { watches_stalled_ = stalled; }
    /// The encoded value of a key; empty if there is none.
    std::string value(const std::string& key) const;
    /// The encoded values of all keys with the prefix.
    std::map<std::string, std::string> values(const std::string& prefix) const;
    /// The limits: requests and written keys a second (429 above), operations of a transaction and
    /// size of a value (400 above), rows of a page.
    struct Limits {
        double rps = 200;
        double write_rps = 80;
        std::size_t txn_ops = 48;
        std::size_t value_bytes = std::size_t{16} * 1024;
        std::size_t page = 20;
    };
    void set_limits(const Limits& limits) { limits_ = limits; }
    /// Keys written or removed so far.
    std::uint64_t changes() const { return changes_made_; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t refusals() const { return refusals_; }      ///< Of status 429.
    std::uint64_t violations() const { return violations_; }  ///< Requests over a size limit.
    /// The most keys written or removed within any one second.
    double most_changes_in_a_second() const { return most_in_a_second_; }

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
    bool exceeds_limits(const std::string& body, wire::Value preconditions,
                        wire::Value writes) const;
    std::vector<std::string> failed_preconditions(wire::Value preconditions) const;
    bool names_expired_lease(wire::Value writes) const;
    void apply_writes(wire::Value writes);
    void transact(const std::string& body, const Reply& reply);
    void watch(const std::string& query, const Reply& reply);
    void remove(const std::string& key);
    void expire();
    void notify();
    bool answer(Watch& watch, bool force);

    // Tokens that refill with time, with one second's worth of burst.
    struct Bucket {
        double tokens = -1;
        Instant last{};
        bool take(double n, double rate, Instant now);
    };
    void count_changes(std::size_t n);

    Clock& clock_;
    Limits limits_;
    Bucket request_bucket_;
    Bucket change_bucket_;
    std::uint64_t changes_made_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t violations_ = 0;
    double most_in_a_second_ = 0;
    std::vector<std::pair<Instant, std::size_t>> last_second_;
    bool outage_ = false;
    bool watches_stalled_ = false;
    std::uint64_t rev_ = 1;
    std::uint64_t next_lease_ = 0;
    std::map<std::string, Entry> keys_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Change> changes_;
    std::vector<std::shared_ptr<Watch>> watches_;
};

}  // namespace dunebridge::sim
