#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The objects that change tickets contain; docs/TICKETS.md describes their JSON representation.
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
    /// Limit of requests in flight at one entry.
    std::uint32_t maxInFlight = 256;
    /// Limit of requests per second at one entry.
    double maxRequestsPerSecond = 500;
    /// Weight of the operator in fair queueing.
    double weight = 1;
};

/// A version of an adapter and where its weights come from.
struct adapter_version
{
    std::string name;
    std::string source;
};

/// The versions of an adapter, sorted by name. A contiguous array, as there are very many adapters with few versions
/// each.
class version_list
{
public:
    /// Returns false when a version of that name exists.
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
    void shrinkToFit()
    {
        m_versions.shrink_to_fit();
    }

private:
    std::vector<adapter_version> m_versions;
};

struct adapter_state
{
    std::string baseModel;
    /// Engine group that serves the adapter.
    std::string group;
    /// Version used for requests that don't specify one.
    std::string current;
    version_list versions;
};

/// A method and path that a plain service accepts.
struct service_call
{
    std::string method;
    /// Complete path, or a prefix when it ends in "/*".
    std::string path;
    bool idempotent = false;
};

struct service_state
{
    /// Operators that may call the service.
    std::vector<std::string> operators;
    std::vector<service_call> calls;

    /// Whether a call may be executed more than once; false for calls that aren't listed.
    [[nodiscard]] bool isIdempotent(std::string_view method, std::string_view path) const;
    [[nodiscard]] bool allows(std::string_view operatorName) const;
};

/// Settings of an engine group and limits of its adapter store.
struct group_state
{
    std::uint32_t slots = 8;
    std::uint32_t batchSize = 16;
    /// Weight of load stalls against batch efficiency: 0 considers batch efficiency only, 1 load stalls only.
    double stallWeight = 0.5;
    double storeLoadsPerSecond = 7;
    std::uint32_t storeLoadsAtOnce = 3;
    std::uint32_t storeTransit = 24;
};

} // namespace medlarrack::tickets
