#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace {

const clock::time_point begin = clock::now();
std::mutex recordMutex;
constexpr std::size_t maxPrograms = 64;
std::array<std::atomic<int>, maxPrograms> programIds{};

/// Ends the programs that the test has started if the test itself is ended.
void endPrograms(int)
{
    for (const auto &id : programIds) {
        if (id > 0) {
            ::kill(id, SIGKILL);
        }
    }
    ::_exit(notRun);
}

void replaceProgramId(int before, int after)
{
    for (auto &id : programIds) {
        int expected = before;
        if (id.compare_exchange_strong(expected, after)) {
            return;
        }
    }
}

std::ofstream recordFile;

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](unsigned char one, unsigned char other) {
               return std::tolower(one) == std::tolower(other);
           });
}

sockaddr_in toAddress(const endpoint &at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    return address;
}

int listenAt(endpoint &at)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = toAddress(at);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        throw std::runtime_error("can't listen at " + at.text() + ": " + std::strerror(errno));
    }
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    at.port = ntohs(address.sin_port);
    return descriptor;
}

std::string encodeBase64(std::string_view bytes)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            out += index <= count ? digits[group >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return out;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? query : target.find(name + "=", query);
    while (at != std::string::npos && target[at - 1] != '?' && target[at - 1] != '&') {
        at = target.find(name + "=", at + 1);
    }
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

} // namespace

double seconds()
{
    return std::chrono::duration<double>(clock::now() - begin).count();
}

std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

void pauseMs(int time)
{
    std::this_thread::sleep_for(milliseconds(time));
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.4f ", seconds());
    const std::lock_guard lock(recordMutex);
    recordFile << time.data() << line << '\n';
    recordFile.flush();
}

std::string address(int number)
{
    const int id = ::getpid();
    return "127." + std::to_string(16 + id % 200) + "." + std::to_string(id / 200 % 250) + "." + std::to_string(number);
}

int freePort(const std::string &at)
{
    endpoint found{at, 0};
    ::close(listenAt(found));
    return found.port;
}

process::process(std::vector<std::string> command, std::string outputPath)
    : m_command(std::move(command))
    , m_outputPath(std::move(outputPath))
{
}

process::~process()
{
    if (m_id > 0 && !ended()) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        replaceProgramId(m_id, 0);
    }
}

void process::start()
{
    std::vector<char *> values;
    for (std::string &value : m_command) {
        values.push_back(value.data());
    }
    values.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&m_id, m_command.front().c_str(), &files, nullptr, values.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        m_id = -1;
        throw std::runtime_error("can't start " + m_command.front());
    }
    replaceProgramId(0, m_id);
}

void process::signal(int number) const
{
    if (m_id > 0) {
        ::kill(m_id, number);
    }
}

bool process::ended()
{
    if (m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == m_id) {
        replaceProgramId(m_id, 0);
        m_id = -1;
    }
    return m_id <= 0;
}

std::string message::header(std::string_view name) const
{
    for (const auto &[known, value] : headers) {
        if (equalsIgnoreCase(known, name)) {
            return value;
        }
    }
    return {};
}

channel::channel(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

channel::~channel()
{
    ::close(m_descriptor);
}

bool channel::fill(clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd waited{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 65'536> bytes{};
    const ssize_t size = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_bytes.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<message> channel::read(bool isResponse, milliseconds limit)
{
    const auto until = clock::now() + limit;
    std::size_t end = std::string::npos;
    while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message read;
    std::size_t lineEnd = m_bytes.find("\r\n");
    const std::string first = m_bytes.substr(0, lineEnd);
    if (isResponse) {
        read.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    } else {
        read.method = first.substr(0, first.find(' '));
        read.target = first.substr(read.method.size() + 1, first.rfind(' ') - read.method.size() - 1);
    }
    while (lineEnd < end) {
        const std::size_t start = lineEnd + 2;
        lineEnd = m_bytes.find("\r\n", start);
        const std::string line = m_bytes.substr(start, lineEnd - start);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            read.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    m_bytes.erase(0, end + 4);
    if (equalsIgnoreCase(read.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t sizeEnd = std::string::npos;
            while ((sizeEnd = m_bytes.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return std::nullopt;
                }
            }
            const std::size_t size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < sizeEnd + 2 + size + 2) {
                if (!fill(until)) {
                    return std::nullopt;
                }
            }
            read.body += m_bytes.substr(sizeEnd + 2, size);
            m_bytes.erase(0, sizeEnd + 2 + size + 2);
            if (size == 0) {
                return read;
            }
        }
    }
    const std::size_t length = std::strtoul(read.header("Content-Length").c_str(), nullptr, 10);
    while (m_bytes.size() < length) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    read.body = m_bytes.substr(0, length);
    m_bytes.erase(0, length);
    return read;
}

bool channel::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool channel::peerClosed()
{
    std::array<char, 1> byte{};
    const ssize_t size = ::recv(m_descriptor, byte.data(), byte.size(), MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void channel::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::shared_ptr<channel> connectTo(const endpoint &to, milliseconds limit)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = toAddress(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd waited{descriptor, POLLOUT, 0};
        int error = errno;
        socklen_t size = sizeof error;
        if (error == EINPROGRESS && ::poll(&waited, 1, static_cast<int>(limit.count())) > 0) {
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            ::close(descriptor);
            return nullptr;
        }
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return std::make_shared<channel>(descriptor);
}

server::server(endpoint at, handler onChannel)
    : m_at(std::move(at))
    , m_onChannel(std::move(onChannel))
    , m_listener(listenAt(m_at))
    , m_accepting([this] {
        accept();
    })
{
}

server::~server()
{
    close();
}

endpoint server::at() const
{
    return m_at;
}

void server::accept()
{
    while (!m_closing) {
        pollfd waited{m_listener, POLLIN, 0};
        if (::poll(&waited, 1, 50) <= 0) {
            continue;
        }
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const auto peer = std::make_shared<channel>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_channels.push_back(peer);
        m_threads.emplace_back([this, peer] {
            m_onChannel(*peer);
            peer->shutdown();
        });
    }
}

void server::close()
{
    if (m_closing.exchange(true)) {
        return;
    }
    m_accepting.join();
    ::close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const auto &weak : m_channels) {
        if (const auto open = weak.lock()) {
            open->shutdown();
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &headers, std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK\r\n" : " Answer\r\n");
    for (const auto &[name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

store::store(const endpoint &at)
    : m_server(at, [this](channel &peer) {
        serve(peer);
    })
{
}

endpoint store::at() const
{
    return m_server.at();
}

void store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = {key, encodeBase64(value), ++m_revision, false};
    m_history.push_back(m_items[key]);
}

void store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_items.erase(key);
    m_history.push_back({key, "", ++m_revision, true});
}

void store::cutWaitingWatchesAfter(milliseconds time)
{
    m_cutAfterMs = static_cast<int>(time.count());
}

std::string store::itemText(const item &one) const
{
    std::string text = "{\"key\":\"" + one.key + "\",\"revision\":" + std::to_string(one.revision);
    text += one.deleted
        ? ",\"deleted\":true}"
        : ",\"value\":\"" + one.value + "\",\"created\":" + std::to_string(one.revision) + ",\"lease\":0}";
    return text;
}

void store::serve(channel &peer)
{
    constexpr milliseconds idle{60'000};
    constexpr int answerMs = 4;
    while (const auto request = peer.read(false, idle)) {
        pauseMs(answerMs);
        std::string list;
        std::uint64_t at = 0;
        const bool isWatch = request->target.starts_with("/-/kv-watch");
        if (isWatch) {
            const std::uint64_t after = std::strtoull(queryValue(request->target, "after").c_str(), nullptr, 10);
            const int waitMs = std::atoi(queryValue(request->target, "waitMs").c_str());
            const auto asked = clock::now();
            while (true) {
                {
                    const std::lock_guard lock(m_mutex);
                    at = m_revision;
                    for (const item &one : m_history) {
                        if (one.revision > after) {
                            list += (list.empty() ? "" : ",") + itemText(one);
                        }
                    }
                }
                if (!list.empty() || clock::now() - asked >= milliseconds(waitMs)) {
                    break;
                }
                if (m_cutAfterMs > 0 && clock::now() - asked >= milliseconds(m_cutAfterMs)) {
                    record("store: a watch that waits is cut");
                    return;
                }
                pauseMs(1);
            }
        } else {
            const std::lock_guard lock(m_mutex);
            at = m_revision;
            for (const auto &[key, one] : m_items) {
                list += (list.empty() ? "" : ",") + itemText(one);
            }
        }
        const std::string body = std::string(isWatch ? "{\"events\":[" : "{\"items\":[") + list
            + (isWatch ? "]" : "],\"hasMore\":false") + ",\"at\":" + std::to_string(at) + "}";
        if (!peer.write(response(200, {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

std::string gatewaySettings(const std::string &folder, const std::string &name, const endpoint &callers,
                            const endpoint &admin, const endpoint &storeAt, int agentPort)
{
    const std::string path = folder + "/" + name + ".json";
    std::ofstream out(path);
    out << "{\n    \"name\": \"" << name << "\",\n    \"data_centre\": \"osijek\",\n    \"callers\": \""
        << callers.text() << "\",\n    \"admin\": \"" << admin.text() << "\",\n    \"store\": \"" << storeAt.text()
        << "\",\n    \"change_bound_ms\": 2000,\n    \"grace_period_s\": 8,\n    \"retry_ratio\": 0.2,\n    "
           "\"retry_window_s\": 10,\n"
        << "    \"agent_port\": " << agentPort << "\n}\n";
    return path;
}

std::string agentSettings(const std::string &folder, const std::string &name, const endpoint &listen, int metricsPort,
                          const endpoint &engine)
{
    const std::string path = folder + "/" + name + ".json";
    std::ofstream out(path);
    out << "{\n    \"name\": \"" << name << "\",\n    \"data_centre\": \"osijek\",\n    \"listen\": { \"address\": \""
        << listen.address << "\", \"port\": " << listen.port << " },\n    \"metrics_port\": " << metricsPort
        << ",\n    \"engine\": \"" << engine.text() << "\"\n}\n";
    return path;
}

bool waitUntilReady(const endpoint &admin, milliseconds limit)
{
    const auto until = clock::now() + limit;
    while (clock::now() < until) {
        const auto peer = connectTo(admin, milliseconds(500));
        if (peer != nullptr && peer->write("GET /-/readiness HTTP/1.1\r\nHost: gateway\r\n\r\n")) {
            const auto answer = peer->read(true, milliseconds(500));
            if (answer && answer->status == 200) {
                return true;
            }
        }
        pauseMs(50);
    }
    return false;
}

arguments readArguments(int count, char **values)
{
    if (count != 4) {
        throw std::runtime_error("arguments: TROUBLE PROGRAMS FOLDER");
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, endPrograms);
    std::signal(SIGINT, endPrograms);
    return {std::string(values[1]) != "0", values[2], values[3]};
}

} // namespace review
