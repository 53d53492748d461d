#include "cluster/peers.hpp"

#include <algorithm>

namespace dunebridge::cluster {

namespace {
constexpr Millis kEvery{700};
constexpr Millis kLately{2500};
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMostProgress = 400;
constexpr std::size_t kMostWithdrawn = 2000;
constexpr Millis kTimeout{1500};
// A user waits for this one.
constexpr Millis kGreetTimeout{400};
}  // namespace

std::string encode(const Hello& h) {
    wire::Writer w;
    w.map(10).text("v").count(kVersion);
    w.text("node").text(h.node.get());
    w.text("term").count(h.term.get());
    w.text("leads").boolean(h.leads);
    w.text("state").boolean(h.state_reachable);
    w.text("jobs").list(h.progress.size());
    for (const auto& p : h.progress) w.list(3).text(p.id.get()).count(p.done).count(p.running);
    w.text("log").count(h.withdrawals.incarnation).text("from").count(h.withdrawals.first);
    w.text("format").count(h.format);
    w.text("withdrawn").list(h.withdrawals.jobs.size());
    for (const auto& id : h.withdrawals.jobs) w.text(id.get());
    return w.take();
}

Hello decode_hello(wire::Value body) {
    if (body["v"].need_count("v") != kVersion) throw wire::DecodeError("unknown version");
    Hello h;
    h.node = NodeName(body["node"].need_text("node"));
    h.term = Term(body["term"].need_count("term"));
    h.leads = body["leads"].need_bool("leads");
    h.state_reachable = body["state"].need_bool("state");
    const auto jobs = body["jobs"];
    for (std::size_t i = 0; i < std::min(jobs.size(), kMostProgress); ++i) {
        const auto j = jobs.at(i);
        if (j.size() != 3) throw wire::DecodeError("jobs");
        h.progress.push_back({JobId(j.at(0).need_text("job")), j.at(1).need_count("done"),
                              j.at(2).need_count("running")});
    }
    if (!body["format"].is_null()) h.format = body["format"].need_count("format");
    // A version without the log vouches for nothing.
    if (body["log"].is_null()) return h;
    h.withdrawals.incarnation = body["log"].need_count("log");
    h.withdrawals.first = body["from"].need_count("from");
    const auto withdrawn = body["withdrawn"];
    if (withdrawn.size() > kMostWithdrawn) throw wire::DecodeError("withdrawn");
    for (std::size_t i = 0; i < withdrawn.size(); ++i) {
        h.withdrawals.jobs.emplace_back(withdrawn.at(i).need_text("withdrawn"));
    }
    return h;
}

Peers::Peers(core::Port& port, const core::Config& config, std::function<Hello()> own,
             std::function<void(const JobId&)> withdrawn)
    : port_(port), config_(config), own_(std::move(own)), withdrawn_(std::move(withdrawn)) {
    for (const auto& node : config_.known) peers_[node.name];
}

bool Peers::lately(const Peer& peer) const {
    return peer.known && port_.now() - peer.heard < kLately;
}

std::string Peers::own_word() {
    auto own = own_();
    if (own.progress.size() > kMostProgress) own.progress.resize(kMostProgress);
    return encode(own);
}

void Peers::tick() {
    if (port_.now() >= next_) {
        next_ = port_.now() + kEvery;
        const auto hello = own_word();
        for (const auto& node : config_.known) {
            auto& peer = peers_[node.name];
            if (peer.in_flight) continue;
            peer.in_flight = true;
            send(node, hello, kTimeout, [&peer] { peer.in_flight = false; });
        }
    }
    port_.wake_at(next_);
}

void Peers::greet(const NodeName& peer, std::function<void()> then) {
    for (const auto& node : config_.known) {
        if (node.name != peer) continue;
        send(node, own_word(), kGreetTimeout, std::move(then));
        return;
    }
    then();
}

void Peers::send(const core::KnownNode& node, const std::string& hello, Millis timeout,
                 std::function<void()> then) {
    port_.call(core::Service::peer, node.back, "POST", "/hello", hello, timeout,
               [this, name = node.name, asked = port_.now(),
                then = std::move(then)](const core::HttpReply& reply) {
                   if (reply.status == 200) answered(name, reply, asked);
                   then();
               });
}

void Peers::answered(const NodeName& name, const core::HttpReply& reply, Instant asked) {
    try {
        const auto doc = wire::Document::parse(reply.body);
        if (!doc) throw wire::DecodeError("not MessagePack");
        const auto hello = decode_hello(doc->root());
        if (hello.node == name) follow_log(peers_[name], hello.withdrawals, asked);
        heard(hello);
    } catch (const wire::DecodeError& e) {
        port_.log(core::LogLevel::error, "event=bad_hello from={} error=\"{}\"", name.get(),
                  e.what());
    }
}

// Only an answer can tell how new it is: it was given after it was asked for. A restarted peer, or
// one whose log has a gap, may have told of ends that are in no log any more; the state service has
// them.
void Peers::follow_log(Peer& peer, const WithdrawalsPart& log, Instant asked) {
    if (log.incarnation == 0) return;
    if (peer.incarnation != log.incarnation || log.first > peer.next) {
        peer.incarnation = log.incarnation;
        peer.complete_since = port_.now();
        peer.next = 0;
    }
    peer.next = std::max(peer.next, log.next());
    peer.vouched = std::max(peer.vouched, asked);
}

Instant Peers::vouched_until(Instant read) const {
    auto until = port_.now();
    for (const auto& [name, peer] : peers_) {
        if (peer.incarnation == 0 || peer.complete_since > read) return Instant{};
        until = std::min(until, peer.vouched);
    }
    return until;
}

void Peers::heard(const Hello& hello) {
    const auto it = peers_.find(hello.node);
    if (it == peers_.end()) return;
    // Committed ends are true however old the word is.
    for (const auto& id : hello.withdrawals.jobs) withdrawn_(id);
    auto& peer = it->second;
    // Words overtaken on the way: terms only grow, so an older one is old news.
    if (peer.known && hello.term < peer.hello.term) return;
    peer.hello = hello;
    peer.hello.withdrawals.jobs.clear();
    peer.known = true;
    peer.heard = last_heard_ = port_.now();
    highest_term_ = std::max(highest_term_, hello.term);
    if (!hello.leads || hello.term < highest_term_) return;
    progress_.clear();
    for (const auto& p : hello.progress) progress_.emplace(p.id, p);
    peer.hello.progress.clear();
}

NodeName Peers::leader() const {
    for (const auto& [name, peer] : peers_) {
        if (lately(peer) && peer.hello.leads && peer.hello.term == highest_term_) return name;
    }
    return NodeName();
}

bool Peers::all_know(std::uint64_t format) const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        return lately(p.second) && p.second.hello.format >= format;
    });
}

bool Peers::state_reachable_elsewhere() const {
    for (const auto& [name, peer] : peers_) {
        if (lately(peer) && peer.hello.state_reachable) return true;
    }
    return false;
}

}  // namespace dunebridge::cluster
