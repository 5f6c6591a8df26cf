#include "engine_program.hpp"

#include "common/command_line.hpp"
#include "common/json_reply.hpp"
#include "completion_format.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace medlarrack::standins {

namespace {

constexpr std::string_view streamsPath = "/v1/streams/";
constexpr std::chrono::milliseconds samplePeriod{20};
/// Steps made up for at most when the process was held up.
constexpr int mostMissedSteps = 5;

bool take(int &count)
{
    if (count <= 0) {
        return false;
    }
    --count;
    return true;
}

std::string hex(std::uint64_t value)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
    return digits;
}

} // namespace

engine_program::engine_program(asio::io_context &context, const engine_settings &settings, engine_faults &faults)
    : m_settings(settings)
    , m_faults(faults)
    , m_startedAt(m_clock.wallNow())
    , m_batch(static_cast<std::size_t>(settings.batchSize))
    , m_cache(static_cast<std::size_t>(settings.cacheBlocks))
    , m_orders(context, settings, faults, m_batch)
    , m_stepTimer(context)
    , m_sampleTimer(context)
{
    m_batch.onFirstRun([this](const generation &work) {
        if (!m_faults.crashText.empty() && work.prompt.find(m_faults.crashText) != std::string::npos) {
            std::_Exit(exitCrash);
        }
    });
    sampleLoad();
}

void engine_program::handle(const http::request &request, std::shared_ptr<http::responder> answer)
{
    if (request.method == "GET") {
        get(request, std::move(answer));
    } else if (request.method == "POST") {
        post(request, answer);
    } else {
        replyError(*answer, 405, "unknown_call", "no such call");
    }
}

void engine_program::get(const http::request &request, std::shared_ptr<http::responder> answer)
{
    const auto path = request.path();
    if (path == "/load") {
        const bool fresh = m_faults.loadReportLagMs <= 0;
        const std::chrono::milliseconds lag(m_faults.loadReportLagMs);
        answer->respond(200, {{"Content-Type", "application/json"}},
                        fresh ? loadReport() : m_history.show(lag, m_clock.now()));
    } else if (path == "/cache_events") {
        cacheEvents(request, *answer);
    } else if (path.starts_with(streamsPath)) {
        resume(request, std::move(answer));
    } else {
        replyError(*answer, 404, "unknown_call", "no such call");
    }
}

void engine_program::post(const http::request &request, const std::shared_ptr<http::responder> &answer)
{
    const auto path = request.path();
    const auto body = parseObject(request.body);
    if (!body) {
        replyError(*answer, 400, "bad_json", "a JSON object is expected");
    } else if (path == "/v1/completions") {
        complete(request, *body, false, answer);
    } else if (path == "/v1/chat/completions") {
        complete(request, *body, true, answer);
    } else if (path == "/v1/load_lora_adapter") {
        m_orders.load(*body, answer);
    } else if (path == "/v1/unload_lora_adapter") {
        m_orders.unload(*body, answer);
    } else if (path == "/v1/role") {
        m_orders.changeRole(*body, answer);
    } else if (path == "/v1/cancel") {
        cancel(*body, *answer);
    } else if (path == "/v1/kv/export") {
        exportStream(*body, *answer);
    } else if (path == "/v1/kv/import") {
        importStream(*body, *answer);
    } else {
        replyError(*answer, 404, "unknown_call", "no such call");
    }
}

bool engine_program::mayRun(const generation &work, http::responder &answer)
{
    if (m_orders.idle()) {
        replyError(answer, 503, "idle", "the engine's role is idle");
        return false;
    }
    if (!m_orders.serves(work.model)) {
        replyError(answer, 404, "unknown_model", "the model isn't loaded");
        return false;
    }
    if (m_batch.waiting() >= static_cast<std::size_t>(m_settings.maxWaiting)) {
        replyError(answer, 503, "overloaded", "too many requests wait");
        return false;
    }
    if (const auto other = m_batch.find(work.id); other && !other->done()) {
        replyError(answer, 409, "id_in_use", "a request with this id is in progress");
        return false;
    }
    return true;
}

answer_faults engine_program::takeAnswerFaults()
{
    answer_faults taken;
    taken.cut = take(m_faults.cutAnswers);
    taken.endEarly = take(m_faults.endEarly);
    taken.duplicateToken = take(m_faults.duplicateToken);
    taken.skipToken = take(m_faults.skipToken);
    taken.crossed = take(m_faults.crossedAnswers);
    return taken;
}

void engine_program::complete(const http::request &request, const nlohmann::json &body, bool chat,
                              const std::shared_ptr<http::responder> &answer)
{
    core::reason why;
    const auto read = readCompletion(body, chat, why);
    if (!read) {
        replyError(*answer, 400, why.code, why.message);
        return;
    }
    const auto &work = read->work;
    work->id = http::findHeader(request.headers, "X-Request-Id").value_or("");
    if (work->id.empty()) {
        work->id = "unnamed-" + std::to_string(++m_unnamed);
    }
    if (take(m_faults.failRequests)) {
        replyError(*answer, 500, "engine_error", "failed without running");
        return;
    }
    if (take(m_faults.hangRequests)) {
        answer->onClosed([answer] {});
        return;
    }
    if (!mayRun(*work, *answer)) {
        return;
    }
    const auto faults = takeAnswerFaults();
    work->subscribers.push_back({read->stream ? makeStreamSink(answer, faults) : makeWholeSink(answer, faults), 0});
    cancelWhenLeft(this, work, *answer);
    start(work);
}

void engine_program::cancelWhenLeft(engine_program *self, const std::shared_ptr<generation> &work,
                                    http::responder &answer)
{
    if (work->resumable) {
        return;
    }
    answer.onClosed([self, weak = std::weak_ptr(work)] {
        const auto left = weak.lock();
        if (left && self->m_batch.find(left->id) == left) {
            self->m_batch.remove(left->id);
        }
    });
}

void engine_program::start(const std::shared_ptr<generation> &work)
{
    const auto missing = m_cache.admit(work->model, work->prompt, m_clock.now());
    work->prefillSteps = static_cast<int>(missing) / std::max(1, m_settings.prefillBlocks);
    m_cache.setDropEvery(m_faults.cacheEventDropEvery);
    m_batch.add(work);
    wakeClock();
}

void engine_program::resume(const http::request &request, std::shared_ptr<http::responder> answer)
{
    const std::string id(request.path().substr(streamsPath.size()));
    const auto from = integerQuery(request, "from").value_or(0);
    const auto work = m_batch.find(id);
    if (!work) {
        replyError(*answer, 404, "unknown_stream", "the stream isn't kept");
        return;
    }
    if (from < 0 || from > work->maxTokens) {
        replyError(*answer, 400, "bad_request", "from is out of range");
        return;
    }
    batch_model::attach(*work, makeStreamSink(std::move(answer), takeAnswerFaults()), static_cast<int>(from));
}

void engine_program::cancel(const nlohmann::json &body, http::responder &answer)
{
    if (m_batch.remove(textOf(body, "request_id"))) {
        reply(answer, 200, nlohmann::json::object());
    } else {
        replyError(answer, 404, "unknown_request", "no such request is in progress");
    }
}

void engine_program::exportStream(const nlohmann::json &body, http::responder &answer)
{
    const auto work = m_batch.remove(textOf(body, "request_id"));
    if (!work) {
        replyError(answer, 404, "unknown_request", "no such request is in progress");
        return;
    }
    reply(answer, 200,
          {{"request_id", work->id},
           {"model", work->model},
           {"prompt", work->prompt},
           {"chat", work->chat},
           {"max_tokens", work->maxTokens},
           {"priority", work->priority},
           {"prefill_steps", work->prefillSteps},
           {"produced", work->produced}});
}

void engine_program::importStream(const nlohmann::json &body, http::responder &answer)
{
    auto work = std::make_shared<generation>();
    work->id = textOf(body, "request_id");
    work->model = textOf(body, "model");
    work->prompt = textOf(body, "prompt");
    work->chat = body.value("chat", nlohmann::json(false)) == nlohmann::json(true);
    work->maxTokens = static_cast<int>(integerOf(body, "max_tokens").value_or(0));
    work->priority = static_cast<int>(integerOf(body, "priority").value_or(0));
    work->produced = static_cast<int>(integerOf(body, "produced").value_or(0));
    work->resumable = true;
    if (work->id.empty() || work->maxTokens < 1 || work->produced < 0 || work->produced >= work->maxTokens) {
        replyError(answer, 400, "bad_request", "no exported stream");
        return;
    }
    if (!mayRun(*work, answer)) {
        return;
    }
    work->prefillSteps = static_cast<int>(integerOf(body, "prefill_steps").value_or(0));
    m_batch.add(std::move(work));
    wakeClock();
    reply(answer, 200, nlohmann::json::object());
}

void engine_program::cacheEvents(const http::request &request, http::responder &answer)
{
    const std::chrono::milliseconds lag(m_faults.cacheEventLagMs);
    auto events = nlohmann::json::array();
    for (const auto &event : m_cache.events(integerQuery(request, "after").value_or(0), lag, m_clock.now())) {
        events.push_back({{"sequence", event.sequence},
                          {"type", event.stored ? "stored" : "evicted"},
                          {"prefix", hex(event.prefix)}});
    }
    reply(answer, 200, {{"newest", m_cache.newest(lag, m_clock.now())}, {"events", std::move(events)}});
}

std::string engine_program::loadReport()
{
    const auto &counters = m_batch.counters();
    const nlohmann::json report = {{"started_ms", m_startedAt.time_since_epoch().count()},
                                   {"sequence", ++m_reports},
                                   {"running", m_batch.running()},
                                   {"waiting", m_batch.waiting()},
                                   {"batch_size", m_settings.batchSize},
                                   {"slots", m_settings.slots},
                                   {"adapters", m_orders.slots().names()},
                                   {"steps", counters.steps},
                                   {"filled", counters.filled},
                                   {"tokens", counters.tokens}};
    return report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void engine_program::sampleLoad()
{
    if (m_faults.loadReportLagMs > 0) {
        m_history.add(loadReport(), m_clock.now());
    }
    m_sampleTimer.expires_after(samplePeriod);
    m_sampleTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sampleLoad();
        }
    });
}

void engine_program::wakeClock()
{
    if (!m_stepping) {
        m_stepping = true;
        m_stepTimer.expires_after(std::chrono::milliseconds(m_settings.stepMs));
        scheduleStep();
    }
}

void engine_program::scheduleStep()
{
    m_stepTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        if (!m_faults.paused) {
            m_batch.step(m_clock.now());
        }
        if (m_batch.idle()) {
            m_stepping = false;
            return;
        }
        const std::chrono::milliseconds period(m_settings.stepMs);
        const auto earliest = std::chrono::steady_clock::now() - mostMissedSteps * period;
        m_stepTimer.expires_at(std::max(m_stepTimer.expiry() + period, earliest));
        scheduleStep();
    });
}

} // namespace medlarrack::standins
