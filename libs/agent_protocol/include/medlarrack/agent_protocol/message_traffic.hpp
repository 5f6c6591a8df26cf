#pragma once

#include <medlarrack/agent_protocol/messages.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace medlarrack::agent_protocol {

/// Counts the bytes of messages by the type of message, over all connections of a process.
class message_traffic
{
public:
    static constexpr std::size_t typeCount = std::variant_size_v<message>;

    /// The type is the index of the message in the variant.
    void add(std::size_t type, std::size_t bytes);
    [[nodiscard]] std::uint64_t bytes(std::size_t type) const;
    /// Name of a type, as in metrics.
    [[nodiscard]] static std::string_view typeName(std::size_t type);

private:
    std::array<std::uint64_t, typeCount> m_bytes{};
};

} // namespace medlarrack::agent_protocol
