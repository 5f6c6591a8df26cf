#include "program.hpp"

#include "command_line.hpp"
#include "control_table.hpp"
#include "json_reply.hpp"

#include <asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

namespace medlarrack::standins {

namespace {

/// Seasonal logs and KV objects are larger than the usual body.
constexpr std::size_t maxBodyBytes = 16U << 20U;
/// Callers keep connections for long between requests.
constexpr std::chrono::minutes idleTime{5};

void setFaults(control_table &faults, const http::request &request, http::responder &answer)
{
    core::reason why;
    const auto object = parseObject(request.body);
    if (!object) {
        replyError(answer, 400, "bad_json", "a JSON object is expected");
    } else if (!faults.apply(*object, why)) {
        replyError(answer, 400, why.code, why.message);
    } else {
        reply(answer, 200, faults.values());
    }
}

} // namespace

void listen_options::addTo(command_line &options)
{
    options.add("address", address, "address to listen on (default 127.0.0.1)");
    options.add("port", port, "port to listen on, 0 for a free one");
}

int runProgram(asio::io_context &context, const listen_options &listen, control_table &faults,
               const http::request_handler &handler)
{
    http::server_limits limits;
    limits.maxBodyBytes = maxBodyBytes;
    limits.readTimeout = idleTime;
    http::server server(context, limits, [&](http::request request, std::shared_ptr<http::responder> answer) {
        if (request.path() == "/health") {
            reply(*answer, 200, {{"status", "ok"}});
        } else if (request.path() == "/control" && request.method == "POST") {
            setFaults(faults, request, *answer);
        } else {
            handler(std::move(request), std::move(answer));
        }
    });
    core::reason why;
    if (!server.start(listen.address, static_cast<std::uint16_t>(listen.port), why)) {
        std::cerr << why.message << '\n';
        return exitCannotListen;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const asio::error_code &, int) {
        server.stop();
        context.stop();
    });
    std::cout << "listening on " << listen.address << ":" << server.port() << std::endl;
    context.run();
    return exitOk;
}

} // namespace medlarrack::standins
