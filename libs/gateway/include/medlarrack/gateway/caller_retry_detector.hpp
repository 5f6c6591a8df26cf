#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Tells callers that come back after a refusal or a broken connection from those that come for the first time: they
/// have less time left than is usual on their route. Callers come back only once or twice, so that a second refusal
/// often is the last. Not thread-safe.
class caller_retry_detector
{
public:
    /// Takes a request with the time that its caller still waits; says whether the caller has probably come before.
    bool recordRequest(std::string_view route, std::chrono::milliseconds timeLeft);

private:
    std::map<std::string, std::chrono::duration<double, std::milli>, std::less<>> m_usual;
};

/// For how long a request may be held until a replica can take it. A first-time caller is better off with a refusal
/// that leaves time to come back; one that has come back is held as long as its answer can still be made in time, and
/// before it loses patience with a silent connection.
[[nodiscard]] std::chrono::milliseconds maxHoldTime(std::chrono::milliseconds timeLeft,
                                                    std::chrono::milliseconds patience, bool returning);

} // namespace medlarrack::gateway
