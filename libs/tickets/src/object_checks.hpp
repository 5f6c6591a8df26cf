#pragma once

#include "value_checks.hpp"

#include <memory>
#include <string>
#include <string_view>

/// Parsers of the four kinds of objects in a ticket. Each adds its faults to the sink; the returned value is valid only
/// when there are none.
namespace medlarrack::tickets::detail {

[[nodiscard]] std::shared_ptr<const operator_state> parseOperator(const nlohmann::json &value,
                                                                  const std::string &pointer, fault_sink &sink);
[[nodiscard]] std::shared_ptr<const adapter_state> parseAdapter(const nlohmann::json &value, const std::string &pointer,
                                                                fault_sink &sink);
[[nodiscard]] std::shared_ptr<const service_state> parseService(const nlohmann::json &value, const std::string &pointer,
                                                                fault_sink &sink);
[[nodiscard]] std::shared_ptr<const group_state> parseGroup(const nlohmann::json &value, const std::string &pointer,
                                                            fault_sink &sink);

/// Whether a text has the form "<operator>/<name>".
[[nodiscard]] bool isAdapterName(std::string_view text);

} // namespace medlarrack::tickets::detail
