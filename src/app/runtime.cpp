#include "app/runtime.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "wire/messages.hpp"

namespace dunebridge::app {

namespace asio = boost::asio;

namespace {
// Request ids of the peer server start above this value, so that those of the two servers never
// collide.
constexpr std::uint64_t kPeerRequestIdBase = std::uint64_t{1} << 62;
constexpr auto kSweepEvery = std::chrono::seconds(5);
constexpr auto kClientIdleLimit = std::chrono::seconds(60);
// Commands to a worker come in bursts; keeping its connection open for longer has no benefit.
constexpr auto kWorkerIdleLimit = std::chrono::seconds(20);
constexpr Millis kServerIdleLimit{60000};
// If a timer fires this late, the event loop has stalled.
constexpr Millis kStallThreshold{1000};
// Delay after a stall for reading the data that has arrived before any timeout is evaluated.
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
      service_client_(io_, sockets_.service_client, kClientIdleLimit),
      peer_client_(io_, sockets_.peer_client, kClientIdleLimit),
      worker_client_(io_, sockets_.worker_client, kWorkerIdleLimit) {
    const auto make_handler = [this](controller::Listener listener) {
        return [this, listener](net::HttpRequest&& r) {
            post(controller::Request{r.id, listener, std::move(r.method), std::move(r.target),
                                     std::move(r.body), r.too_large});
        };
    };
    const net::HttpServer::Limits public_limits{
        sockets_.public_server, std::max(kServerIdleLimit, config.heartbeat_interval * 4)};
    const net::HttpServer::Limits peer_limits{sockets_.peer_server, kServerIdleLimit};
    public_server_ = std::make_unique<net::HttpServer>(io_, config.public_addr, public_limits, 0,
                                                       make_handler(controller::Listener::front));
    peer_server_ =
        std::make_unique<net::HttpServer>(io_, config.peer_addr, peer_limits, kPeerRequestIdBase,
                                          make_handler(controller::Listener::back));
}

void Runtime::run() {
    public_server_->on_connections_accepted([this] { update_worker_connection_limit(); });
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

// Queues a command. Commands that arrive in the same turn of the loop are applied as one batch.
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
    // If the step itself took longer than the leader lease, another controller may be leader by
    // now.
    if (now() - started < config_.tuning.leader_lease) {
        execute(std::move(effects));
    } else {
        discard_effects(std::move(effects));
    }
    arm_timer(controller_.wake());
}

// Sets the timer to fire no later than `wake`. A timer that is set to fire earlier is left
// unchanged: resetting it costs more than a step with nothing to do.
void Runtime::arm_timer(Instant wake) {
    const auto time = now();
    if (timer_expiry_ > time && timer_expiry_ <= wake) return;
    timer_expiry_ = std::max(wake, time + Millis(1));
    timer_.expires_after(timer_expiry_ - time);
    timer_.async_wait([this](boost::system::error_code ec) {
        if (ec) return;
        const auto late = now() - std::exchange(timer_expiry_, Instant{});
        if (late >= kStallThreshold) {
            catch_up_after_stall(late);
        } else if (!step_posted_) {
            step();
        }
    });
}

// After a stall every timer is overdue. Waits until the heartbeats and responses that arrived
// during the stall have been read, so that their senders are not considered lost. A leader suspends
// its leadership before it acts (LeadershipGuard::suspend_leadership_after_stall).
void Runtime::catch_up_after_stall(Millis late) {
    spdlog::error("node={} event=event_loop_stalled for_s={:.1f}", config_.name.get(),
                  to_seconds(late));
    arm_timer(now() + kCatchUpDelay);
}

// Discards the effects of a step during which the process stalled: no call is sent, and every
// response is replaced by an error, since only a leader may give some of them. Log lines are
// written.
void Runtime::discard_effects(sansio::Effects&& effects) {
    const sansio::Refusal refusal(sansio::RefusalReason::event_loop_stalled);
    for (auto& response : effects.responses) {
        response = {response.id, refusal.http_status(), wire::encode_error(refusal.text()),
                    refusal.retry_after()};
    }
    for (const auto& c : effects.calls)
        post(controller::CallCompleted{c.id, sansio::HttpResult(sansio::CallOutcome::not_sent)});
    effects.calls.clear();
    execute(std::move(effects));
}

void Runtime::execute(sansio::Effects&& effects) {
    for (const auto& line : effects.logs) {
        spdlog::log(to_spdlog(line.level), "node={} {}", config_.name.get(), line.text);
    }
    for (auto& response : effects.responses) {
        const bool from_peer = response.id.get() >= kPeerRequestIdBase;
        auto& server = from_peer ? *peer_server_ : *public_server_;
        server.respond(std::move(response));
    }
    const auto decided_at = now();
    for (auto& c : effects.calls)
        asio::co_spawn(io_, call(std::move(c), decided_at), asio::detached);
}

asio::awaitable<void> Runtime::call(sansio::HttpCall request, Instant decided_at) {
    // If the process has stalled since the decision, another controller may be leader by now.
    if (now() - decided_at >= config_.tuning.leader_lease) {
        post(controller::CallCompleted{request.id,
                                       sansio::HttpResult(sansio::CallOutcome::not_sent)});
        co_return;
    }
    std::string address = request.endpoint;
    if (request.destination == sansio::Destination::kv_store) address = config_.kv_store_addr;
    if (request.destination == sansio::Destination::cloud) address = config_.cloud_addr;
    auto& client = request.destination == sansio::Destination::worker ? worker_client_
                   : request.destination == sansio::Destination::peer ? peer_client_
                                                                      : service_client_;
    auto result =
        co_await client.call(std::move(address), std::move(request.method),
                             std::move(request.target), std::move(request.body), request.timeout);
    post(controller::CallCompleted{request.id, std::move(result)});
}

// Lets connections to workers use the unused share of the public server. More open connections mean
// fewer new ones for later commands.
void Runtime::update_worker_connection_limit() {
    worker_client_.set_max_connections(
        sockets_.max_worker_connections(public_server_->connections()));
}

asio::awaitable<void> Runtime::sweep() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(kSweepEvery);
        co_await timer.async_wait(asio::use_awaitable);
        for (auto* client : {&service_client_, &peer_client_, &worker_client_}) client->sweep();
        update_worker_connection_limit();
        spdlog::debug("node={} event=sockets front={} back={} services={} peers={} commands={}",
                      config_.name.get(), public_server_->connections(),
                      peer_server_->connections(), service_client_.connections(),
                      peer_client_.connections(), worker_client_.connections());
    }
}

}  // namespace dunebridge::app
