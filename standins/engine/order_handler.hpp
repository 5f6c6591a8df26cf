#pragma once

#include "adapter_slots.hpp"
#include "batch_model.hpp"
#include "engine_faults.hpp"
#include "engine_settings.hpp"

#include <medlarrack/http/client.hpp>
#include <medlarrack/http/responder.hpp>

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace medlarrack::standins {

/// Carries out orders to load, unload and change role.
class order_handler
{
public:
    order_handler(asio::io_context &context, const engine_settings &settings, engine_faults &faults,
                  const batch_model &batch);

    void load(const nlohmann::json &order, const std::shared_ptr<http::responder> &answer);
    void unload(const nlohmann::json &order, const std::shared_ptr<http::responder> &answer);
    void changeRole(const nlohmann::json &order, const std::shared_ptr<http::responder> &answer);

    [[nodiscard]] const adapter_slots &slots() const;
    /// Whether completions for the model can run now.
    [[nodiscard]] bool serves(const std::string &model) const;
    [[nodiscard]] bool idle() const;

private:
    bool admit(const nlohmann::json &order, http::responder &answer);
    /// Answers an order unless a fault holds the answer back.
    void answerOrder(const std::shared_ptr<http::responder> &answer, const order_result &result);
    void fetchWeights(const std::string &name);
    void finishAfter(int milliseconds, const std::string &name, const order_result &result);

    asio::io_context &m_context;
    const engine_settings &m_settings;
    engine_faults &m_faults;
    const batch_model &m_batch;
    http::client m_client;
    adapter_slots m_slots;
    fence_check m_fence;
    std::string m_baseModel;
    bool m_idle = false;
};

} // namespace medlarrack::standins
