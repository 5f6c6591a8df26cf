// A request crashes each replica that runs it, and is refused by now. All gateways and agents are killed at once and
// start again. How often does the request reach replicas after that?

#include "../standins-2/replica.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace {

using namespace lab;

constexpr int replicaCount = 3;
constexpr int engineCount = 3;
constexpr int gatewayCount = 2;
constexpr milliseconds contact{3'000};
/// From one request with the crashing content to the next one.
constexpr milliseconds poisonInterval{1'500};
constexpr milliseconds replicaDownTime{2'500};
constexpr milliseconds processDownTime{1'000};
constexpr int toleratedArrivals = 3;
constexpr std::string_view poisonPath = "/status/span-17";

/// A plain replica: commands take 300 ms; the crashing request ends the process after 20 ms.
class plain_replica
{
public:
    plain_replica(store &platform, endpoint at, std::function<void()> onCrash)
        : m_platform(platform)
        , m_at(std::move(at))
        , m_onCrash(std::move(onCrash))
        , m_server(m_at, [this](const request &asked, connection &from) {
            handle(asked, from);
        })
    {
        m_keeping = std::thread([this] {
            keep();
        });
    }

    ~plain_replica()
    {
        m_ended = true;
        m_keeping.join();
        m_server.crash();
    }

private:
    void keep()
    {
        auto nextBeat = clock::now();
        auto startAt = clock::now();
        while (!m_ended) {
            const auto now = clock::now();
            if (m_crashAt && now >= *m_crashAt) {
                const std::lock_guard lock(m_mutex);
                m_crashAt.reset();
                m_up = false;
                ++m_starts;
                startAt = now + replicaDownTime;
                note("replica " + m_id + " crashes");
                m_server.crash();
                m_platform.remove("servers/" + m_id);
                m_onCrash();
            } else if (!m_up && now >= startAt) {
                {
                    const std::lock_guard lock(m_mutex);
                    m_id = "i-" + newId();
                    m_born = unixMs();
                    m_sequence = 0;
                    m_up = true;
                }
                m_server.start();
                note("replica " + m_id + " starts at " + m_at.text());
                nextBeat = now;
            }
            if (m_up && now >= nextBeat) {
                nextBeat = now + milliseconds(1'200);
                m_platform.put("servers/" + m_id,
                               {{"service", "pivot-ctl"},
                                {"address", m_at.text()},
                                {"zone", "osijek"},
                                {"version", "v1"},
                                {"slots", 6},
                                {"state", "ready"},
                                {"coldRemainingMs", 0},
                                {"born", m_born},
                                {"sequence", ++m_sequence}});
            }
            sleepFor(milliseconds(5));
        }
    }

    void handle(const request &asked, connection &from)
    {
        const std::string id = asked.header("Attempt-Id");
        std::string name;
        std::uint64_t start = 0;
        {
            const std::lock_guard lock(m_mutex);
            name = m_id;
            start = m_starts;
        }
        if (asked.header("Expect-Instance") != name) {
            from.write(answer(421, "", "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n"));
            return;
        }
        note("replica " + name + " runs " + id + " " + asked.target);
        if (asked.target == poisonPath) {
            m_crashAt = clock::now() + milliseconds(20);
            return;
        }
        sleepFor(milliseconds(300));
        {
            const std::lock_guard lock(m_mutex);
            if (m_starts != start) {
                return;
            }
        }
        from.write(answer(200, "done " + id,
                          "Attempt-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\nServer-Load: 1,0,6\r\n"));
    }

    store &m_platform;
    endpoint m_at;
    std::function<void()> m_onCrash;
    std::mutex m_mutex;
    std::string m_id;
    std::uint64_t m_born = 0;
    std::uint64_t m_starts = 0;
    int m_sequence = 0;
    std::atomic<bool> m_up = false;
    std::atomic<bool> m_ended = false;
    std::optional<clock::time_point> m_crashAt;
    server m_server;
    std::thread m_keeping;
};

nlohmann::json route(const std::string &name, const std::string &kind, const std::string &service)
{
    return {{"name", name},       {"host", "field.example"}, {"prefix", "/" + name + "/"},
            {"kind", kind},       {"service", service},      {"maxAttempts", 2},
            {"timeoutMs", 3'000}, {"targetLatencyMs", 300},  {"priority", 2}};
}

void publishState(store &platform)
{
    const nlohmann::json model = {
        {"name", "base"}, {"weightsMb", 72'700}, {"loadTimeS", 2.1}, {"adapters", 0}, {"adapterSizeMb", 66}};
    const nlohmann::json engine = {
        {"slots", 32}, {"weightsMb", 75'000}, {"adapterSlots", 15}, {"models", nlohmann::json::array({model})}};
    platform.put("op/config",
                 {{"version", 7},
                  {"routes", {route("status", "idempotent", "pivot-ctl"), route("cmd", "non_idempotent", "pivot-ctl")}},
                  {"services",
                   {{{"name", "assist"}, {"maxConnections", 250}, {"inferenceEngine", engine}},
                    {{"name", "pivot-ctl"}, {"maxConnections", 110}}}},
                  {"limits",
                   {{"maxHeaderBytes", 16'384},
                    {"maxBodyBytes", 65'536},
                    {"headerTimeoutMs", 5'000},
                    {"idleTimeoutMs", 20'000}}}});
}

std::string plainText(const std::string &method, const std::string &path, const std::string &id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: field.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 3000\r\n"
        + (method == "GET" ? "\r\n" : "Content-Length: 4\r\n\r\nstop");
}

} // namespace

int main(int count, char **arguments)
{
    const options given = readOptions(count, arguments);
    store platform({machine(1), freePort({machine(1)})});
    platform.start();
    publishState(platform);
    std::atomic<int> crashes = 0;
    // Those that count: later than contactMs after the third one. None is sent while a machine isn't in touch.
    std::atomic<int> lateCrashes = 0;
    std::optional<clock::time_point> countedFrom;
    std::mutex crashMutex;
    std::vector<std::unique_ptr<plain_replica>> replicas;
    for (int number = 0; number < replicaCount; ++number) {
        const std::string ip = machine(21 + number);
        replicas.push_back(std::make_unique<plain_replica>(platform, endpoint{ip, freePort({ip})}, [&] {
            const std::lock_guard lock(crashMutex);
            lateCrashes += countedFrom && clock::now() > *countedFrom ? 1 : 0;
            if (++crashes == 3) {
                countedFrom = clock::now() + contact;
            }
        }));
    }
    const std::vector<std::string> sides{machine(11), machine(12), machine(13)};
    const std::uint16_t enginePort = freePort(sides);
    const std::uint16_t agentPort = freePort(sides);
    const std::uint16_t metricsPort = freePort(sides);
    std::vector<std::unique_ptr<replica>> engines;
    std::vector<std::unique_ptr<program>> programs;
    for (int number = 0; number < engineCount; ++number) {
        const std::string &ip = sides[static_cast<std::size_t>(number)];
        engines.push_back(std::make_unique<replica>(platform, endpoint{ip, enginePort},
                                                    replica_kind{.service = "assist", .slots = 32, .isEngine = true}));
        engines.back()->start({"i-" + newId(), "v1"});
        const std::string name = "side-" + std::to_string(number);
        programs.push_back(
            std::make_unique<program>(std::vector<std::string>{binary("medlarrack-agent"), "--settings",
                                                               agentSettings(given.temporary, name, ip, agentPort,
                                                                             metricsPort, engines.back()->at())},
                                      given.temporary + "/" + name + ".log"));
        programs.back()->start();
    }
    std::vector<endpoint> callers;
    std::vector<endpoint> admins;
    for (int number = 0; number < gatewayCount; ++number) {
        const std::string ip = machine(31 + number);
        callers.push_back({ip, freePort({ip})});
        admins.push_back({ip, freePort({ip})});
        const std::string name = "edge-" + std::to_string(number);
        programs.push_back(std::make_unique<program>(
            std::vector<std::string>{
                binary("medlarrack-gateway"), "--settings",
                gatewaySettings(given.temporary, name, callers.back(), admins.back(), platform.at(), agentPort)},
            given.temporary + "/" + name + ".log"));
        programs.back()->start();
    }
    for (const endpoint &one : admins) {
        if (!waitUntilReady(one, milliseconds(10'000))) {
            note("a gateway isn't ready");
            return 2;
        }
    }
    sleepFor(contact + milliseconds(1'000));
    std::atomic<bool> ended = false;
    std::atomic<bool> isJudged = false;
    std::atomic<int> commands = 0;
    std::atomic<int> lostCommands = 0;
    std::vector<std::thread> senders;
    for (int number = 0; number < 4; ++number) {
        senders.emplace_back([&, number] {
            while (!ended) {
                const std::string id = newId();
                const reply got = ask(callers[static_cast<std::size_t>(number % gatewayCount)],
                                      plainText("POST", "/cmd/" + id, id), milliseconds(4'000));
                if (isJudged) {
                    ++commands;
                    lostCommands += got.status == 200 || got.status == 503 ? 0 : 1;
                    note("command " + id + ": status " + std::to_string(got.status));
                }
                sleepFor(milliseconds(100));
            }
        });
    }
    int sent = 0;
    const auto sendPoison = [&] {
        const std::string id = newId();
        const endpoint &gateway = callers[static_cast<std::size_t>(sent++ % gatewayCount)];
        const reply got = ask(gateway, plainText("GET", std::string(poisonPath), id), milliseconds(4'000));
        note("crashing request " + id + " at " + gateway.text() + ": status " + std::to_string(got.status));
    };
    const auto sendFor = [&](milliseconds time) {
        const auto until = clock::now() + time;
        while (clock::now() < until) {
            const auto next = clock::now() + poisonInterval;
            sendPoison();
            std::this_thread::sleep_until(next);
        }
    };
    sendFor(milliseconds(25'000));
    note("by now " + std::to_string(crashes) + " crashes");
    const bool couldLearn = crashes >= 3;
    if (given.trouble) {
        note("all gateways and agents are killed");
        for (const auto &one : programs) {
            one->kill();
        }
        sleepFor(processDownTime);
        for (const auto &one : programs) {
            one->start();
        }
        for (const endpoint &one : admins) {
            waitUntilReady(one, milliseconds(5'000));
        }
    }
    // All machines are in touch again.
    sleepFor(contact + milliseconds(1'000));
    const int before = crashes;
    isJudged = true;
    sendFor(milliseconds(30'000));
    ended = true;
    for (std::thread &one : senders) {
        one.join();
    }
    const int after = crashes - before;
    note(std::to_string(before) + " crashes before, " + std::to_string(after) + " after; " + std::to_string(lateCrashes)
         + " in all later than contactMs after the third; of " + std::to_string(commands) + " sound commands "
         + std::to_string(lostCommands) + " ended with neither an answer nor a refusal");
    const bool isBroken = lateCrashes > toleratedArrivals;
    note(isBroken ? "BUDGET is broken" : "BUDGET held");
    programs.clear();
    std::_Exit(!couldLearn ? 2 : isBroken ? 1 : 0);
}
