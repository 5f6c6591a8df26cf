#pragma once

namespace medlarrack::gateway {

/// How far a whole request has come.
struct request_progress
{
    /// A replica has been sent the request and has not stated that it didn't run it.
    bool mayHaveRun = false;
    /// The caller has been sent the head of a replica's response.
    bool responseHeadSent = false;
    /// The request's time-out is over.
    bool isOverdue = false;
};

/// What the caller of a request is told that the gateway can't go on with.
enum class request_ending {
    /// 503 Service Unavailable: it has not run and never will.
    refused,
    /// 502 Bad Gateway: it may have run.
    failed,
    /// 504 Gateway Timeout: it may have run, and its time-out is over.
    timed_out,
    /// The response that has begun is reset, so that it isn't taken for a whole one.
    broken_off,
};

[[nodiscard]] request_ending chooseEnding(const request_progress &progress);

} // namespace medlarrack::gateway
