#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Detects requests that a caller repeats after a refusal or a broken connection: their deadline leaves less time than
/// is usual on their route. Callers retry only once or twice, so a second refusal is often final. Not thread-safe.
class caller_retry_detector
{
public:
    /// Records the time left until a request's deadline; returns whether the request is probably a retry.
    bool recordRequest(std::string_view route, std::chrono::milliseconds timeLeft);

private:
    std::map<std::string, std::chrono::duration<double, std::milli>, std::less<>> m_usualTime;
};

/// How long a request may be held until a replica can take it. The caller of a first attempt gains more from a refusal
/// that leaves time for a retry; a retry is held as long as its answer can still be in time and its caller doesn't
/// abandon the silent connection.
[[nodiscard]] std::chrono::milliseconds maxHoldTime(std::chrono::milliseconds timeLeft,
                                                    std::chrono::milliseconds callerIdleTimeout, bool isRetry);

} // namespace medlarrack::gateway
