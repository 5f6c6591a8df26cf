// Requesters on kept channels read long answers slowly: a part of them, then nothing for 0.4 s. Does each get its
// answer?

#include "../standins-2/lab.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace lab;

constexpr int replicaCount = 2;
constexpr int requesterCount = 100;
constexpr std::size_t answerBytes = 2'600'000;
constexpr int windowBytes = 131'072;
constexpr milliseconds pauseOfReader{400};
constexpr milliseconds deadline{20'000};
/// Of the small edge machines of the site.
constexpr int memoryMb = 120;
constexpr int toleratedRequests = 3;

struct tally
{
    std::atomic<int> sent = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> refused = 0;
    /// The channel ended without a complete answer, before the deadline.
    std::atomic<int> cut = 0;
};

std::atomic<int> answeredByReplicas = 0;

/// A plain replica that answers /dump/long with many bytes and all else with few.
class plain_replica
{
public:
    plain_replica(store &platform, endpoint at, std::string id)
        : m_platform(platform)
        , m_at(std::move(at))
        , m_id(std::move(id))
        , m_server(m_at, [this](const request &asked, connection &from) {
            handle(asked, from);
        })
    {
        m_server.start();
        m_beating = std::thread([this, born = unixMs()] {
            for (int sequence = 1; !m_ended; ++sequence) {
                m_platform.put("servers/" + m_id,
                               {{"service", "log-api"},
                                {"address", m_at.text()},
                                {"zone", "osijek"},
                                {"version", "v1"},
                                {"slots", 32},
                                {"state", "ready"},
                                {"coldRemainingMs", 0},
                                {"born", born},
                                {"sequence", sequence}});
                for (int step = 0; step < 60 && !m_ended; ++step) {
                    sleepFor(milliseconds(20));
                }
            }
        });
    }

    ~plain_replica()
    {
        m_ended = true;
        m_beating.join();
        m_server.crash();
    }

private:
    void handle(const request &asked, connection &from)
    {
        const std::string id = asked.header("Attempt-Id");
        if (asked.header("Expect-Instance") != m_id) {
            from.write(answer(421, "", "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n"));
            return;
        }
        const bool isLong = asked.target == "/dump/long";
        note("replica " + m_id + " runs " + id + " " + asked.target);
        sleepFor(milliseconds(20));
        const bool isWritten =
            from.write(answer(200, std::string(isLong ? answerBytes : 100, 'x'),
                              "Attempt-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\nServer-Load: 1,0,32\r\n"));
        answeredByReplicas += isLong && isWritten ? 1 : 0;
        note("replica " + m_id + (isWritten ? " has answered " : " could not answer ") + id);
    }

    store &m_platform;
    endpoint m_at;
    std::string m_id;
    std::atomic<bool> m_ended = false;
    server m_server;
    std::thread m_beating;
};

void publishState(store &platform)
{
    const nlohmann::json route = {{"name", "dump"},
                                  {"host", "field.example"},
                                  {"prefix", "/dump/"},
                                  {"kind", "idempotent"},
                                  {"service", "log-api"},
                                  {"maxAttempts", 2},
                                  {"timeoutMs", deadline.count()},
                                  {"targetLatencyMs", 10'000},
                                  {"priority", 2}};
    platform.put("op/config",
                 {{"version", 7},
                  {"routes", {route}},
                  {"services", {{{"name", "log-api"}, {"maxConnections", 250}}}},
                  {"limits",
                   {{"maxHeaderBytes", 16'384},
                    {"maxBodyBytes", 65'536},
                    {"headerTimeoutMs", 5'000},
                    {"idleTimeoutMs", 20'000}}}});
}

std::string textOf(const std::string &path, const std::string &id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: field.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\n\r\n";
}

/// Reads one answer; returns its status, or 0 if the channel ended before it was complete. Empty at the deadline.
std::optional<int> readAnswer(int descriptor, milliseconds pauseTime, std::size_t &received, bool &isKept)
{
    const auto until = clock::now() + deadline;
    std::string head;
    std::size_t length = 0;
    std::size_t body = 0;
    std::vector<char> bytes(windowBytes);
    while (clock::now() < until) {
        if (body > 0) {
            sleepFor(pauseTime);
        }
        const ssize_t size = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            return 0;
        }
        received += static_cast<std::size_t>(size);
        if (length == 0) {
            head.append(bytes.data(), static_cast<std::size_t>(size));
            const auto end = head.find("\r\n\r\n");
            if (end == std::string::npos) {
                continue;
            }
            length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
            body = head.size() - end - 4;
            isKept = head.find("Connection: close") == std::string::npos;
        } else {
            body += static_cast<std::size_t>(size);
        }
        if (body >= length) {
            return std::stoi(head.substr(9, 3));
        }
    }
    return std::nullopt;
}

/// Returns false if the first answer closes the channel, so that the request needs another one.
bool runRequester(const endpoint &gateway, milliseconds pauseTime, tally &all)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Segments and windows of a network, which loopback's would dwarf. A kernel sizes send buffers by segments, each
    // with the page that it lies in: ones that fill a page keep these buffers far below an answer.
    const int segment = 7'400;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof(windowBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(gateway.port);
    ::inet_pton(AF_INET, gateway.ip.c_str(), &address.sin_addr);
    std::size_t received = 0;
    bool isKept = false;
    const std::string first = textOf("/dump/short", newId());
    const std::string id = newId();
    const std::string second = textOf("/dump/long", id);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && ::send(descriptor, first.data(), first.size(), MSG_NOSIGNAL) > 0
        && readAnswer(descriptor, milliseconds(0), received, isKept) == 200 && isKept
        && ::send(descriptor, second.data(), second.size(), MSG_NOSIGNAL) > 0) {
        ++all.sent;
        received = 0;
        const auto begin = clock::now();
        bool isSecondKept = false;
        const std::optional<int> status = readAnswer(descriptor, pauseTime, received, isSecondKept);
        const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - begin).count();
        all.whole += status == 200 ? 1 : 0;
        all.refused += status == 503 ? 1 : 0;
        all.cut += status == 0 ? 1 : 0;
        note("request " + id + " on a kept channel: "
             + (!status            ? "not whole at the deadline"
                    : *status == 0 ? "the channel ended without a complete answer"
                                   : "status " + std::to_string(*status))
             + " after " + std::to_string(took) + " ms and " + std::to_string(received) + " bytes");
    }
    ::close(descriptor);
    return isKept;
}

} // namespace

int main(int count, char **arguments)
{
    const options given = readOptions(count, arguments);
    store platform({machine(1), freePort({machine(1)})});
    platform.start();
    publishState(platform);
    std::vector<std::unique_ptr<plain_replica>> replicas;
    for (int number = 0; number < replicaCount; ++number) {
        const std::string ip = machine(21 + number);
        replicas.push_back(std::make_unique<plain_replica>(platform, endpoint{ip, freePort({ip})},
                                                           "i-" + std::to_string(number) + newId()));
    }
    const std::string ip = machine(31);
    const endpoint front{ip, freePort({ip})};
    const endpoint admin{ip, freePort({ip})};
    program gateway({binary("medlarrack-gateway"), "--settings",
                     gatewaySettings(given.temporary, "edge-0", front, admin, platform.at(), freePort({ip}), memoryMb)},
                    given.temporary + "/edge-0.log");
    gateway.start();
    if (!waitUntilReady(admin, milliseconds(10'000))) {
        note("the gateway isn't ready");
        return 2;
    }
    // It is in touch.
    sleepFor(milliseconds(5'000));
    tally all;
    std::vector<std::thread> requesters;
    for (int number = 0; number < requesterCount; ++number) {
        requesters.emplace_back([&] {
            const milliseconds pauseTime = given.trouble ? pauseOfReader : milliseconds(0);
            for (int tries = 0; tries < 10 && !runRequester(front, pauseTime, all); ++tries) {
                sleepFor(milliseconds(200));
            }
        });
        sleepFor(milliseconds(25));
    }
    for (std::thread &one : requesters) {
        one.join();
    }
    const bool isUp = gateway.isRunning();
    note(std::to_string(all.sent) + " long answers asked for, " + std::to_string(answeredByReplicas)
         + " written by replicas, " + std::to_string(all.whole) + " came whole, " + std::to_string(all.refused)
         + " were refused; " + std::to_string(all.cut) + " channels ended without a complete answer"
         + (isUp ? "" : "; the gateway has ended"));
    const bool isBroken = all.cut > toleratedRequests;
    note(isBroken ? "LOST is broken" : "LOST held");
    gateway.kill();
    std::_Exit(all.sent == 0 ? 2 : isBroken ? 1 : 0);
}
