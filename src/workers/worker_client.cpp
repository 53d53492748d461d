#include "workers/worker_client.hpp"

#include <utility>

namespace dunebridge::workers {

namespace {
constexpr Millis kCommandTimeout{1500};
}  // namespace

void WorkerClient::send(const state::Machine& machine, FencingToken token,
                        const std::vector<wire::TaskCommand>& commands,
                        std::function<void(const CommandResult&)> on_result) {
    auto body = wire::encode_commands(token, machine.worker.last_applied.agent_epoch, commands);
    context_.call(sansio::Destination::worker, machine.worker.endpoint, "POST", "/commands",
                  std::move(body), kCommandTimeout,
                  [this, host = machine.host, on_result = std::move(on_result)](
                      const sansio::HttpResult& reply) { on_result(parse_reply(host, reply)); });
}

CommandResult WorkerClient::parse_reply(const MachineName& host, const sansio::HttpResult& reply) {
    const bool refused = reply.status == 409 || reply.status == 400;
    CommandResult result{refused || reply.not_sent(), std::nullopt};
    if (!reply.ok() && reply.status != 409) return result;
    try {
        const auto doc = wire::Document::parse_or_throw(reply.body);
        auto heartbeat = wire::decode_worker_heartbeat(doc.root());
        if (heartbeat.host == host) result.heartbeat = std::move(heartbeat);
    } catch (const wire::DecodeError& e) {
        context_.log(sansio::LogLevel::error, "event=invalid_worker_heartbeat host={} error=\"{}\"",
                     host.get(), e.what());
    }
    return result;
}

}  // namespace dunebridge::workers
