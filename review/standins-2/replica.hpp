#pragma once

#include "lab.hpp"

namespace lab {

/// What a replica is when it starts.
struct replica_start
{
    std::string id;
    std::string softwareVersion;
};

/// Kind of a replica; all starts of it are alike.
struct replica_kind
{
    std::string service;
    int slots = 32;
    /// Serves the base model `base` once its agent has ordered it to load it.
    bool isEngine = false;
    /// Time between two events.
    milliseconds eventGap{100};
    /// "Most replicas drop a request when its channel closes": this one does.
    bool dropsClosed = true;
    /// Its starts write to the store every so often.
    milliseconds heartbeat{1'200};
};

/// A stand-in for a replica that streams events, as many as Token-Count names tokens out. Stops a run when its
/// connection closes. Can be killed and started again.
class replica
{
public:
    replica(store &platform, endpoint at, replica_kind kind);
    ~replica();
    void start(const replica_start &as);
    /// Ends like a process that is killed: resets its connections, tells the store nothing.
    void crash();
    /// Its entry is removed, as it has left for good.
    void unregister();
    [[nodiscard]] bool isServing();
    [[nodiscard]] const endpoint &at() const;
    /// Runs that a start of it has begun.
    [[nodiscard]] int runs();
    /// Called as a request begins to run, before it is answered.
    std::function<void(const request &)> onRun;
    /// Called as the work on a request has ended.
    std::function<void(const request &)> onRunEnd;
    /// Requests that come wait until then, as while the memory is full.
    void stallUntil(clock::time_point time);

private:
    void handle(const request &asked, connection &from);
    void stream(const request &asked, connection &from, const replica_start &as, std::uint64_t start);
    void takeOrder(const request &asked, connection &from);
    void moveRun(const request &asked, connection &from);
    void report(connection &from);
    void registerNow();

    store &m_platform;
    endpoint m_at;
    replica_kind m_kind;
    std::mutex m_mutex;
    replica_start m_as;
    std::uint64_t m_bornMs = 0;
    std::uint64_t m_starts = 0;
    bool m_up = false;
    int m_sequence = 0;
    int m_running = 0;
    int m_runs = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_fencingToken = 0;
    bool m_hasModel = false;
    bool m_loading = false;
    clock::time_point m_stalledUntil{};
    int m_waiting = 0;
    /// Ids of the requests that have begun; those that were asked to stop.
    std::set<std::string> m_begun;
    std::set<std::string> m_stopped;
    std::atomic<bool> m_ended = false;
    server m_server;
    std::thread m_beating;
};

/// The text of a request for a stream.
struct stream_request
{
    std::string host;
    std::string path;
    std::string id;
    milliseconds deadline{5'000};
    int events = 10;
    std::string model;
    int lastEvent = 0;
    std::string resumes;
};
std::string textOf(const stream_request &asked);

} // namespace lab
