#include "common/command_line.hpp"
#include "common/control_table.hpp"
#include "common/program.hpp"
#include "service_model.hpp"

#include <medlarrack/http/responder.hpp>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace medlarrack;
using namespace medlarrack::standins;

/// What POST /control sets. Counts of faults run down by one with each request.
struct service_faults
{
    int delayMs = 0;
    int crashBeforeRun = 0;
    int crashAfterRun = 0;
    int cutBeforeRun = 0;
    int cutAfterRun = 0;
    int cutMidAnswer = 0;
    int failBeforeRun = 0;
    int failAfterRun = 0;
    int hangAfterRun = 0;

    void addTo(control_table &table)
    {
        table.add("delay_ms", delayMs, "time from a request's arrival to its run");
        table.add("crash_before_run", crashBeforeRun, "the n-th next request ends the process before it runs");
        table.add("crash_after_run", crashAfterRun, "the n-th next request ends the process after it ran");
        table.add("cut_before_run", cutBeforeRun, "the next n requests don't run and their connections close");
        table.add("cut_after_run", cutAfterRun, "the next n requests run and their connections close");
        table.add("cut_mid_answer", cutMidAnswer, "the next n requests run and half of their answers is sent");
        table.add("fail_before_run", failBeforeRun, "the next n requests don't run and get 503");
        table.add("fail_after_run", failAfterRun, "the next n requests run and get 500");
        table.add("hang_after_run", hangAfterRun, "the next n requests run and never get an answer");
    }
};

/// Takes one from a count of requests that a fault applies to.
bool take(int &count)
{
    if (count <= 0) {
        return false;
    }
    --count;
    return true;
}

/// Ends the process when the count reaches the request that it names.
void crashWhenDue(int &count)
{
    if (count > 0 && --count == 0) {
        std::_Exit(exitCrash);
    }
}

/// Joins the model, the faults and HTTP. Used on one thread.
class service_program
{
public:
    service_program(asio::io_context &context, service_faults &faults, std::string name)
        : m_context(context)
        , m_faults(faults)
        , m_model(std::move(name))
    {
    }

    void handle(http::request request, std::shared_ptr<http::responder> answer)
    {
        if (request.path() == "/_runs") {
            answer->respond(200, json, m_model.runs());
            return;
        }
        if (m_faults.delayMs <= 0) {
            run(request, answer);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(m_faults.delayMs));
        timer->async_wait(
            [this, timer, request = std::move(request), answer = std::move(answer)](const asio::error_code &) mutable {
                run(request, answer);
            });
    }

private:
    inline static const http::header_list json = {{"Content-Type", "application/json"}};

    void run(const http::request &request, const std::shared_ptr<http::responder> &answer)
    {
        crashWhenDue(m_faults.crashBeforeRun);
        if (take(m_faults.cutBeforeRun)) {
            answer->abort();
            return;
        }
        if (take(m_faults.failBeforeRun)) {
            answer->respond(503, json, R"({"error":{"code":"unavailable","message":"not run"}})");
            return;
        }
        const std::string key(http::findHeader(request.headers, "Idempotency-Key").value_or(""));
        const std::string body = m_model.run(request.method, request.path(), key, request.body);
        crashWhenDue(m_faults.crashAfterRun);
        if (take(m_faults.cutAfterRun)) {
            answer->abort();
        } else if (take(m_faults.cutMidAnswer)) {
            answer->begin(200, json);
            answer->write(std::string_view(body).substr(0, body.size() / 2));
            answer->abort();
        } else if (take(m_faults.failAfterRun)) {
            answer->respond(500, json, R"({"error":{"code":"failed","message":"ran and failed"}})");
        } else if (take(m_faults.hangAfterRun)) {
            // Held until the caller leaves.
            answer->onClosed([answer] {});
        } else {
            answer->respond(200, json, body);
        }
    }

    asio::io_context &m_context;
    service_faults &m_faults;
    service_model m_model;
};

} // namespace

int main(int argc, const char **argv)
{
    command_line options;
    listen_options listen;
    service_faults faults;
    control_table control;
    std::string name = "service";
    listen.addTo(options);
    options.add("name", name, "name of the service in answers");
    options.add("delay-ms", faults.delayMs, "time from a request's arrival to its run");
    faults.addTo(control);
    options.addHelp(control.help());
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    asio::io_context context;
    service_program program(context, faults, name);
    return runProgram(context, listen, control, [&](http::request request, std::shared_ptr<http::responder> answer) {
        program.handle(std::move(request), std::move(answer));
    });
}
