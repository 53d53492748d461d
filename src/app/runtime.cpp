#include "app/runtime.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "wire/messages.hpp"

namespace dunebridge::app {

namespace asio = boost::asio;

namespace {
// Request ids of the peer server begin here, so that those of the two servers never collide.
constexpr std::uint64_t kPeerRequestIds = std::uint64_t{1} << 62;
constexpr auto kSweepEvery = std::chrono::seconds(5);
constexpr auto kIdleLimit = std::chrono::seconds(60);
// Commands to one worker come in bursts; keeping a connection longer does not pay.
constexpr auto kIdleCommands = std::chrono::seconds(20);
constexpr Millis kIdlePublic{60000};
// A timer that fires so late shows that the event loop stalled.
constexpr Millis kStallThreshold{1000};
// Time to read what has queued up in the sockets before anyone is judged by the clock.
constexpr Millis kCatchUpDelay{20};
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
      controller_(config, seed, level),
      service_client_(io_, sockets_.service_client, kIdleLimit),
      peer_client_(io_, sockets_.peer_client, kIdleLimit),
      worker_client_(io_, sockets_.worker_client, kIdleCommands) {
    const auto make_handler = [this](controller::Listener plane) {
        return [this, plane](net::HttpRequest&& r) {
            post(controller::Request{r.id, plane, std::move(r.method), std::move(r.target),
                                     std::move(r.body), r.too_large});
        };
    };
    const net::HttpServer::Limits front{sockets_.public_server,
                                        std::max(kIdlePublic, config.heartbeat_interval * 4)};
    const net::HttpServer::Limits back{sockets_.peer_server, kIdlePublic};
    public_server_ = std::make_unique<net::HttpServer>(io_, config.public_addr, front, 0,
                                                       make_handler(controller::Listener::front));
    peer_server_ = std::make_unique<net::HttpServer>(io_, config.peer_addr, back, kPeerRequestIds,
                                                     make_handler(controller::Listener::back));
}

void Runtime::run() {
    public_server_->on_connections_accepted([this] { share_sockets(); });
    public_server_->start();
    peer_server_->start();
    asio::co_spawn(io_, sweep(), asio::detached);
    step();
    io_.run();
}

Instant Runtime::now() {
    return Instant(
        std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Commands that come in the same turn of the loop are applied as one batch.
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
    const auto started = now();
    auto effects = controller_.apply(std::move(batch), started, wall.count());
    // The step itself may have stalled for longer than the leadership lasts.
    if (now() - started < config_.tuning.leader_lease) {
        carry_out(std::move(effects));
    } else {
        refuse_effects(std::move(effects));
    }
    arm_timer(controller_.wake());
}

// A timer that fires too early is left alone: setting it costs more than an idle step.
void Runtime::arm_timer(Instant wake) {
    const auto time = now();
    if (timer_at_ > time && timer_at_ <= wake) return;
    timer_at_ = std::max(wake, time + Millis(1));
    timer_.expires_after(timer_at_ - time);
    timer_.async_wait([this](boost::system::error_code ec) {
        if (ec) return;
        const auto late = now() - std::exchange(timer_at_, Instant{});
        if (late >= kStallThreshold) {
            catch_up_after_stall(late);
        } else if (!step_posted_) {
            step();
        }
    });
}

// Every timer is overdue now. Heartbeats and responses that have arrived meanwhile are read first,
// so that none of their senders counts as silent. A leader suspends its leadership before it acts
// (LeadershipGuard::suspend_leadership_after_stall).
void Runtime::catch_up_after_stall(Millis late) {
    spdlog::error("node={} event=event_loop_stalled for_s={:.1f}", config_.name.get(),
                  to_seconds(late));
    arm_timer(now() + kCatchUpDelay);
}

// Effects that were decided before a stall are not carried out: no call is sent, and no response is
// given that only a leader may give.
void Runtime::refuse_effects(sansio::Effects&& effects) {
    const sansio::Refusal refusal(sansio::RefusalReason::event_loop_stalled);
    for (auto& response : effects.responses) {
        response = {response.id, refusal.http_status(), wire::encode_error(refusal.text()),
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
    for (auto& response : effects.responses) {
        const bool from_peer = response.id.get() >= kPeerRequestIds;
        auto& server = from_peer ? *peer_server_ : *public_server_;
        server.respond(std::move(response));
    }
    const auto decided = now();
    for (auto& c : effects.calls) asio::co_spawn(io_, call(std::move(c), decided), asio::detached);
}

asio::awaitable<void> Runtime::call(sansio::HttpCall c, Instant decided) {
    // After a stall since the decision, another controller may lead: the call is not sent.
    if (now() - decided >= config_.tuning.leader_lease) {
        post(controller::CallCompleted{c.id, sansio::HttpResult(sansio::CallOutcome::not_sent)});
        co_return;
    }
    std::string address = c.endpoint;
    if (c.destination == sansio::Destination::kv_store) address = config_.kv_store_addr;
    if (c.destination == sansio::Destination::cloud) address = config_.cloud_addr;
    auto& client = c.destination == sansio::Destination::worker ? worker_client_
                   : c.destination == sansio::Destination::peer ? peer_client_
                                                                : service_client_;
    auto reply = co_await client.call(std::move(address), std::move(c.method), std::move(c.target),
                                      std::move(c.body), c.timeout);
    post(controller::CallCompleted{c.id, std::move(reply)});
}

// A kept connection saves a new one for the next command, so commands to workers may use the
// connections that the public server leaves free.
void Runtime::share_sockets() {
    worker_client_.set_max_connections(
        sockets_.max_worker_connections(public_server_->connections()));
}

asio::awaitable<void> Runtime::sweep() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(kSweepEvery);
        co_await timer.async_wait(asio::use_awaitable);
        for (auto* client : {&service_client_, &peer_client_, &worker_client_}) client->sweep();
        share_sockets();
        spdlog::debug("node={} event=sockets front={} back={} services={} peers={} commands={}",
                      config_.name.get(), public_server_->connections(),
                      peer_server_->connections(), service_client_.connections(),
                      peer_client_.connections(), worker_client_.connections());
    }
}

}  // namespace dunebridge::app
