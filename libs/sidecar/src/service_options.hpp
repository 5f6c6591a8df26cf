#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/http/server.hpp>
#include <medlarrack/overload/shared_byte_account.hpp>
#include <medlarrack/peer/server.hpp>
#include <medlarrack/sidecar/dispatcher.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <memory>

/// Converts a sidecar's settings to the options of its components.
namespace medlarrack::sidecar::detail {

[[nodiscard]] core::instance_ref makeSelf(const sidecar_settings &settings, const core::clock &clock);
[[nodiscard]] dispatcher_options makeOptions(const sidecar_settings &settings, const core::instance_ref &self);
[[nodiscard]] std::unique_ptr<engine::target_driver> makeDriver(const sidecar_settings &settings, http::client &client);
[[nodiscard]] std::shared_ptr<overload::shared_byte_account> makeAccount(const sidecar_settings &settings,
                                                                         const core::clock &clock);
[[nodiscard]] peer::server_limits peerLimits(const sidecar_settings &settings,
                                             std::shared_ptr<core::byte_budget> budget);
[[nodiscard]] http::server_limits adminLimits(const sidecar_settings &settings,
                                              std::shared_ptr<core::byte_budget> budget);

} // namespace medlarrack::sidecar::detail
