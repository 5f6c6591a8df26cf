#pragma once

#include <medlarrack/gateway/replica_choice.hpp>

namespace medlarrack::gateway {

/// Whether the request must not be sent to the replica, whatever its state.
[[nodiscard]] bool isExcluded(const choice_query &query, const replica &candidate);

/// Whether the replica may get a request now.
[[nodiscard]] bool isUsable(const replica &candidate, core::monotonic_time now);

/// Whether a replica that isn't usable now may be so within the time that the request may wait.
[[nodiscard]] bool isUsableLater(const choice_query &query, const replica &candidate, core::monotonic_time now);

} // namespace medlarrack::gateway
