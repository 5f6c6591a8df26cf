#pragma once

#include <medlarrack/catalog/replica_record.hpp>
#include <medlarrack/core/reason.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::agent {

/// What an engine says of itself.
struct engine_report
{
    /// Unix time of its start in milliseconds; 0 if it doesn't say.
    std::uint64_t startedAtMs = 0;
    /// Names of the base models that it holds.
    std::vector<std::string> models;
    catalog::adapter_versions adapters;
    /// Adapters on their way to it, by "model/adapter".
    catalog::adapter_versions loading;
    /// Carries out an order that keeps it from taking another.
    bool busy = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t kvCacheTokensUsed = 0;
    std::uint64_t kvCacheTokensTotal = 0;
};

/// An order to an engine.
struct engine_order
{
    enum class operation_type {
        load,
        unload,
    };

    operation_type operation = operation_type::load;
    std::string model;
    /// "model/adapter"; empty for the base model itself.
    std::string adapter;
    /// Version to load; 0 for the newest.
    std::uint64_t version = 0;

    auto operator<=>(const engine_order &) const = default;
};

/// How an engine took an order.
enum class order_result {
    accepted,
    /// It holds already.
    done,
    /// Another order is in progress.
    busy,
    /// The fencing token is lower than one seen before.
    fenced,
    /// Another engine has the address.
    misdirected,
    refused,
    /// No answer: it may have been accepted.
    unknown,
};

/// How an engine is asked and ordered.
class engine_format
{
public:
    engine_format() = default;
    engine_format(const engine_format &) = delete;
    engine_format &operator=(const engine_format &) = delete;
    virtual ~engine_format() = default;

    [[nodiscard]] virtual std::string reportTarget() const = 0;
    [[nodiscard]] virtual std::optional<engine_report> readReport(std::string_view body, core::reason &why) const = 0;
    [[nodiscard]] virtual std::string orderTarget() const = 0;
    [[nodiscard]] virtual std::string orderBody(const engine_order &order, std::string_view holder,
                                                std::uint64_t fencingToken) const = 0;
    [[nodiscard]] virtual order_result readOrderStatus(int status) const = 0;
};

} // namespace medlarrack::agent
