#include <medlarrack/agent_protocol/message_traffic.hpp>

namespace medlarrack::agent_protocol {

namespace {

/// In the order of the variant.
constexpr std::array<std::string_view, message_traffic::typeCount> typeNames{
    "greeting",      "load_request",  "adapters_in_use", "service_config", "adapter_releases",
    "engine_status", "engine_change", "crash_report",    "stream_origins", "origin_query",
    "origin_answer", "tenant_usage",  "tenant_totals",
};

} // namespace

void message_traffic::add(std::size_t type, std::size_t bytes)
{
    m_bytes.at(type) += bytes;
}

std::uint64_t message_traffic::bytes(std::size_t type) const
{
    return m_bytes.at(type);
}

std::string_view message_traffic::typeName(std::size_t type)
{
    return typeNames.at(type);
}

} // namespace medlarrack::agent_protocol
