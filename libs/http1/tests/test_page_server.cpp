// The server of a process's pages, against plain sockets.

#include <medlarrack/http1/page_server.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <list>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::http1;

namespace {

constexpr std::size_t largeBytes = 8'000'000;
/// More than the server keeps.
constexpr int manyCallers = 40;

struct page_fixture
{
    page_fixture()
    {
        core::reason why;
        BOOST_REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}, why));
    }

    asio::io_context context{1};
    page_server server{context, [](std::string_view target) {
                           return page{200, "text/plain",
                                       target == "/large" ? std::string(largeBytes, 'x') + "end"
                                                          : std::string("small")};
                       }};
};

/// A caller that lets the server work while it reads, and gives up after a while.
class page_caller
{
public:
    explicit page_caller(page_fixture &fixture)
        : m_context(fixture.context)
        , m_socket(fixture.context)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), fixture.server.port()});
        m_context.poll();
    }

    void ask(const std::string &target)
    {
        const std::string request = "GET " + target + " HTTP/1.1\r\nHost: here\r\n\r\n";
        ::send(m_socket.native_handle(), request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    void endSending()
    {
        ::shutdown(m_socket.native_handle(), SHUT_WR);
    }

    /// Reads until the text ends what came, or the server ends the connection.
    std::string readTo(std::string_view text)
    {
        constexpr std::chrono::seconds readLimit{20};
        const auto until = std::chrono::steady_clock::now() + readLimit;
        std::string received;
        std::array<char, 65'536> buffer{};
        while ((text.empty() || !received.ends_with(text)) && std::chrono::steady_clock::now() < until) {
            m_context.poll();
            const ssize_t size = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size > 0) {
                received.append(buffer.data(), static_cast<std::size_t>(size));
            } else if (size == 0 || errno != EAGAIN) {
                break;
            }
        }
        return received;
    }

private:
    asio::io_context &m_context;
    asio::ip::tcp::socket m_socket;
};

/// Takes all descriptors that this process may open, as long as it lives.
class no_descriptors
{
public:
    no_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        const int lowest = ::dup(STDIN_FILENO);
        const rlimit low{static_cast<rlim_t>(lowest) + 8, m_before.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &low);
        for (int taken = lowest; taken >= 0; taken = ::dup(STDIN_FILENO)) {
            m_taken.push_back(taken);
        }
    }

    ~no_descriptors()
    {
        for (const int taken : m_taken) {
            ::close(taken);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }

    no_descriptors(const no_descriptors &) = delete;
    no_descriptors &operator=(const no_descriptors &) = delete;

private:
    rlimit m_before{};
    std::vector<int> m_taken;
};

bool statesEnd(const std::string &response)
{
    return response.find("Connection: close\r\n") != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(page_server_suite, page_fixture)

// Guards against a kept connection that makes room for others without a word, so that the next request on it is lost.
BOOST_AUTO_TEST_CASE(a_connection_that_was_kept_answers_again_whoever_comes)
{
    std::list<page_caller> kept;
    for (int i = 0; i < manyCallers; ++i) {
        page_caller &caller = kept.emplace_back(*this);
        caller.ask("/");
        const std::string response = caller.readTo("small");
        BOOST_TEST_REQUIRE(response.ends_with("small"));
        if (statesEnd(response)) {
            BOOST_TEST(caller.readTo("").empty());
            kept.pop_back();
        }
    }
    BOOST_TEST(!kept.empty());
    for (page_caller &caller : kept) {
        caller.ask("/");
        BOOST_TEST(caller.readTo("small").ends_with("small"));
    }
}

// Guards against a connection with a response still to be sent that makes room for others.
BOOST_AUTO_TEST_CASE(a_response_is_sent_whole_whoever_comes)
{
    page_caller slow(*this);
    slow.ask("/large");
    context.poll();
    std::list<page_caller> others;
    for (int i = 0; i < manyCallers; ++i) {
        others.emplace_back(*this);
    }
    page_caller last(*this);
    last.ask("/");
    BOOST_TEST(last.readTo("small").ends_with("small"));
    BOOST_TEST(slow.readTo("end").size() > largeBytes);
}

// Guards against a caller that ends its side behind its request and loses the rest of its response.
BOOST_AUTO_TEST_CASE(a_caller_that_ends_its_side_gets_its_whole_response)
{
    page_caller caller(*this);
    caller.ask("/large");
    caller.endSending();
    BOOST_TEST(caller.readTo("").size() > largeBytes);
}

// Guards against a process that is busy with failed attempts to accept while its descriptors are used up.
BOOST_AUTO_TEST_CASE(a_connection_that_cannot_be_accepted_is_tried_again_after_a_pause)
{
    constexpr std::size_t manyHandlers = 1'000;
    asio::ip::tcp::socket waiting(context);
    waiting.open(asio::ip::tcp::v4());
    context.poll();
    std::size_t handlers = 0;
    {
        const no_descriptors taken;
        waiting.connect({asio::ip::address_v4::loopback(), server.port()});
        while (handlers < manyHandlers && context.poll_one() > 0) {
            ++handlers;
        }
    }
    BOOST_TEST(handlers < 10U);
    page_caller caller(*this);
    caller.ask("/");
    BOOST_TEST(caller.readTo("small").ends_with("small"));
}

BOOST_AUTO_TEST_SUITE_END()
