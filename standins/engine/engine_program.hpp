#pragma once

#include "answer_sinks.hpp"
#include "batch_model.hpp"
#include "engine_faults.hpp"
#include "engine_settings.hpp"
#include "load_history.hpp"
#include "order_handler.hpp"
#include "prefix_cache.hpp"

#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/http/message.hpp>
#include <medlarrack/http/responder.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace medlarrack::standins {

/// Joins the models of the engine, the token clock and HTTP. Used on one thread.
class engine_program
{
public:
    engine_program(asio::io_context &context, const engine_settings &settings, engine_faults &faults);

    void handle(const http::request &request, std::shared_ptr<http::responder> answer);

private:
    void get(const http::request &request, std::shared_ptr<http::responder> answer);
    void post(const http::request &request, const std::shared_ptr<http::responder> &answer);
    void complete(const http::request &request, const nlohmann::json &body, bool chat,
                  const std::shared_ptr<http::responder> &answer);
    /// False after an error answer.
    bool mayRun(const generation &work, http::responder &answer);
    void start(const std::shared_ptr<generation> &work);
    void resume(const http::request &request, std::shared_ptr<http::responder> answer);
    void cancel(const nlohmann::json &body, http::responder &answer);
    void exportStream(const nlohmann::json &body, http::responder &answer);
    void importStream(const nlohmann::json &body, http::responder &answer);
    void cacheEvents(const http::request &request, http::responder &answer);
    [[nodiscard]] answer_faults takeAnswerFaults();
    static void cancelWhenLeft(engine_program *self, const std::shared_ptr<generation> &work, http::responder &answer);

    [[nodiscard]] std::string loadReport();
    void sampleLoad();
    void wakeClock();
    void scheduleStep();

    const engine_settings &m_settings;
    engine_faults &m_faults;
    core::system_clock m_clock;
    core::wall_time m_startedAt;
    batch_model m_batch;
    prefix_cache m_cache;
    load_history m_history;
    order_handler m_orders;
    asio::steady_timer m_stepTimer;
    asio::steady_timer m_sampleTimer;
    bool m_stepping = false;
    long long m_reports = 0;
    long long m_unnamed = 0;
};

} // namespace medlarrack::standins
