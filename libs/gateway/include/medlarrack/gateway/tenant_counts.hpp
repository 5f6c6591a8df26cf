#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// How the requests of one tenant have ended since the start of the process.
struct tenant_outcomes
{
    /// Answered by a replica, whatever its status.
    std::uint64_t served = 0;
    /// Refused without having run, by code.
    std::map<std::string, std::uint64_t, std::less<>> refused;
    /// Ended without a whole answer after they may have run, or by their callers, by code.
    std::map<std::string, std::uint64_t, std::less<>> failed;
};

/// Counts the requests of each tenant by how they end, for operators. Not thread-safe.
class tenant_counts
{
public:
    /// At most this many tenants are counted by name; further ones are counted as "other".
    explicit tenant_counts(std::size_t maxTenants = 1'000);

    void recordServed(std::string_view tenant);
    void recordRefused(std::string_view tenant, std::string_view code);
    void recordFailed(std::string_view tenant, std::string_view code);

    [[nodiscard]] const std::map<std::string, tenant_outcomes, std::less<>> &all() const;

private:
    [[nodiscard]] tenant_outcomes &outcomesOf(std::string_view tenant);

    std::size_t m_maxTenants;
    std::map<std::string, tenant_outcomes, std::less<>> m_tenants;
};

} // namespace medlarrack::gateway
