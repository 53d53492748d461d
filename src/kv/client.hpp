// Typed access to the state service through the port, with this node's share of its budgets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::kv {

enum class TransactionOutcome : std::uint8_t {
    ok,
    conflict,   // a precondition did not hold; nothing was written
    refused,    // certainly not executed
    malformed,  // certainly not executed, nor ever will be: larger than the service takes, or wrong
    lease_expired,  // certainly not executed: the lease of a put has ended
    unknown         // may have been executed, or may yet be
};

struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::unknown;
    KeyRevision rev;
    std::vector<std::string> failed;
};

struct Entry {
    std::string key;
    std::shared_ptr<wire::Document> document;  // keeps the value alive
    wire::Value value;
    KeyRevision rev;
};

struct GetResult {
    bool available = false;
    std::optional<Entry> entry;
};

// Rows by key; those that do not exist are absent.
struct MultiGetResult {
    bool available = false;
    std::map<std::string, Entry> entries;
};

struct ListResult {
    bool available = false;
    std::vector<Entry> entries;
    KeyRevision rev;   // of the first page: watching from here misses nothing
    int refusals = 0;  // of pages, for the rate
};

struct WatchEvent {
    std::string key;
    bool removed = false;
    wire::Value value;
    KeyRevision rev;
};
struct WatchResult {
    enum class Kind : std::uint8_t { changes, compacted, failed } kind = Kind::failed;
    KeyRevision rev;
    std::vector<WatchEvent> events;
    std::shared_ptr<wire::Document> document;
};

enum class LeaseRenewal : std::uint8_t {
    renewed,
    expired,  // the lease does not exist any more
    unknown   // it may have been renewed
};

class KvClient {
  public:
    KvClient(sansio::Context& port, const config::Config& config);

    void compare_and_swap(const std::vector<wire::Precondition>& preconditions,
                          const std::vector<wire::Write>& writes, Millis timeout,
                          std::function<void(const TransactionResult&)> then);
    void get(const std::string& key, Millis timeout, std::function<void(const GetResult&)> then);
    // Reads the keys that are the prefix and one of the names, with few requests: what lies between
    // two of them is read along where that takes fewer pages. Names end in a digit.
    void get_each(const std::string& prefix, std::vector<std::string> names, Millis timeout,
                  std::function<void(const MultiGetResult&)> then);
    // Reads a whole prefix, page after page.
    void list(const std::string& prefix, std::function<void(const ListResult&)> then);
    void watch(const std::string& prefix, KeyRevision from, Millis wait,
               std::function<void(const WatchResult&)> then);
    void create_lease(Millis ttl, std::function<void(std::optional<LeaseId>)> then);
    void renew_lease(LeaseId lease, std::function<void(LeaseRenewal)> then);

    // Asks for something small when nothing else has been asked lately.
    void probe_if_idle();
    // Whether the last answers were good ones.
    bool reachable() const { return reachable_; }
    // How long calls have gone without a good answer.
    Millis time_since_response() const;

    std::size_t max_preconditions() const { return config_.kv_limits.max_preconditions(); }

  private:
    void call(std::string method, std::string target, std::string body, Millis timeout,
              sansio::Context::Continuation then);
    struct ManyRead;
    void read_many(const std::shared_ptr<ManyRead>& read);
    void read_one(const std::shared_ptr<ManyRead>& read);
    void take_page(const std::shared_ptr<ManyRead>& read, const sansio::HttpResult& reply);
    void list_page(const std::string& prefix, const std::string& from,
                   const std::shared_ptr<ListResult>& so_far,
                   std::function<void(const ListResult&)> then);

    sansio::Context& context_;
    const config::Config& config_;
    bool reachable_ = true;
    Instant last_good_{};
    Instant last_answer_{};
    bool probing_ = false;
};

}  // namespace dunebridge::kv
