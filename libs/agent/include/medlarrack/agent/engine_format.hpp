#pragma once

#include <medlarrack/catalog/replica_record.hpp>
#include <medlarrack/core/reason.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::agent {

/// State of an engine as it reports it.
struct engine_report
{
    /// Unix time of its start in milliseconds; 0 if not reported.
    std::uint64_t startedAtMs = 0;
    /// Orders that it has accepted since its start; nothing if not reported.
    std::optional<std::uint64_t> sequence = std::nullopt;
    /// Names of the loaded base models.
    std::vector<std::string> models;
    catalog::adapter_versions adapters;
    /// Adapters that are being loaded, by "model/adapter".
    catalog::adapter_versions loading;
    /// Executes an order and accepts no other until it's done.
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
    /// The engine's count of accepted orders that the order was decided on; the engine refuses it at any other. Nothing
    /// if the engine reports none.
    std::optional<std::uint64_t> expectedSequence = std::nullopt;

    auto operator<=>(const engine_order &) const = default;
};

/// An engine's response to an order.
enum class order_result {
    accepted,
    /// Completed already.
    done,
    /// Another order is in progress.
    busy,
    /// The fencing token is lower than one seen before.
    fenced,
    /// Another engine now has the address.
    misdirected,
    refused,
    /// No answer: the order may have been accepted.
    unknown,
};

/// Format of reports and orders on an engine's HTTP interface.
class engine_format
{
public:
    engine_format() = default;
    engine_format(const engine_format &) = delete;
    engine_format &operator=(const engine_format &) = delete;
    virtual ~engine_format() = default;

    /// Header of a call's id, which the engine writes in its answer.
    [[nodiscard]] virtual std::string_view idHeader() const = 0;
    [[nodiscard]] virtual std::string reportTarget() const = 0;
    [[nodiscard]] virtual std::optional<engine_report> readReport(std::string_view body, core::reason &why) const = 0;
    [[nodiscard]] virtual std::string orderTarget() const = 0;
    [[nodiscard]] virtual std::string orderBody(const engine_order &order, std::string_view holder,
                                                std::uint64_t token) const = 0;
    [[nodiscard]] virtual order_result readOrderStatus(int status) const = 0;
};

} // namespace medlarrack::agent
