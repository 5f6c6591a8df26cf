#include <medlarrack/gateway/request_ending.hpp>

namespace medlarrack::gateway {

request_ending chooseEnding(const request_progress &progress)
{
    if (progress.responseHeadSent) {
        return request_ending::broken_off;
    }
    if (!progress.mayHaveRun) {
        return request_ending::refused;
    }
    return progress.isOverdue ? request_ending::timed_out : request_ending::failed;
}

} // namespace medlarrack::gateway
