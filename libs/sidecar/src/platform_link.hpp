#pragma once

#include <medlarrack/config_sync/platform_reader.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>
#include <medlarrack/tickets/state.hpp>

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::sidecar::detail {

/// This sidecar's target group as in the instance list.
struct group_view
{
    core::wall_time asOf{};
    /// Ids of the group's sidecars, including leaving ones.
    std::vector<std::string> members;
    /// Number of the group's sidecars that are not leaving, including this one.
    std::size_t activeCount = 1;
    /// Whether this sidecar is listed as leaving.
    bool selfLeaving = false;
};

/// Reads the published state and the instance list from the platform and keeps the newest copy. Thread-safe.
class platform_link
{
public:
    /// All arguments must outlive the link.
    platform_link(asio::io_context &context, const sidecar_settings &settings, const core::clock &clock,
                  http::client &client, peer::client &peers);

    /// Starts reading. `peersPort` is the port that peers connect to.
    void start(std::uint16_t peersPort);
    void stop();

    [[nodiscard]] const tickets::state &state() const;
    [[nodiscard]] const instances::view &view() const;
    /// A peer reported its newest ticket.
    void noteNewest(std::uint64_t newestTicket, std::string_view senderId);
    [[nodiscard]] peer::tickets_reply answer(const peer::tickets_request &request) const;
    /// Returns the group from the newest instance list, or nullopt if that list has been returned before.
    [[nodiscard]] std::optional<group_view> takeChangedGroup();
    /// The reader's status as JSON text.
    [[nodiscard]] std::string statusJson() const;

private:
    [[nodiscard]] config_sync::reader_settings readerSettings(std::uint16_t peersPort) const;

    asio::io_context &m_context;
    const sidecar_settings &m_settings;
    const core::clock &m_clock;
    http::client &m_client;
    peer::client &m_peers;
    tickets::state m_state;
    instances::view m_view;
    /// Set once, before m_started.
    std::unique_ptr<config_sync::platform_reader> m_reader;
    std::atomic<bool> m_started{false};
    core::wall_time m_lastReturned{};
};

} // namespace medlarrack::sidecar::detail
