#include "cluster/peers.hpp"

namespace dunebridge::cluster {

namespace {
constexpr Millis kEvery{700};
constexpr Millis kLately{2500};
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMostProgress = 400;
}  // namespace

std::string encode(const Hello& h) {
    wire::Writer w;
    w.map(6).text("v").count(kVersion);
    w.text("node").text(h.node.get());
    w.text("term").count(h.term.get());
    w.text("leads").boolean(h.leads);
    w.text("state").boolean(h.state_reachable);
    w.text("jobs").list(h.progress.size());
    for (const auto& p : h.progress) w.list(3).text(p.id.get()).count(p.done).count(p.running);
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
    return h;
}

Peers::Peers(core::Port& port, const core::Config& config, std::function<Hello()> own)
    : port_(port), config_(config), own_(std::move(own)) {
    for (const auto& node : config_.known) peers_[node.name];
}

bool Peers::lately(const Peer& peer) const {
    return peer.known && port_.now() - peer.heard < kLately;
}

void Peers::tick() {
    if (port_.now() >= next_) {
        next_ = port_.now() + kEvery;
        auto own = own_();
        if (own.progress.size() > kMostProgress) own.progress.resize(kMostProgress);
        const auto body = encode(own);
        for (const auto& node : config_.known) send(node, body);
    }
    port_.wake_at(next_);
}

void Peers::send(const core::KnownNode& node, const std::string& hello) {
    auto& peer = peers_[node.name];
    if (peer.in_flight) return;
    peer.in_flight = true;
    port_.call(core::Service::peer, node.back, "POST", "/hello", hello, Millis(1500),
               [this, name = node.name](const core::HttpReply& reply) {
                   peers_[name].in_flight = false;
                   if (reply.status != 200) return;
                   const auto doc = wire::Document::parse(reply.body);
                   if (!doc) return;
                   try {
                       heard(decode_hello(doc->root()));
                   } catch (const wire::DecodeError& e) {
                       port_.log(core::LogLevel::error, "event=bad_hello from={} error=\"{}\"",
                                 name.get(), e.what());
                   }
               });
}

void Peers::heard(const Hello& hello) {
    const auto it = peers_.find(hello.node);
    if (it == peers_.end()) return;
    auto& peer = it->second;
    // Words overtaken on the way: terms only grow, so an older one is old news.
    if (peer.known && hello.term < peer.hello.term) return;
    peer.hello = hello;
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

bool Peers::state_reachable_elsewhere() const {
    for (const auto& [name, peer] : peers_) {
        if (lately(peer) && peer.hello.state_reachable) return true;
    }
    return false;
}

}  // namespace dunebridge::cluster
