#pragma once

// What the cases of the second review share: stand-ins for the platform's store and for replicas, requesters, and the
// project's own programs as child processes. All addresses are loopback addresses of the run's own subnet.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lab {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the program was started.
std::int64_t sinceStart();
std::uint64_t unixMs();
void sleepFor(milliseconds time);

/// Writes a line with the time to record.txt.
void note(const std::string &line);
/// Opens record.txt in the folder given.
void openRecord(const std::string &folder);

struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
};

/// 127.X.Y.N, with X and Y drawn at the start of the program.
std::string machine(int number);
/// A port that is free at all the addresses given.
std::uint16_t freePort(const std::vector<std::string> &ips);

struct request
{
    std::string method;
    std::string target;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/// A connection at a stand-in.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    bool write(const std::string &bytes);
    /// Ends the connection with a reset.
    void reset();
    void close();
    /// False once the peer has closed or reset it.
    bool isOpen();
    std::optional<request> read();

private:
    int m_descriptor;
    std::string m_buffer;
    std::mutex m_mutex;
};

/// An HTTP server with a thread for each connection.
class server
{
public:
    using handler = std::function<void(const request &, connection &)>;

    server(endpoint at, handler answer);
    ~server();
    void start();
    /// Resets all connections and refuses new ones until start().
    void crash();

private:
    void acceptAll(int listener);

    endpoint m_at;
    handler m_answer;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
    std::thread m_accepting;
};

/// A complete response. `headers` are whole lines.
std::string answer(int status, const std::string &body, const std::string &headers = "");

/// The platform's store: reads in pages, and watches.
class store
{
public:
    explicit store(endpoint at);
    void start();
    void put(const std::string &key, const nlohmann::json &value);
    void remove(const std::string &key);
    [[nodiscard]] const endpoint &at() const;

private:
    struct item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    void handle(const request &asked, connection &from);
    void write(item written);

    endpoint m_at;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<item> m_history;
    std::uint64_t m_revision = 10;
    server m_server;
};

/// Forwards connections to another address. While it is cut, nothing passes in either direction and nothing is reset.
class proxy
{
public:
    proxy(endpoint at, endpoint to);
    ~proxy();
    void setCut(bool cut);

private:
    void acceptAll();
    void forward(int from, int to);

    endpoint m_at;
    endpoint m_to;
    int m_listener = -1;
    std::atomic<bool> m_cut = false;
    std::atomic<bool> m_ended = false;
    std::thread m_accepting;
};

/// One of the project's programs.
class program
{
public:
    program(std::vector<std::string> command, std::string logPath);
    ~program();
    void start();
    void signal(int number);
    void kill();
    /// Whether it runs; notes its exit otherwise.
    bool isRunning();
    bool waitForEnd(milliseconds limit);

private:
    std::vector<std::string> m_command;
    std::string m_logPath;
    pid_t m_id = -1;
};

/// What a requester got.
struct reply
{
    /// 0 if there was no answer.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The answer came whole.
    bool complete = false;
    /// The connection was made and the request written.
    bool sent = false;
};

/// Sends a request on a new connection and reads its answer. `onBytes` gets the body as it comes, and may return false
/// to break the connection off.
reply ask(const endpoint &to, const std::string &text, milliseconds limit,
          const std::function<bool(const std::string &)> &onBytes = {});

/// The events of a stream: their ids and data.
struct event
{
    int id = 0;
    std::string data;
};
std::vector<event> eventsOf(const std::string &body);

/// The settings of a gateway and an agent, as the templates of the deploy file render them.
std::string gatewaySettings(const std::string &folder, const std::string &name, const endpoint &callers,
                            const endpoint &admin, const endpoint &store, std::uint16_t agentPort, int memoryMb = 260);
std::string agentSettings(const std::string &folder, const std::string &name, const std::string &ip, std::uint16_t port,
                          std::uint16_t metricsPort, const endpoint &engine);
/// The program of the deploy file's build.
std::string binary(const std::string &name);
bool waitUntilReady(const endpoint &admin, milliseconds limit);

/// Folder of the case, of its temporary files, and whether the disruption is made.
struct options
{
    std::string folder;
    std::string temporary;
    bool trouble = true;
};
options readOptions(int count, char **arguments);

std::string newId();

} // namespace lab
