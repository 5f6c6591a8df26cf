#pragma once

#include <medlarrack/http/server.hpp>

#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace medlarrack::standins {

class command_line;
class control_table;

/// Where a stand-in listens.
struct listen_options
{
    std::string address = "127.0.0.1";
    int port = 0;

    void addTo(command_line &options);
};

/// Serves on one thread until SIGTERM or SIGINT, then returns the exit code. Prints "listening on ADDRESS:PORT" when
/// ready. /control and /health are answered here, all else by the handler.
int runProgram(asio::io_context &context, const listen_options &listen, control_table &faults,
               const http::request_handler &handler);

} // namespace medlarrack::standins
