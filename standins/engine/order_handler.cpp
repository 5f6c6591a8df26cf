#include "order_handler.hpp"

#include "common/json_reply.hpp"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace medlarrack::standins {

namespace {

/// The store answers within its loading time, which grows with the number of loads.
constexpr std::chrono::seconds storeTimeout{60};

bool take(int &count)
{
    if (count <= 0) {
        return false;
    }
    --count;
    return true;
}

order_result resultOfStore(const http::client_result &result)
{
    if (result.progress == http::client_progress::complete && result.status == 200) {
        return {};
    }
    if (result.status == 429) {
        return {503, "store_busy"};
    }
    return {502, "load_failed"};
}

} // namespace

order_handler::order_handler(asio::io_context &context, const engine_settings &settings, engine_faults &faults,
                             const batch_model &batch)
    : m_context(context)
    , m_settings(settings)
    , m_faults(faults)
    , m_batch(batch)
    , m_client(context)
    , m_slots(static_cast<std::size_t>(settings.slots))
    , m_fence(settings.fenceCheck)
    , m_baseModel(settings.baseModel)
{
}

const adapter_slots &order_handler::slots() const
{
    return m_slots;
}

bool order_handler::serves(const std::string &model) const
{
    return model == m_baseModel || m_slots.loaded(model);
}

bool order_handler::idle() const
{
    return m_idle;
}

bool order_handler::admit(const nlohmann::json &order, http::responder &answer)
{
    if (m_fence.admit(integerOf(order, "fence").value_or(0))) {
        return true;
    }
    replyError(answer, 409, "old_fence", "a newer order has been taken");
    return false;
}

void order_handler::answerOrder(const std::shared_ptr<http::responder> &answer, const order_result &result)
{
    if (take(m_faults.hangOrders)) {
        // Held until the caller leaves.
        answer->onClosed([answer] {});
    } else if (result.code.empty()) {
        reply(*answer, 200, nlohmann::json::object());
    } else {
        replyError(*answer, result.status, result.code, "the order can't be carried out");
    }
}

void order_handler::load(const nlohmann::json &order, const std::shared_ptr<http::responder> &answer)
{
    const std::string name = textOf(order, "lora_name");
    if (name.empty()) {
        replyError(*answer, 400, "bad_request", "lora_name is needed");
        return;
    }
    if (!admit(order, *answer)) {
        return;
    }
    const bool first = m_slots.beginLoad(name, [this, answer](const order_result &result) {
        answerOrder(answer, result);
    });
    if (!first) {
        return;
    }
    if (take(m_faults.failLoads)) {
        finishAfter(m_settings.loadMs + m_faults.loadExtraMs, name, {502, "load_failed"});
    } else if (m_settings.platform.empty()) {
        finishAfter(m_settings.loadMs + m_faults.loadExtraMs, name, {});
    } else {
        fetchWeights(name);
    }
}

void order_handler::fetchWeights(const std::string &name)
{
    http::client_request request;
    request.url = m_settings.platform + "/v1/store/" + name;
    request.timeout = storeTimeout;
    http::fetch(m_client, std::move(request), [this, name](const http::client_result &result, const std::string &) {
        finishAfter(m_faults.loadExtraMs, name, resultOfStore(result));
    });
}

void order_handler::finishAfter(int milliseconds, const std::string &name, const order_result &result)
{
    if (milliseconds <= 0) {
        m_slots.finishLoad(name, result);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(milliseconds));
    timer->async_wait([this, timer, name, result](const asio::error_code &) {
        m_slots.finishLoad(name, result);
    });
}

void order_handler::unload(const nlohmann::json &order, const std::shared_ptr<http::responder> &answer)
{
    const std::string name = textOf(order, "lora_name");
    if (admit(order, *answer)) {
        answerOrder(answer, m_slots.unload(name, m_batch.uses(name)));
    }
}

void order_handler::changeRole(const nlohmann::json &order, const std::shared_ptr<http::responder> &answer)
{
    const std::string role = textOf(order, "role");
    if (role != "serve" && role != "idle") {
        replyError(*answer, 400, "bad_request", "role is serve or idle");
        return;
    }
    if (!admit(order, *answer)) {
        return;
    }
    const std::string model = textOf(order, "model");
    const bool otherModel = !model.empty() && model != m_baseModel;
    if (role == "idle" || otherModel) {
        if (!m_batch.idle()) {
            answerOrder(answer, {409, "in_use"});
            return;
        }
        m_slots.clear();
    }
    if (otherModel) {
        m_baseModel = model;
    }
    m_idle = role == "idle";
    answerOrder(answer, {});
}

} // namespace medlarrack::standins
