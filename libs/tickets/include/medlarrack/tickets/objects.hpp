#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The objects that change tickets carry; docs/TICKETS.md describes their JSON form.
namespace medlarrack::tickets {

/// A bearer key, stored as a salted hash.
struct key_hash
{
    std::string salt;
    /// Hexadecimal SHA-256 of the salt followed by the key.
    std::string sha256;
};

struct operator_state
{
    std::vector<key_hash> keys;
    /// Requests in flight at one entry.
    std::uint32_t maxInFlight = 256;
    /// Requests a second at one entry.
    double maxRequestsPerSecond = 500;
    /// Weight in fair shares.
    double weight = 1;
};

/// A version of an adapter and where its weights come from.
struct adapter_version
{
    std::string name;
    std::string source;
};

/// An adapter's few versions, sorted by name; kept in one piece, as there are very many adapters.
class version_list
{
public:
    /// False when a version of that name is there already.
    bool emplace(std::string name, std::string source);
    [[nodiscard]] bool contains(std::string_view name) const;

    [[nodiscard]] auto begin() const
    {
        return m_versions.begin();
    }
    [[nodiscard]] auto end() const
    {
        return m_versions.end();
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_versions.size();
    }
    void shrink()
    {
        m_versions.shrink_to_fit();
    }

private:
    std::vector<adapter_version> m_versions;
};

struct adapter_state
{
    std::string baseModel;
    /// Engine group that serves it.
    std::string group;
    /// The version that a request without one runs on.
    std::string current;
    version_list versions;
};

/// A kind of call of a plain service.
struct service_call
{
    std::string method;
    /// Whole path, or a prefix when it ends in "/*".
    std::string path;
    bool idempotent = false;
};

struct service_state
{
    /// Operators that may call it.
    std::vector<std::string> operators;
    std::vector<service_call> calls;

    /// Whether a call may run more than once; false for calls not listed.
    [[nodiscard]] bool isIdempotent(std::string_view method, std::string_view path) const;
    [[nodiscard]] bool allows(std::string_view operatorName) const;
};

/// An engine group and its store's limits.
struct group_state
{
    std::uint32_t slots = 8;
    std::uint32_t batchSize = 16;
    /// 0 weighs batch efficiency only, 1 load stalls only.
    double stallWeight = 0.5;
    double storeLoadsPerSecond = 7;
    std::uint32_t storeLoadsAtOnce = 3;
    std::uint32_t storeTransit = 24;
};

} // namespace medlarrack::tickets
