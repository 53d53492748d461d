#include "sim/fake_kv_store.hpp"

#include <algorithm>
#include <memory>

namespace dunebridge::sim {

using sansio::HttpResult;
using wire::Document;
using wire::Writer;

namespace {

std::string parameter(const std::string& query, const std::string& name) {
    const auto start = query.find(name + "=");
    if (start == std::string::npos) return {};
    const auto from = start + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
}

std::uint64_t number(const std::string& s) { return s.empty() ? 0 : std::stoull(s); }

// Sizes are counted in JSON.
std::size_t json_size(const msgpack::object& o) {
    switch (o.type) {
        case msgpack::type::MAP: {
            std::size_t n = 2;
            for (std::uint32_t i = 0; i < o.via.map.size; ++i) {
                n += json_size(o.via.map.ptr[i].key) + json_size(o.via.map.ptr[i].val) + 2;
            }
            return n;
        }
        case msgpack::type::ARRAY: {
            std::size_t n = 2;
            for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
                n += json_size(o.via.array.ptr[i]) + 1;
            }
            return n;
        }
        case msgpack::type::STR:
            return o.via.str.size + 2;
        case msgpack::type::POSITIVE_INTEGER:
            return std::to_string(o.via.u64).size();
        default:
            return 5;
    }
}

std::size_t json_size(const std::string& packed) {
    return json_size(msgpack::unpack(packed.data(), packed.size()).get());
}

}  // namespace

std::string FakeKvStore::value(const std::string& key) const {
    const auto it = keys_.find(key);
    return it == keys_.end() ? std::string() : it->second.value;
}

std::map<std::string, std::string> FakeKvStore::values(const std::string& prefix) const {
    std::map<std::string, std::string> out;
    for (auto it = keys_.lower_bound(prefix); it != keys_.end(); ++it) {
        if (!it->first.starts_with(prefix)) break;
        out.emplace(it->first, it->second.value);
    }
    return out;
}

bool FakeKvStore::Bucket::take(double n, double rate, Instant now) {
    if (tokens < 0) tokens = rate;
    tokens = std::min(rate, tokens + rate * to_seconds(now - last));
    last = now;
    if (tokens < n) return false;
    tokens -= n;
    return true;
}

void FakeKvStore::count_changes(std::size_t n) {
    changes_made_ += n;
    last_second_.emplace_back(clock_.now(), n);
    std::erase_if(last_second_,
                  [&](const auto& c) { return c.first <= clock_.now() - Millis(1000); });
    double sum = 0;
    for (const auto& [at, count] : last_second_) sum += static_cast<double>(count);
    most_in_a_second_ = std::max(most_in_a_second_, sum);
}

void FakeKvStore::set_outage(bool outage) {
    outage_ = outage;
    if (outage) return;
    // After an outage every lease has its full time again.
    for (auto& [id, lease] : leases_) lease.until = clock_.now() + lease.ttl;
    notify();
}

void FakeKvStore::handle(const std::string& method, const std::string& target,
                         const std::string& body, Reply reply) {
    if (outage_) {
        reply({503, {}});
        return;
    }
    ++requests_;
    if (!request_bucket_.take(1, limits_.rps, clock_.now())) {
        ++refusals_;
        reply({429, {}});
        return;
    }
    expire();
    const auto question = target.find('?');
    const auto path = target.substr(0, question);
    const auto query = question == std::string::npos ? std::string() : target.substr(question + 1);
    if (method == "GET" && path == "/kv") {
        list(query, reply);
    } else if (method == "GET" && path.starts_with("/kv/")) {
        get(path.substr(4), reply);
    } else if (path == "/multi") {
        transact(body, reply);
    } else if (path == "/watch") {
        watch(query, reply);
    } else if (path == "/leases") {
        const auto doc = Document::parse(body);
        const Millis ttl(static_cast<std::int64_t>(doc->root()["ttl_ms"].need_count("ttl_ms")));
        leases_[++next_lease_] = {ttl, clock_.now() + ttl};
        clock_.after(ttl + Millis(1), [this] { expire(); });
        reply({200, Writer().map(1).text("tenancy").count(next_lease_).take()});
    } else if (path.starts_with("/leases/") && path.ends_with("/touch")) {
        const auto it = leases_.find(number(path.substr(8, path.size() - 14)));
        if (it == leases_.end()) {
            reply({404, {}});
            return;
        }
        it->second.until = clock_.now() + it->second.ttl;
        clock_.after(it->second.ttl + Millis(1), [this] { expire(); });
        reply({200, {}});
    } else {
        reply({400, {}});
    }
}

void FakeKvStore::expire() {
    if (outage_) return;
    bool changed = false;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.until > clock_.now()) {
            ++it;
            continue;
        }
        std::vector<std::string> gone;
        for (const auto& [key, e] : keys_) {
            if (e.lease == it->first) gone.push_back(key);
        }
        for (const auto& key : gone) {
            ++rev_;
            remove(key);
            changed = true;
        }
        it = leases_.erase(it);
    }
    if (changed) notify();
}

void FakeKvStore::remove(const std::string& key) {
    keys_.erase(key);
    changes_.push_back({rev_, key, true, {}});
}

void FakeKvStore::get(const std::string& key, const Reply& reply) {
    const auto it = keys_.find(key);
    if (it == keys_.end()) {
        reply({404, Writer().map(1).text("store_rev").count(rev_).take()});
        return;
    }
    Writer w;
    w.map(3).text("key").text(key).text("value").raw(it->second.value);
    w.text("key_rev").count(it->second.rev);
    reply({200, w.take()});
}

void FakeKvStore::list(const std::string& query, const Reply& reply) {
    const auto prefix = parameter(query, "starts");
    const auto from = parameter(query, "from");
    const auto page = std::min<std::uint64_t>(number(parameter(query, "page")), limits_.page);
    std::vector<const std::pair<const std::string, Entry>*> rows;
    bool more = false;
    for (const auto& row : keys_) {
        if (!row.first.starts_with(prefix) || row.first <= from) continue;
        if (rows.size() == page) {
            more = true;
            break;
        }
        rows.push_back(&row);
    }
    Writer w;
    w.map(3).text("rows").list(rows.size());
    for (const auto* row : rows) {
        w.map(3).text("key").text(row->first).text("value").raw(row->second.value);
        w.text("key_rev").count(row->second.rev);
    }
    w.text("has_next").boolean(more).text("store_rev").count(rev_);
    reply({200, w.take()});
}

bool FakeKvStore::exceeds_limits(const std::string& body, wire::Value preconditions,
                                 wire::Value writes) const {
    if (writes.size() > limits_.txn_ops || preconditions.size() > 4 * limits_.txn_ops) return true;
    if (json_size(body) > wire::kMaxBodyBytes) return true;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto value = writes.at(i)["value"];
        if (!value.is_null() && json_size(value.pack()) > limits_.value_bytes) return true;
    }
    return false;
}

std::vector<std::string> FakeKvStore::failed_preconditions(wire::Value preconditions) const {
    std::vector<std::string> failed;
    for (std::size_t i = 0; i < preconditions.size(); ++i) {
        const auto key = preconditions.at(i)["key"].need_text("key");
        const auto it = keys_.find(key);
        const auto rev = it == keys_.end() ? 0 : it->second.rev;
        if (rev != preconditions.at(i)["key_rev"].need_count("key_rev")) failed.push_back(key);
    }
    return failed;
}

bool FakeKvStore::names_expired_lease(wire::Value writes) const {
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto lease = writes.at(i)["tenancy"].count();
        if (lease && !leases_.contains(*lease)) return true;
    }
    return false;
}

void FakeKvStore::apply_writes(wire::Value writes) {
    if (writes.size() > 0) ++rev_;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto write = writes.at(i);
        if (write.contains("remove")) {
            const auto key = write["remove"].need_text("remove");
            if (keys_.contains(key)) remove(key);
            continue;
        }
        const auto key = write["set"].need_text("set");
        keys_[key] = {write["value"].pack(), rev_, write["tenancy"].count().value_or(0)};
        changes_.push_back({rev_, key, false, keys_[key].value});
    }
}

void FakeKvStore::transact(const std::string& body, const Reply& reply) {
    const auto doc = Document::parse(body);
    const auto preconditions = doc->root()["guards"];
    const auto writes = doc->root()["writes"];
    if (exceeds_limits(body, preconditions, writes)) {
        ++violations_;
        reply({400, {}});
        return;
    }
    if (!change_bucket_.take(static_cast<double>(writes.size()), limits_.write_rps, clock_.now())) {
        ++refusals_;
        reply({429, {}});
        return;
    }
    if (names_expired_lease(writes)) {
        reply({400, wire::Writer().map(1).text("error").text("no such lease").take()});
        return;
    }
    const auto failed = failed_preconditions(preconditions);
    if (!failed.empty()) {
        Writer w;
        w.map(2).text("failed").list(failed.size());
        for (const auto& f : failed) w.text(f);
        w.text("store_rev").count(rev_);
        reply({409, w.take()});
        return;
    }
    count_changes(writes.size());
    apply_writes(writes);
    reply({200, Writer().map(1).text("store_rev").count(rev_).take()});
    if (writes.size() > 0) notify();
}

void FakeKvStore::watch(const std::string& query, const Reply& reply) {
    auto w = std::make_shared<Watch>(
        Watch{parameter(query, "starts"), number(parameter(query, "from")), reply, false});
    if (answer(*w, false)) return;
    watches_.push_back(w);
    clock_.after(Millis(static_cast<std::int64_t>(number(parameter(query, "wait_ms")))), [this, w] {
        if (!outage_ && !w->done) answer(*w, true);
    });
}

bool FakeKvStore::answer(Watch& watch, bool force) {
    if (watch.done) return true;
    if (watches_stalled_) return false;
    std::vector<const Change*> news;
    for (const auto& c : changes_) {
        if (c.rev > watch.from && c.key.starts_with(watch.prefix)) news.push_back(&c);
    }
    if (news.empty() && !force) return false;
    watch.done = true;
    Writer w;
    w.map(2).text("store_rev").count(rev_).text("news").list(news.size());
    for (const auto* c : news) {
        if (c->removed) {
            w.map(2).text("remove").text(c->key).text("key_rev").count(c->rev);
        } else {
            w.map(3).text("set").text(c->key).text("value").raw(c->value);
            w.text("key_rev").count(c->rev);
        }
    }
    watch.reply({200, w.take()});
    return true;
}

void FakeKvStore::notify() {
    if (outage_ || watches_stalled_) return;
    std::erase_if(watches_, [this](const auto& w) { return answer(*w, false); });
}

}  // namespace dunebridge::sim
