#include "lab.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

const clock::time_point startedAt = clock::now();

std::mutex recordMutex;
std::ofstream record;

std::mt19937_64 &random()
{
    static std::mt19937_64 engine{std::random_device()()};
    return engine;
}

std::mutex randomMutex;

sockaddr_in addressOf(const endpoint &at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

/// A listening descriptor, or -1.
int listenAt(const endpoint &at)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(at);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(descriptor, 1'024) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char one) {
        return static_cast<char>(std::tolower(one));
    });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::map<std::string, std::string> headersOf(const std::string &head)
{
    std::map<std::string, std::string> headers;
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", at + 2), head.size());
        const std::string line = head.substr(at + 2, end - at - 2);
        if (const auto colon = line.find(':'); colon != std::string::npos) {
            headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        at = end == head.size() ? std::string::npos : end;
    }
    return headers;
}

std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (index < left ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            out += index <= left ? digits[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return out;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? query : target.find(name + "=", query);
    if (at == std::string::npos) {
        return "";
    }
    at += name.size() + 1;
    return target.substr(at, std::min(target.find('&', at), target.size()) - at);
}

} // namespace

std::int64_t sinceStart()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - startedAt).count();
}

std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

void openRecord(const std::string &folder)
{
    record.open(folder + "/record.txt", std::ios::trunc);
}

void note(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    record << sinceStart() << " ms  " << line << std::endl;
}

std::string endpoint::text() const
{
    return ip + ":" + std::to_string(port);
}

std::string machine(int number)
{
    static const int high = 64 + static_cast<int>(std::random_device()() % 128);
    static const int low = static_cast<int>(std::random_device()() % 250);
    return "127." + std::to_string(high) + "." + std::to_string(low) + "." + std::to_string(number);
}

std::uint16_t freePort(const std::vector<std::string> &ips)
{
    static std::set<std::uint16_t> given;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(11'000 + std::random_device()() % 18'000);
        bool isFree = !given.contains(port);
        for (const std::string &ip : ips) {
            const int descriptor = isFree ? listenAt({ip, port}) : -1;
            isFree = descriptor >= 0;
            if (isFree) {
                ::close(descriptor);
            }
        }
        if (isFree) {
            given.insert(port);
            return port;
        }
    }
}

std::string request::header(const std::string &name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? "" : found->second;
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
}

connection::~connection()
{
    close();
}

bool connection::write(const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t size = ::send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(size);
    }
    return true;
}

void connection::reset()
{
    const std::lock_guard lock(m_mutex);
    if (m_descriptor >= 0) {
        const linger now{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        // The thread that reads it closes it; a shutdown alone would end it in order.
        const int replaced = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        ::dup2(replaced, m_descriptor);
        ::close(replaced);
    }
}

void connection::close()
{
    const std::lock_guard lock(m_mutex);
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

bool connection::isOpen()
{
    char byte = 0;
    const ssize_t size = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::optional<request> connection::read()
{
    std::size_t headEnd = m_buffer.find("\r\n\r\n");
    std::size_t bodySize = 0;
    request made;
    for (;;) {
        if (headEnd != std::string::npos && made.method.empty()) {
            const std::string head = m_buffer.substr(0, headEnd);
            const std::size_t first = head.find(' ');
            const std::size_t second = head.find(' ', first + 1);
            made.method = head.substr(0, first);
            made.target = head.substr(first + 1, second - first - 1);
            made.headers = headersOf(head);
            const std::string length = made.header("Content-Length");
            bodySize = length.empty() ? 0 : std::stoul(length);
        }
        if (headEnd != std::string::npos && m_buffer.size() >= headEnd + 4 + bodySize) {
            made.body = m_buffer.substr(headEnd + 4, bodySize);
            m_buffer.erase(0, headEnd + 4 + bodySize);
            return made;
        }
        // Polled, as the descriptor may be exchanged by a reset meanwhile.
        pollfd polled{m_descriptor, POLLIN, 0};
        if (m_descriptor < 0 || ::poll(&polled, 1, 20) < 0) {
            return std::nullopt;
        }
        if (polled.revents == 0) {
            continue;
        }
        char bytes[16'384];
        const ssize_t size = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        headEnd = m_buffer.find("\r\n\r\n");
    }
}

server::server(endpoint at, handler answer)
    : m_at(std::move(at))
    , m_answer(std::move(answer))
{
}

server::~server()
{
    crash();
}

void server::start()
{
    for (int tries = 0; m_listener < 0 && tries < 100; ++tries) {
        m_listener = listenAt(m_at);
        if (m_listener < 0) {
            sleepFor(milliseconds(10));
        }
    }
    if (m_listener < 0) {
        std::fprintf(stderr, "%s: no listener\n", m_at.text().c_str());
        std::_Exit(2);
    }
    m_accepting = std::thread([this, listener = m_listener] {
        acceptAll(listener);
    });
}

void server::acceptAll(int listener)
{
    for (;;) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto made = std::make_shared<connection>(descriptor);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(made);
        }
        std::thread([this, made] {
            while (const auto asked = made->read()) {
                m_answer(*asked, *made);
            }
            const std::lock_guard lock(m_mutex);
            m_connections.erase(made);
        }).detach();
    }
}

void server::crash()
{
    if (m_listener >= 0) {
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        m_listener = -1;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &one : m_connections) {
        one->reset();
    }
}

std::string answer(int status, const std::string &body, const std::string &headers)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

store::store(endpoint at)
    : m_at(std::move(at))
    , m_server(m_at, [this](const request &asked, connection &from) {
        handle(asked, from);
    })
{
}

void store::start()
{
    m_server.start();
}

const endpoint &store::at() const
{
    return m_at;
}

void store::put(const std::string &key, const nlohmann::json &value)
{
    write({key, value.dump(), 0, false});
}

void store::remove(const std::string &key)
{
    write({key, "", 0, true});
}

void store::write(item written)
{
    const std::lock_guard lock(m_mutex);
    written.revision = ++m_revision;
    m_items[written.key] = written;
    if (written.deleted) {
        m_items.erase(written.key);
    }
    m_history.push_back(std::move(written));
    m_changed.notify_all();
}

void store::handle(const request &asked, connection &from)
{
    const auto describe = [](const item &one) {
        nlohmann::json made = {{"key", one.key}, {"revision", one.revision}};
        if (one.deleted) {
            made["deleted"] = true;
        } else {
            made["value"] = base64(one.value);
            made["created"] = one.revision;
            made["lease"] = 0;
        }
        return made;
    };
    const std::string headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    std::unique_lock lock(m_mutex);
    if (asked.target.starts_with("/-/kv-range")) {
        nlohmann::json items = nlohmann::json::array();
        const std::string after = queryValue(asked.target, "after");
        for (const auto &[key, one] : m_items) {
            if (key > after) {
                items.push_back(describe(one));
            }
        }
        const nlohmann::json body = {{"items", items}, {"hasMore", false}, {"at", m_revision}};
        lock.unlock();
        from.write(answer(200, body.dump(), headers));
        return;
    }
    if (asked.target.starts_with("/-/kv-watch")) {
        const std::uint64_t after = std::stoull(queryValue(asked.target, "after"));
        const milliseconds wait(std::stoll(queryValue(asked.target, "waitMs")));
        m_changed.wait_for(lock, wait, [&] {
            return m_revision > after;
        });
        nlohmann::json events = nlohmann::json::array();
        for (const item &one : m_history) {
            if (one.revision > after) {
                events.push_back(describe(one));
            }
        }
        const nlohmann::json body = {{"events", events}, {"at", m_revision}};
        lock.unlock();
        from.write(answer(200, body.dump(), headers));
        return;
    }
    lock.unlock();
    from.write(answer(404, "{}", headers));
}

proxy::proxy(endpoint at, endpoint to)
    : m_at(std::move(at))
    , m_to(std::move(to))
    , m_listener(listenAt(m_at))
{
    m_accepting = std::thread([this] {
        acceptAll();
    });
}

proxy::~proxy()
{
    m_ended = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    ::close(m_listener);
}

void proxy::setCut(bool cut)
{
    m_cut = cut;
}

void proxy::acceptAll()
{
    for (;;) {
        const int from = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (from < 0) {
            return;
        }
        std::thread([this, from] {
            while (m_cut && !m_ended) {
                sleepFor(milliseconds(5));
            }
            const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = addressOf(m_to);
            if (!m_ended && ::connect(to, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
                const int on = 1;
                ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread back([this, from, to] {
                    forward(to, from);
                });
                forward(from, to);
                back.join();
            }
            ::close(from);
            ::close(to);
        }).detach();
    }
}

void proxy::forward(int from, int to)
{
    char bytes[65'536];
    while (!m_ended) {
        pollfd polled{from, POLLIN, 0};
        if (m_cut || ::poll(&polled, 1, 5) <= 0) {
            if (m_cut) {
                sleepFor(milliseconds(5));
            }
            continue;
        }
        const ssize_t size = ::recv(from, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            break;
        }
        while (m_cut && !m_ended) {
            sleepFor(milliseconds(5));
        }
        if (::send(to, bytes, static_cast<std::size_t>(size), MSG_NOSIGNAL) != size) {
            break;
        }
    }
    ::shutdown(to, SHUT_RDWR);
    ::shutdown(from, SHUT_RDWR);
}

program::program(std::vector<std::string> command, std::string logPath)
    : m_command(std::move(command))
    , m_logPath(std::move(logPath))
{
}

program::~program()
{
    kill();
}

void program::start()
{
    const pid_t id = ::fork();
    if (id == 0) {
        // It ends with the case, whatever ends that.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        std::vector<char *> words;
        for (std::string &word : m_command) {
            words.push_back(word.data());
        }
        words.push_back(nullptr);
        ::execv(words.front(), words.data());
        std::_Exit(127);
    }
    m_id = id;
}

void program::signal(int number)
{
    if (m_id > 0) {
        ::kill(m_id, number);
    }
}

void program::kill()
{
    if (m_id > 0) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = -1;
    }
}

bool program::isRunning()
{
    int status = 0;
    if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_id = -1;
        note(m_command.front() + " ended with status " + std::to_string(status));
    }
    return m_id > 0;
}

bool program::waitForEnd(milliseconds limit)
{
    const auto until = clock::now() + limit;
    while (isRunning() && clock::now() < until) {
        sleepFor(milliseconds(5));
    }
    return !isRunning();
}

reply ask(const endpoint &to, const std::string &text, milliseconds limit,
          const std::function<bool(const std::string &)> &onBytes)
{
    reply got;
    const auto until = clock::now() + limit;
    const auto left = [&] {
        const auto time = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        return static_cast<int>(std::max<std::int64_t>(time, 0));
    };
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(to);
    const std::unique_ptr<const int, void (*)(const int *)> closer(&descriptor, [](const int *one) {
        ::close(*one);
    });
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
        return got;
    }
    got.sent = true;
    std::string buffer;
    std::size_t headEnd = std::string::npos;
    bool isChunked = false;
    std::optional<std::size_t> length;
    for (;;) {
        pollfd polled{descriptor, POLLIN, 0};
        if (::poll(&polled, 1, left()) <= 0) {
            return got;
        }
        char bytes[16'384];
        const ssize_t size = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            got.complete = size == 0 && got.status != 0 && !isChunked && !length;
            return got;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd == std::string::npos) {
                continue;
            }
            const std::string head = buffer.substr(0, headEnd);
            got.status = std::stoi(head.substr(head.find(' ') + 1, 3));
            got.headers = headersOf(head);
            isChunked = lower(got.headers["transfer-encoding"]) == "chunked";
            if (const auto found = got.headers.find("content-length"); found != got.headers.end()) {
                length = std::stoul(found->second);
            }
            buffer.erase(0, headEnd + 4);
        }
        std::string added;
        if (!isChunked) {
            added = std::exchange(buffer, {});
        }
        while (isChunked) {
            const std::size_t line = buffer.find("\r\n");
            if (line == std::string::npos) {
                break;
            }
            const std::size_t chunk = std::stoul(buffer.substr(0, line), nullptr, 16);
            if (buffer.size() < line + 2 + chunk + 2) {
                break;
            }
            added += buffer.substr(line + 2, chunk);
            buffer.erase(0, line + 2 + chunk + 2);
            got.complete = got.complete || chunk == 0;
        }
        got.body += added;
        if (!added.empty() && onBytes && !onBytes(got.body)) {
            return got;
        }
        got.complete = got.complete || (length && got.body.size() >= *length);
        if (got.complete) {
            return got;
        }
    }
}

std::vector<event> eventsOf(const std::string &body)
{
    std::vector<event> events;
    std::size_t at = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
        const std::string text = body.substr(at, end - at);
        at = end + 2;
        event one;
        std::size_t line = 0;
        while (line < text.size()) {
            const std::size_t lineEnd = std::min(text.find('\n', line), text.size());
            const std::string field = text.substr(line, lineEnd - line);
            if (field.starts_with("id: ")) {
                one.id = std::stoi(field.substr(4));
            } else if (field.starts_with("data: ")) {
                one.data = field.substr(6);
            }
            line = lineEnd + 1;
        }
        events.push_back(one);
    }
    return events;
}

std::string gatewaySettings(const std::string &folder, const std::string &name, const endpoint &callers,
                            const endpoint &admin, const endpoint &store, std::uint16_t agentPort, int memoryMb)
{
    const nlohmann::json settings = {
        {"name", name},           {"data_centre", "osijek"},     {"callers", callers.text()}, {"admin", admin.text()},
        {"store", store.text()},  {"change_bound_ms", 2'000},    {"grace_period_s", 8.0},     {"retry_ratio", 0.2},
        {"retry_window_s", 10},   {"memory_limit_mb", memoryMb}, {"cpu_share", 1.0},          {"link_mbps", 1'000.0},
        {"agent_port", agentPort}};
    std::string path = folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump(4) << "\n";
    return path;
}

std::string agentSettings(const std::string &folder, const std::string &name, const std::string &ip, std::uint16_t port,
                          std::uint16_t metricsPort, const endpoint &engine)
{
    const nlohmann::json settings = {{"name", name},
                                     {"data_centre", "osijek"},
                                     {"listen", {{"address", ip}, {"port", port}}},
                                     {"metrics_port", metricsPort},
                                     {"engine", engine.text()}};
    std::string path = folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump(4) << "\n";
    return path;
}

std::string binary(const std::string &name)
{
    return "target/bin/" + name;
}

bool waitUntilReady(const endpoint &admin, milliseconds limit)
{
    const auto until = clock::now() + limit;
    while (clock::now() < until) {
        if (ask(admin, "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", milliseconds(500)).status
            == 200) {
            return true;
        }
        sleepFor(milliseconds(20));
    }
    return false;
}

options readOptions(int count, char **arguments)
{
    options read;
    if (count < 3) {
        std::fprintf(stderr, "usage: %s FOLDER TEMPORARY\n", arguments[0]);
        std::_Exit(2);
    }
    read.folder = arguments[1];
    read.temporary = arguments[2];
    const char *trouble = std::getenv("TROUBLE");
    read.trouble = trouble == nullptr || std::string(trouble) != "0";
    std::signal(SIGPIPE, SIG_IGN);
    openRecord(read.folder);
    return read;
}

std::string newId()
{
    const std::lock_guard lock(randomMutex);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()()));
    return text;
}

} // namespace lab
