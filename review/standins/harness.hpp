// What the scripts of the review share: a record, processes, an HTTP/1.1 server and client on blocking sockets, and a
// stand-in for the platform's store as PROTOCOL.md describes it.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Seconds since the program began.
double seconds();
std::uint64_t unixMs();
void pauseMs(int time);

/// Writes one line with its time to record.txt. Thread-safe.
void openRecord(const std::string &path);
void record(const std::string &line);

struct endpoint
{
    std::string address;
    int port = 0;

    [[nodiscard]] std::string text() const
    {
        return address + ":" + std::to_string(port);
    }
};

/// An own loopback network for each run: address(1), address(2) and so on.
std::string address(int number);
int freePort(const std::string &at);

/// A program that the test has started; ended by its id.
class process
{
public:
    process(std::vector<std::string> command, std::string outputPath);
    ~process();
    process(const process &) = delete;
    process &operator=(const process &) = delete;

    void start();
    void signal(int number) const;
    /// Whether it has ended by itself.
    bool ended();

private:
    std::vector<std::string> m_command;
    std::string m_outputPath;
    int m_id = -1;
};

struct message
{
    /// "GET", "/path" of a request.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
};

/// A connected socket with what was read too much.
class channel
{
public:
    explicit channel(int descriptor);
    ~channel();
    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;

    /// Reads a whole message with a length, in chunks, or without a body; nothing if the peer closed before its end.
    std::optional<message> read(bool response, milliseconds limit);
    bool write(std::string_view bytes);
    /// Whether the peer has closed or reset the connection.
    bool peerClosed();
    void shutdown();

private:
    bool fill(clock::time_point until);

    int m_descriptor;
    std::string m_bytes;
};

std::shared_ptr<channel> connectTo(const endpoint &to, milliseconds limit);

/// Accepts channels and runs the handler of each in a thread of its own.
class server
{
public:
    using handler = std::function<void(channel &)>;
    server(endpoint at, handler onChannel);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;
    [[nodiscard]] endpoint at() const;
    /// Closes the listener and all channels, as the end of a process does.
    void close();

private:
    void accept();

    endpoint m_at;
    handler m_onChannel;
    int m_listener = -1;
    std::atomic<bool> m_closing{false};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<channel>> m_channels;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                     std::string_view body);

/// The platform's store: kv-range and kv-watch. Answers after 4 ms.
class store
{
public:
    explicit store(const endpoint &at);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] endpoint at() const;
    /// A watch that waits is cut after this time; 0 for never.
    void cutWaitingWatchesAfter(milliseconds time);

private:
    struct item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    void serve(channel &peer);
    std::string itemText(const item &one) const;

    std::mutex m_mutex;
    std::map<std::string, item> m_items;
    std::vector<item> m_history;
    std::uint64_t m_revision = 10;
    std::atomic<int> m_cutAfterMs{0};
    server m_server;
};

/// Writes the settings of a gateway as deploy/gateway.json.in renders them, with the bounds of the small sheets.
std::string gatewaySettings(const std::string &folder, const std::string &name, const endpoint &callers,
                            const endpoint &admin, const endpoint &storeAt, int agentPort);
/// The same for an agent and deploy/agent.json.in.
std::string agentSettings(const std::string &folder, const std::string &name, const endpoint &listen, int metricsPort,
                          const endpoint &engine);
bool waitUntilReady(const endpoint &admin, milliseconds limit);

/// What run.sh passes on: whether the disruption takes place, and where programs and files are.
struct arguments
{
    bool trouble = true;
    std::string programs;
    std::string folder;
};
arguments readArguments(int count, char **values);

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

} // namespace review
