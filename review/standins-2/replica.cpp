#include "replica.hpp"

#include <csignal>

namespace lab {

namespace {

constexpr milliseconds modelLoadTime{400};

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

replica::replica(store &platform, endpoint at, replica_kind kind)
    : m_platform(platform)
    , m_at(std::move(at))
    , m_kind(std::move(kind))
    , m_server(m_at, [this](const request &asked, connection &from) {
        handle(asked, from);
    })
{
    m_beating = std::thread([this] {
        auto next = clock::now();
        while (!m_ended) {
            sleepFor(milliseconds(20));
            if (clock::now() >= next) {
                next = clock::now() + m_kind.heartbeat;
                registerNow();
            }
        }
    });
}

replica::~replica()
{
    m_ended = true;
    m_beating.join();
    m_server.crash();
}

void replica::start(const replica_start &as)
{
    {
        const std::lock_guard lock(m_mutex);
        m_as = as;
        m_bornMs = unixMs();
        ++m_starts;
        m_up = true;
        m_sequence = 0;
        m_running = 0;
        m_orders = 0;
        m_fencingToken = 0;
        m_hasModel = false;
        m_loading = false;
    }
    m_server.start();
    note("replica " + as.id + " of " + m_kind.service + " starts at " + m_at.text() + " with version "
         + as.softwareVersion);
    registerNow();
}

void replica::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        note("replica " + m_as.id + " (" + m_as.softwareVersion + ") is killed with " + std::to_string(m_running)
             + " runs");
        m_up = false;
        ++m_starts;
    }
    m_server.crash();
}

void replica::unregister()
{
    m_platform.remove("servers/" + m_as.id);
}

bool replica::isServing()
{
    const std::lock_guard lock(m_mutex);
    return m_up && (!m_kind.isEngine || m_hasModel);
}

const endpoint &replica::at() const
{
    return m_at;
}

int replica::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void replica::registerNow()
{
    const std::lock_guard lock(m_mutex);
    if (!m_up) {
        return;
    }
    nlohmann::json models = nlohmann::json::array();
    if (m_hasModel) {
        models.push_back({{"name", "base"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    }
    m_platform.put("servers/" + m_as.id,
                   {{"service", m_kind.service},
                    {"address", m_at.text()},
                    {"zone", "osijek"},
                    {"version", m_as.softwareVersion},
                    {"slots", m_kind.slots},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"born", m_bornMs},
                    {"models", models},
                    {"sequence", ++m_sequence}});
}

void replica::handle(const request &asked, connection &from)
{
    if (asked.target == "/-/report") {
        report(from);
        return;
    }
    if (asked.target == "/-/order") {
        takeOrder(asked, from);
        return;
    }
    if (asked.target == "/-/kv-move") {
        moveRun(asked, from);
        return;
    }
    if (asked.target.starts_with("/-/")) {
        from.write(answer(404, "{}"));
        return;
    }
    replica_start as;
    std::uint64_t start = 0;
    int rejection = 0;
    {
        const std::lock_guard lock(m_mutex);
        as = m_as;
        start = m_starts;
        const std::string expected = asked.header("Expect-Instance");
        if ((!expected.empty() && expected != m_as.id) || (m_kind.isEngine && !m_hasModel)) {
            rejection = 421;
        } else if (m_running >= m_kind.slots) {
            rejection = 503;
        } else {
            ++m_running;
            ++m_runs;
        }
    }
    const std::string id = asked.header("Attempt-Id");
    if (rejection != 0) {
        from.write(answer(rejection, "", "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n"));
        return;
    }
    clock::time_point beginAt;
    {
        const std::lock_guard lock(m_mutex);
        beginAt = m_stalledUntil;
        m_waiting += beginAt > clock::now() ? 1 : 0;
    }
    if (beginAt > clock::now()) {
        note("replica " + as.id + " lets " + id + " wait");
        std::this_thread::sleep_until(beginAt);
        const std::lock_guard lock(m_mutex);
        --m_waiting;
    }
    if (!m_kind.dropsClosed || from.isOpen()) {
        {
            const std::lock_guard lock(m_mutex);
            m_begun.insert(id);
        }
        note("replica " + as.id + " (" + as.softwareVersion + ") runs " + id + " after event '"
             + asked.header("Last-Event-Id") + "'");
        if (onRun) {
            onRun(asked);
        }
        stream(asked, from, as, start);
        if (onRunEnd) {
            onRunEnd(asked);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_begun.erase(id);
    m_stopped.erase(id);
    if (m_starts == start) {
        --m_running;
    }
}

void replica::stallUntil(clock::time_point time)
{
    const std::lock_guard lock(m_mutex);
    m_stalledUntil = time;
}

/// "404 if no such run exists"; a run that has begun stops, and its memory stays here as there is no room elsewhere.
void replica::moveRun(const request &asked, connection &from)
{
    const auto body = nlohmann::json::parse(asked.body, nullptr, false);
    const std::string id = body.value("id", "");
    bool isBegun = false;
    {
        const std::lock_guard lock(m_mutex);
        isBegun = m_begun.contains(id);
        if (isBegun && body.value("last", false)) {
            m_stopped.insert(id);
        }
    }
    note("replica " + m_as.id + " is asked to move " + id + ": " + (isBegun ? "stops it" : "no such run"));
    from.write(isBegun ? answer(503, R"({"handle":"h)" + id + R"("})") : answer(404, "{}"));
}

void replica::stream(const request &asked, connection &from, const replica_start &as, std::uint64_t start)
{
    const std::string id = asked.header("Attempt-Id");
    const std::string tokens = asked.header("Token-Count");
    const int total = std::stoi(tokens.substr(tokens.find(',') + 1));
    const std::string last = asked.header("Last-Event-Id");
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + id
        + "\r\nResponse-Signature: s." + id + "." + as.id + "\r\nServer-Load: 1,0," + std::to_string(m_kind.slots)
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= total; ++number) {
        for (auto until = clock::now() + m_kind.eventGap; clock::now() < until;) {
            sleepFor(milliseconds(5));
            const std::lock_guard lock(m_mutex);
            if (m_starts != start) {
                return;
            }
            if (m_stopped.contains(id)) {
                from.close();
                return;
            }
        }
        const std::string data =
            as.softwareVersion + " " + as.id + " event " + std::to_string(number) + " of " + std::to_string(total);
        const bool isTaken = from.isOpen()
            && from.write(std::exchange(head, "")
                          + chunk("id: " + std::to_string(number) + "\ndata: " + data + "\n\n"));
        if (!isTaken && m_kind.dropsClosed) {
            from.close();
            return;
        }
    }
    from.write(head + "0\r\n\r\n");
}

void replica::report(connection &from)
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json models = nlohmann::json::array();
    if (m_hasModel) {
        models.push_back({{"name", "base"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    }
    const nlohmann::json body = {{"stage", "colocated"}, {"models", models},       {"busy", m_loading},
                                 {"sequence", m_orders}, {"queuedCount", 0},       {"runningCount", m_running},
                                 {"kvCacheUsed", 1'000}, {"kvCacheTotal", 90'000}, {"handles", 0},
                                 {"born", m_bornMs}};
    from.write(answer(200, body.dump(), "Content-Type: application/json\r\n"));
}

void replica::takeOrder(const request &asked, connection &from)
{
    const std::string echo = "Attempt-Id: " + asked.header("Attempt-Id") + "\r\n";
    const auto body = nlohmann::json::parse(asked.body, nullptr, false);
    int status = 202;
    std::uint64_t start = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto token = body.value("fencingToken", std::uint64_t(0));
        start = m_starts;
        if (body.value("holder", "").empty() || token == 0 || body.value("operation", "") != "model_load"
            || body.value("model", "") != "base") {
            status = 400;
        } else if (token < m_fencingToken) {
            status = 412;
        } else if (m_loading || body.value("expected", m_orders) != m_orders) {
            status = 409;
        } else if (m_hasModel) {
            status = 200;
        } else {
            m_loading = true;
            ++m_orders;
        }
        m_fencingToken = std::max(m_fencingToken, token);
    }
    from.write(answer(status, "{}", echo));
    if (status == 202) {
        std::thread([this, start] {
            sleepFor(modelLoadTime);
            {
                const std::lock_guard lock(m_mutex);
                if (m_starts != start) {
                    return;
                }
                m_hasModel = true;
                m_loading = false;
            }
            registerNow();
        }).detach();
    }
}

std::string textOf(const stream_request &asked)
{
    std::string text = "POST " + asked.path + " HTTP/1.1\r\nHost: " + asked.host + "\r\nAttempt-Id: " + asked.id
        + "\r\nDeadline-Ms: " + std::to_string(asked.deadline.count()) + "\r\nToken-Count: 40,"
        + std::to_string(asked.events) + "\r\n";
    if (!asked.model.empty()) {
        text += "Model: " + asked.model + "\r\nPrompt-Prefix: 5c1e07a2:30," + asked.id + ":10\r\n";
    }
    if (asked.lastEvent > 0) {
        text += "Last-Event-Id: " + std::to_string(asked.lastEvent) + "\r\nResumes: " + asked.resumes + "\r\n";
    }
    return text + "Content-Length: 5\r\n\r\nhello";
}

} // namespace lab
