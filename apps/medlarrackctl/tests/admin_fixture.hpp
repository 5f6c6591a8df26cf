#pragma once

#include "arguments.hpp"
#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/http1/page_server.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>
#include <thread>

namespace medlarrack::ctl::testing {

/// A gateway's admin address that gives one page, except that it has no /debug/state, and records what is asked for.
struct admin_fixture
{
    admin_fixture()
    {
        core::reason why;
        BOOST_REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}, why));
        wanted.operands = {"http://127.0.0.1:" + std::to_string(server.port())};
        runner = std::thread([this] {
            context.run();
        });
    }

    ~admin_fixture()
    {
        context.stop();
        runner.join();
    }

    admin_fixture(const admin_fixture &) = delete;
    admin_fixture &operator=(const admin_fixture &) = delete;

    int run(const std::string &input = "")
    {
        std::istringstream in(input);
        return runCommand(wanted, in, out, err);
    }

    http1::page page;
    std::string target;
    asio::io_context context;
    http1::page_server server{context, [this](std::string_view asked) {
                                  target = asked;
                                  return asked == "/debug/state" ? http1::page{} : page;
                              }};
    std::thread runner;
    arguments wanted;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace medlarrack::ctl::testing
