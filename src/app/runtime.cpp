#include "app/runtime.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "wire/messages.hpp"

namespace dunebridge::app {

namespace asio = boost::asio;

namespace {
// Ids of the two servers' requests never meet.
constexpr std::uint64_t kBackIds = std::uint64_t{1} << 62;
constexpr auto kSweepEvery = std::chrono::seconds(5);
constexpr auto kIdleLimit = std::chrono::seconds(60);
// Commands to one worker come in bursts; a connection kept for longer does not pay.
constexpr auto kIdleCommands = std::chrono::seconds(20);
constexpr Millis kIdleFront{60000};
// A timer that fires so late shows that the process stood still, or had no processor time.
constexpr Millis kGap{1000};
// To read what has queued up in the sockets meanwhile, before anyone is judged by the clock.
constexpr Millis kCatchUp{20};
}  // namespace

spdlog::level::level_enum to_spdlog(sansio::LogLevel level) {
    switch (level) {
        case sansio::LogLevel::error:
            return spdlog::level::err;
        case sansio::LogLevel::info:
            return spdlog::level::info;
        default:
            return spdlog::level::debug;
    }
}

Runtime::Runtime(const config::Config& config, sansio::LogLevel level, std::uint64_t seed)
    : config_(config),
      sockets_(config.fd_limit),
      core_(config, seed, level),
      services_(io_, sockets_.service, kIdleLimit),
      peers_(io_, sockets_.peers, kIdleLimit),
      commands_(io_, sockets_.commands, kIdleCommands) {
    const auto take = [this](controller::Listener plane) {
        return [this, plane](net::HttpRequest&& r) {
            post(controller::Request{r.id, plane, std::move(r.method), std::move(r.target),
                                     std::move(r.body), r.too_large});
        };
    };
    const net::HttpServer::Limits front{sockets_.front,
                                        std::max(kIdleFront, config.heartbeat_interval * 4)};
    const net::HttpServer::Limits back{sockets_.back, kIdleFront};
    front_ = std::make_unique<net::HttpServer>(io_, config.public_addr, front, 0,
                                               take(controller::Listener::front));
    back_ = std::make_unique<net::HttpServer>(io_, config.peer_addr, back, kBackIds,
                                              take(controller::Listener::back));
}

void Runtime::run() {
    front_->on_growth([this] { share_sockets(); });
    front_->start();
    back_->start();
    asio::co_spawn(io_, sweep(), asio::detached);
    step();
    io_.run();
}

Instant Runtime::now() {
    return Instant(
        std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Commands that come in the same turn of the loop are worked through as one batch.
void Runtime::post(controller::Command&& command) {
    queue_.push_back(std::move(command));
    if (step_posted_) return;
    step_posted_ = true;
    asio::post(io_, [this] { step(); });
}

void Runtime::step() {
    step_posted_ = false;
    std::vector<controller::Command> batch;
    batch.swap(queue_);
    const auto wall =
        std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
    const auto has_started = now();
    auto effects = core_.apply(std::move(batch), has_started, wall.count());
    // The process may have stood still just now, for longer than a leadership lasts.
    now() - has_started < config_.tuning.leader_lease ? carry_out(std::move(effects))
                                                      : release(std::move(effects));
    arm(core_.wake());
}

// A timer that fires sooner than it need is left alone: setting it costs more than an idle step.
void Runtime::arm(Instant wake) {
    const auto time = now();
    if (armed_ > time && armed_ <= wake) return;
    armed_ = std::max(wake, time + Millis(1));
    timer_.expires_after(armed_ - time);
    timer_.async_wait([this](boost::system::error_code ec) {
        if (ec) return;
        const auto late = now() - std::exchange(armed_, Instant{});
        if (late >= kGap) {
            catch_up(late);
        } else if (!step_posted_) {
            step();
        }
    });
}

// Every timer is overdue now: reports, heartbeats and answers that have come meanwhile are taken
// first, so that none of their senders counts as silent. Whoever led steps back before it acts
// (LeadershipGuard::suspend_leadership_after_stall).
void Runtime::catch_up(Millis late) {
    spdlog::error("node={} event=event_loop_stalled for_s={:.1f}", config_.name.get(),
                  to_seconds(late));
    arm(now() + kCatchUp);
}

// What was decided before a stand-still is not acted on: nothing is sent, and nothing answered as
// by one entitled to.
void Runtime::release(sansio::Effects&& effects) {
    for (auto& answer : effects.responses) {
        const sansio::Refusal refusal(sansio::RefusalReason::event_loop_stalled);
        answer = {answer.id, refusal.http_status(), wire::encode_error(refusal.text()),
                  refusal.retry_after()};
    }
    for (const auto& c : effects.calls)
        post(controller::CallCompleted{c.id, sansio::HttpResult(sansio::CallOutcome::not_sent)});
    effects.calls.clear();
    carry_out(std::move(effects));
}

void Runtime::carry_out(sansio::Effects&& effects) {
    for (const auto& line : effects.logs) {
        spdlog::log(to_spdlog(line.level), "node={} {}", config_.name.get(), line.text);
    }
    for (auto& answer : effects.responses) {
        auto& server = answer.id.get() >= kBackIds ? *back_ : *front_;
        server.answer(std::move(answer));
    }
    const auto decided = now();
    for (auto& c : effects.calls) asio::co_spawn(io_, call(std::move(c), decided), asio::detached);
}

asio::awaitable<void> Runtime::call(sansio::HttpCall c, Instant decided) {
    // The process may have stood still since: what it decided as the leader is not sent any more.
    if (now() - decided >= config_.tuning.leader_lease) {
        post(controller::CallCompleted{c.id, sansio::HttpResult(sansio::CallOutcome::not_sent)});
        co_return;
    }
    std::string address = c.endpoint;
    if (c.service == sansio::Destination::state) address = config_.state_addr;
    if (c.service == sansio::Destination::cloud) address = config_.cloud_addr;
    auto& client = c.service == sansio::Destination::worker ? commands_
                   : c.service == sansio::Destination::peer ? peers_
                                                            : services_;
    auto reply = co_await client.call(std::move(address), std::move(c.method), std::move(c.target),
                                      std::move(c.body), c.timeout);
    post(controller::CallCompleted{c.id, std::move(reply)});
}

// A connection that is kept spares a new one for the next command, so the workers have the places
// that the front does not use.
void Runtime::share_sockets() {
    commands_.set_max(sockets_.commands_beside(front_->connections()));
}

asio::awaitable<void> Runtime::sweep() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(kSweepEvery);
        co_await timer.async_wait(asio::use_awaitable);
        for (auto* client : {&services_, &peers_, &commands_}) client->sweep();
        share_sockets();
        spdlog::debug("node={} event=sockets front={} back={} services={} peers={} commands={}",
                      config_.name.get(), front_->connections(), back_->connections(),
                      services_.connections(), peers_.connections(), commands_.connections());
    }
}

}  // namespace dunebridge::app
