#include "http_run_stopper.hpp"

#include <asio/ip/address_v4.hpp>
#include <asio/post.hpp>

#include <chrono>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// An answer that comes after its exchange has gone on still tells which memory is to be freed.
constexpr std::chrono::milliseconds answerTimeout{3'000};
constexpr std::size_t maxAnswerBytes = 16'384;

asio::ip::tcp::endpoint endpointOf(const replica &at)
{
    std::error_code ignored;
    return {asio::ip::make_address_v4(at.record.address, ignored), at.record.port};
}

std::string addressOf(const replica &at)
{
    return at.record.address + ":" + std::to_string(at.record.port);
}

} // namespace

http_run_stopper::http_run_stopper(asio::io_context &context, const caller_format &format)
    : m_context(context)
    , m_format(format)
{
}

http_run_stopper::~http_run_stopper() = default;

void http_run_stopper::stop(const replica &at, std::string_view requestId, const replica &successor,
                            answer_handler handler)
{
    const asio::ip::tcp::endpoint server = endpointOf(at);
    call(server, "POST", m_format.stopCall(requestId, addressOf(successor)),
         [this, server, handler = std::move(handler)](const answer &given) {
             const stop_answer read = given ? m_format.readStopAnswer(given->status, given->body) : stop_answer();
             if (!handler(read) && !read.memory.empty()) {
                 call(server, "DELETE", {m_format.memoryTarget(read.memory), ""}, [](const answer &) {});
             }
         });
}

void http_run_stopper::call(const asio::ip::tcp::endpoint &server, std::string_view method, const stop_call &request,
                            std::function<void(const answer &)> done)
{
    const std::uint64_t id = ++m_lastCall;
    const auto client = std::make_shared<http1::call_client>(m_context, server, maxAnswerBytes);
    m_calls.emplace(id, client);
    client->call(method, request.target, request.body, answerTimeout,
                 [this, id, done = std::move(done)](const answer &given, const core::reason &) {
                     // The client calls this and ends later.
                     asio::post(m_context, [ended = m_calls.extract(id)] {});
                     done(given);
                 });
}

} // namespace medlarrack::gateway
