#include <medlarrack/http1/answer_origin.hpp>
#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/client_connection.hpp>

#include <asio/ip/address_v4.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <utility>

namespace medlarrack::http1 {

std::optional<std::string_view> call_answer::headerValue(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const header &field) {
        return equalsIgnoreCase(field.name, name);
    });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>(found->value);
}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::error_code error;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, portError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || portError != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

namespace {

/// Time after which a call whose deadline passed over unread bytes is checked again.
constexpr std::chrono::milliseconds unreadBytesDelay{10};

/// Ids of calls, which no other process uses.
class call_id_source
{
public:
    std::string next()
    {
        constexpr int base = 16;
        std::array<char, 16> digits{};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), m_random(), base);
        return {digits.data(), end};
    }

private:
    std::mt19937_64 m_random{(std::uint64_t(std::random_device()()) << 32U) | std::random_device()()};
};

} // namespace

class call_client::impl : public std::enable_shared_from_this<impl>, public call_observer
{
public:
    impl(asio::io_context &owner, const asio::ip::tcp::endpoint &to, std::size_t bodyLimit, std::string_view header)
        : context(owner)
        , maxBodyBytes(bodyLimit)
        , idHeader(header)
        , server(to)
        , host(to.address().to_string() + ":" + std::to_string(to.port()))
        , timer(owner)
    {
    }

    void call(std::string_view method, std::string_view target, std::string_view body, const answer_limits &limits,
              done_handler handler)
    {
        done = std::move(handler);
        answer = {};
        pace = answer_pace(limits, std::chrono::steady_clock::now());
        receivedBytes = 0;
        std::string request;
        request += method;
        request += ' ';
        request += target;
        request += " HTTP/1.1\r\nHost: " + host + "\r\n";
        if (!idHeader.empty()) {
            id = ids.next();
            request += idHeader + ": " + id + "\r\n";
        }
        if (!body.empty()) {
            request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        }
        request += "\r\n";
        request += body;
        if (connection == nullptr || !connection->isReusable() || connection->hasUnreadBytes()) {
            connection = std::make_shared<client_connection>(context);
            connection->connect(server, limits.firstByte);
            answerNamed = true;
        }
        awaitDeadline(pace.deadline());
        connection->send(request, *this);
    }

    void awaitDeadline(std::chrono::steady_clock::time_point until)
    {
        timer.expires_at(until);
        timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (!error && self != nullptr && self->done) {
                self->checkDeadline();
            }
        });
    }

    void checkDeadline()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now < pace.deadline()) {
            awaitDeadline(pace.deadline());
            return;
        }
        // The process stood still: what came meanwhile is read first.
        if (connection != nullptr && connection->hasUnreadBytes()) {
            awaitDeadline(now + unreadBytesDelay);
            return;
        }
        drop();
        finish(std::nullopt,
               {"timeout",
                "no whole answer in time: " + std::to_string(receivedBytes) + " bytes in "
                    + std::to_string(std::chrono::round<std::chrono::milliseconds>(now - pace.requestedAt()).count())
                    + " ms"});
    }

    head_verdict onHead(const message_head &head) override
    {
        if (!idHeader.empty()) {
            const std::string_view answerId = head.value(idHeader);
            switch (findAnswerOrigin(id, answerId, connection->hasAnswered())) {
            case answer_origin::own:
                break;
            case answer_origin::other:
                return head_verdict::skip;
            case answer_origin::unproven:
                drop();
                finish(std::nullopt, {std::string(unprovenAnswer), "the answer may be to an earlier call"});
                return head_verdict::skip;
            }
            answerNamed = !answerId.empty();
        }
        answer.status = head.status;
        answer.headers = head.headers;
        return head_verdict::take;
    }

    void onBody(std::string &body) override
    {
        pace.onBytes(body.size(), std::chrono::steady_clock::now());
        receivedBytes += body.size();
        totalReceivedBytes += body.size();
        if (answer.body.size() + body.size() > maxBodyBytes) {
            drop();
            finish(std::nullopt, {"answer_too_long", "the answer exceeds " + std::to_string(maxBodyBytes) + " bytes"});
            return;
        }
        answer.body += body;
        body.clear();
    }

    void onComplete() override
    {
        answer.transferTime = pace.transferTime();
        finish(std::move(answer), {});
    }

    void onFailed(call_progress, std::string_view why) override
    {
        finish(std::nullopt, {"call_failed", std::string(why)});
    }

    void finish(std::optional<call_answer> given, const core::reason &why)
    {
        timer.cancel();
        if (auto handler = std::exchange(done, nullptr)) {
            handler(std::move(given), why);
        }
    }

    void drop()
    {
        if (connection != nullptr) {
            connection->cancel();
            connection = nullptr;
        }
    }

    asio::io_context &context;
    std::size_t maxBodyBytes;
    /// Empty: calls have no ids.
    std::string idHeader;
    call_id_source ids;
    std::string id;
    /// The last answer on the connection named its call.
    bool answerNamed = true;
    asio::ip::tcp::endpoint server;
    std::string host;
    asio::steady_timer timer;
    std::shared_ptr<client_connection> connection;
    done_handler done;
    call_answer answer;
    answer_pace pace{{}, {}};
    std::size_t receivedBytes = 0;
    std::uint64_t totalReceivedBytes = 0;
};

call_client::call_client(asio::io_context &context, const asio::ip::tcp::endpoint &server, std::size_t maxBodyBytes,
                         std::string_view idHeader)
    : m_impl(std::make_shared<impl>(context, server, maxBodyBytes, idHeader))
{
}

call_client::~call_client()
{
    m_impl->done = nullptr;
    m_impl->timer.cancel();
    m_impl->drop();
}

bool call_client::isBusy() const
{
    return m_impl->done != nullptr;
}

bool call_client::isAnswerProvable() const
{
    return m_impl->connection == nullptr || m_impl->answerNamed;
}

void call_client::disconnect()
{
    m_impl->drop();
}

std::size_t call_client::receivedBytes() const
{
    return m_impl->receivedBytes;
}

std::uint64_t call_client::totalReceivedBytes() const
{
    return m_impl->totalReceivedBytes;
}

void call_client::call(std::string_view method, std::string_view target, std::string_view body,
                       const answer_limits &limits, done_handler done)
{
    m_impl->call(method, target, body, limits, std::move(done));
}

void call_client::call(std::string_view method, std::string_view target, std::string_view body,
                       std::chrono::milliseconds timeout, done_handler done)
{
    m_impl->call(method, target, body, answer_limits::wholeWithin(timeout), std::move(done));
}

} // namespace medlarrack::http1
