// How an exchange answers its caller: a replica's answer, one of the gateway's own, or a broken connection.

#include "exchange.hpp"

#include <tuple>
#include <utility>

namespace medlarrack::gateway {

void exchange::deliver()
{
    std::string out;
    const bool bodiless = m_request.method == "HEAD" || m_answer.status == 204 || m_answer.status == 304;
    m_services.format.appendAnswerHead(out, m_answer, bodiless ? body_framing::none : body_framing::length,
                                       m_answerBody.size(), m_caller->closesAfterAnswer());
    if (!bodiless) {
        out += m_answerBody;
    }
    m_headSent = true;
    m_caller->write(out);
    m_services.crashes.recordAnswer(m_fingerprint, m_services.clock.now());
    finish("ran", m_answer.status, m_choiceWhy);
}

bool exchange::deliverHeldFailure()
{
    if (m_headSent || !m_heldFailure) {
        return false;
    }
    std::tie(m_answer, m_answerBody) = *std::exchange(m_heldFailure, std::nullopt);
    deliver();
    return true;
}

void exchange::refuse(refusal_cause cause, std::string_view code, std::string_view why)
{
    constexpr int unavailable = 503;
    if (m_history.runs > 0) {
        // A refusal promises that the request has not run.
        constexpr int badGateway = 502;
        answerOwn(badGateway, code, why);
        return;
    }
    const bool quiet =
        cause != refusal_cause::crashes_replicas && allAreQuiet(m_services.replicas, m_service, m_services.clock.now());
    if (quiet) {
        cause = refusal_cause::quiet;
        code = "replicas_quiet";
        why = "all replicas asked for quiet";
    }
    own_answer answer;
    answer.status = unavailable;
    answer.code = code;
    answer.message = why;
    answer.retryAfter = returnAfter(cause, m_services.replicas, m_service, m_services.clock.now(),
                                    static_cast<std::uint32_t>(m_services.random()));
    giveOwn(answer, "not_run");
}

void exchange::giveOwn(own_answer &answer, std::string_view outcome)
{
    answer.closes = m_caller->closesAfterAnswer();
    std::string out;
    m_services.format.appendOwnAnswer(out, answer, m_facts.id);
    m_caller->write(out);
    finish(outcome, answer.status, answer.message);
}

void exchange::answerOwn(int status, std::string_view code, std::string_view why)
{
    if (deliverHeldFailure()) {
        return;
    }
    if (m_headSent) {
        breakOff(why);
        return;
    }
    own_answer answer;
    answer.status = status;
    answer.code = code;
    answer.message = why;
    giveOwn(answer, status == 404 ? "not_run" : "unknown");
}

void exchange::breakOff(std::string_view why)
{
    caller_channel *caller = m_caller;
    m_caller = nullptr;
    finish("broken_off", m_answer.status, why);
    caller->brokeOff();
}

} // namespace medlarrack::gateway
