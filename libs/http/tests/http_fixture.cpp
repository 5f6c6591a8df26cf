#include "http_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace medlarrack::http::test {

namespace {

constexpr std::chrono::seconds giveUpTime{60};
constexpr int threads = 3;

} // namespace

http_fixture::http_fixture()
    : m_work(context.get_executor())
{
    for (int i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            context.run();
        });
    }
}

http_fixture::~http_fixture()
{
    caller.stop();
    m_work.reset();
    context.stop();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

std::unique_ptr<server> http_fixture::serve(request_handler handler, server_limits limits)
{
    auto made = std::make_unique<server>(context, std::move(limits), std::move(handler));
    core::reason why;
    BOOST_REQUIRE_MESSAGE(made->start("127.0.0.1", 0, why), why.message);
    return made;
}

exchange_record http_fixture::run(client_request request)
{
    // Shared, since a wait that gives up leaves before the exchange ends.
    auto record = std::make_shared<exchange_record>();
    client_callbacks callbacks;
    callbacks.onHead = [this, record](int status, const header_list &) {
        note([&] {
            record->headStatus = status;
        });
    };
    callbacks.onData = [this, record](std::string_view piece) {
        note([&] {
            record->body += piece;
        });
    };
    callbacks.onEnd = [this, record](const client_result &result) {
        note([&] {
            record->result = result;
        });
    };
    caller.start(std::move(request), std::move(callbacks));
    waitFor([&] {
        return record->result.has_value();
    });
    return *record;
}

void http_fixture::waitFor(const std::function<bool()> &condition)
{
    std::unique_lock lock(m_mutex);
    BOOST_REQUIRE(m_changed.wait_for(lock, giveUpTime, condition));
}

void http_fixture::note(const std::function<void()> &change)
{
    const std::lock_guard lock(m_mutex);
    change();
    m_changed.notify_all();
}

std::string urlOf(std::uint16_t port, const std::string &target)
{
    return "http://127.0.0.1:" + std::to_string(port) + target;
}

} // namespace medlarrack::http::test
