#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/core/outcome.hpp>
#include <medlarrack/core/request_class.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Messages between the processes of the system. A stream carries one request message from the client side and any
/// number of messages back. Unknown fields of a known message are ignored and missing ones take their defaults, so that
/// neighbouring versions understand each other.
namespace medlarrack::peer {

/// Sent with the first message each way on a connection and whenever it changes: who speaks and what it knows.
struct hello
{
    core::instance_ref sender;
    std::string dataCentre;
    /// Lowest and highest protocol version spoken.
    std::uint32_t lowestVersion = 1;
    std::uint32_t highestVersion = 1;
    /// Number of the newest change ticket in force at the sender.
    std::uint64_t newestTicket = 0;
};

/// Work for a target. Kind decides which fields count.
enum class work_kind {
    /// A completion at an engine: path is the OpenAI path, body the caller's JSON, adapter the resolved adapter.
    completion,
    /// A call of a plain service: method, path and body are passed on.
    service_call,
};

/// entry -> sidecar: run this request. The sidecar answers accepted or refused, then head, chunks and end.
struct run_request
{
    std::string requestId;
    /// Counts this request's attempts, from 1. Every answer repeats it; answers to an earlier attempt are dropped.
    std::uint32_t attempt = 1;
    work_kind kind = work_kind::completion;
    std::string operatorName;
    core::request_class priority = core::request_class::interactive;
    /// Time left until the caller's deadline, measured by the sender when it sent the message.
    std::chrono::milliseconds deadlineLeft{30'000};
    core::adapter_ref adapter;
    std::string baseModel;
    std::string service;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// True when the target may run it more than once.
    bool idempotent = false;
    /// Key of a request that may run at most once; empty when idempotent.
    std::string idempotencyKey;
    bool stream = false;
    /// A resumed stream: number of body bytes of the target's answer that the sender already has.
    std::uint64_t resumeFrom = 0;
    std::uint64_t newestTicket = 0;
    /// Hash of operator, adapter and body: the same for a request that its caller sends again.
    std::uint64_t fingerprint = 0;
    /// Targets that this request is known to have crashed.
    std::uint32_t crashes = 0;
};

/// sidecar -> entry: the request is queued; it may run from now on.
struct run_accepted
{
    std::uint32_t attempt = 0;
    core::instance_ref by;
};

/// sidecar -> entry: the request won't be run by this incarnation, or can't be answered.
struct run_refused
{
    std::uint32_t attempt = 0;
    core::outcome outcome = core::outcome::not_run;
    std::string code;
    std::string message;
    /// When the caller may usefully come back; zero when not known.
    std::chrono::milliseconds retryAfter{0};
    /// True when another target may be tried for this request at once.
    bool tryElsewhere = false;
    /// Set when the target crashed while this request ran there.
    bool targetCrashed = false;
    std::uint64_t newestTicket = 0;
    /// Id of the instance that holds the request's idempotency key, when that isn't the sender; only there can its fate
    /// be learnt.
    std::string holderId;
};

/// sidecar -> entry: the target's status and headers; the target ran the request.
struct run_head
{
    std::uint32_t attempt = 0;
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    /// How long the request waited for its adapter to load.
    std::chrono::microseconds loadStall{0};
    std::chrono::microseconds queued{0};
    /// The answer was recorded by an earlier run under the same key.
    bool replayed = false;
};

/// sidecar -> entry: a piece of the body.
struct run_chunk
{
    std::uint32_t attempt = 0;
    /// Offset of this piece in the whole body, in bytes.
    std::uint64_t offset = 0;
    std::string data;
};

/// sidecar -> entry: the body is whole. A stream that ends without this message is broken.
struct run_end
{
    std::uint32_t attempt = 0;
    std::uint64_t totalBytes = 0;
};

/// What a sidecar reports of its target. Sent on the connection's load stream whenever it changed, rate-limited.
struct load_report
{
    core::instance_ref sender;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t batchSize = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Adapters loaded or loading.
    std::vector<core::adapter_ref> adapters;
    std::uint64_t newestTicket = 0;
};

/// entry -> sidecar: opens the connection's load stream; load_report messages follow until either side closes.
struct watch_load
{
    std::uint64_t newestTicket = 0;
    /// Reports shall follow each other no faster than this; only leaving is said at once.
    std::chrono::milliseconds shortestInterval{0};
};

/// Asks a peer for change tickets newer than a number; answered with tickets_reply.
struct tickets_request
{
    std::uint64_t after = 0;
};

/// Tickets in ascending order, each as published (JSON text); complete is false when more follow.
struct tickets_reply
{
    std::vector<std::string> tickets;
    std::uint64_t newestTicket = 0;
    bool complete = true;
};

/// sidecar -> sidecar: promise never to run this key, or say what is known of it.
struct seal_request
{
    std::string service;
    std::string idempotencyKey;
    core::instance_ref asker;
};

/// What a sidecar knows of a key that another sidecar asks to run.
enum class seal_state {
    /// This incarnation hasn't run the key and never will.
    sealed,
    /// The key runs here now, or another asker was promised it first.
    taken,
    /// The key ran here; the recorded answer follows if it was kept.
    ran,
    /// The key may have run: it is older than this process's knowledge, or its run ended without an answer.
    unknown,
    /// The key was finally refused with outcome not_run; it never runs anywhere.
    refused,
};

/// Answer to seal_request.
struct seal_reply
{
    seal_state state = seal_state::unknown;
    core::instance_ref by;
    /// Wall-clock time in milliseconds before which this incarnation knows nothing.
    std::int64_t knowsSinceMs = 0;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyKept = false;
};

/// Any message.
using message = std::variant<hello, run_request, run_accepted, run_refused, run_head, run_chunk, run_end, load_report,
                             watch_load, tickets_request, tickets_reply, seal_request, seal_reply>;

} // namespace medlarrack::peer
