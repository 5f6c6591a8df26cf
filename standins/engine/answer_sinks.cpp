#include "answer_sinks.hpp"

#include "common/json_reply.hpp"
#include "completion_format.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace medlarrack::standins {

namespace {

/// The id under which an answer goes out.
std::string idOf(const generation &from, const answer_faults &faults)
{
    return faults.crossed ? "other-than-" + from.id : from.id;
}

/// The token that goes out: a crossed answer has the tokens of another prompt.
std::string textOf(const generation &from, int index, std::string_view text, const answer_faults &faults)
{
    return faults.crossed ? tokenText(from.seed + 1, index) : std::string(text);
}

class stream_sink final : public token_sink
{
public:
    stream_sink(std::shared_ptr<http::responder> answer, const answer_faults &faults)
        : m_answer(std::move(answer))
        , m_faults(faults)
    {
        m_answer->begin(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
    }

    void token(const generation &from, int index, std::string_view text) override
    {
        if (m_ended) {
            return;
        }
        const bool middle = index == from.maxTokens / 2;
        if (middle && m_faults.cut) {
            broken();
            return;
        }
        if (middle && m_faults.endEarly) {
            endStream();
            return;
        }
        if (middle && m_faults.skipToken) {
            return;
        }
        const std::string event = tokenEvent(from, idOf(from, m_faults), index, textOf(from, index, text, m_faults));
        m_answer->write(event);
        if (middle && m_faults.duplicateToken) {
            m_answer->write(event);
        }
    }

    void finished(const generation & /*from*/) override
    {
        if (!m_ended) {
            endStream();
        }
    }

    void broken() override
    {
        m_ended = true;
        m_answer->abort();
    }

private:
    void endStream()
    {
        m_ended = true;
        m_answer->write(doneEvent);
        m_answer->end();
    }

    std::shared_ptr<http::responder> m_answer;
    answer_faults m_faults;
    bool m_ended = false;
};

class whole_sink final : public token_sink
{
public:
    whole_sink(std::shared_ptr<http::responder> answer, const answer_faults &faults)
        : m_answer(std::move(answer))
        , m_faults(faults)
    {
    }

    void token(const generation &from, int index, std::string_view text) override
    {
        m_text += textOf(from, index, text, m_faults);
    }

    void finished(const generation &from) override
    {
        const auto answer = wholeAnswer(from, idOf(from, m_faults), m_text);
        if (!m_faults.cut) {
            reply(*m_answer, 200, answer);
            return;
        }
        const std::string text = answer.dump();
        m_answer->begin(200, {{"Content-Type", "application/json"}});
        m_answer->write(std::string_view(text).substr(0, text.size() / 2));
        m_answer->abort();
    }

    void broken() override
    {
        m_answer->abort();
    }

private:
    std::shared_ptr<http::responder> m_answer;
    answer_faults m_faults;
    std::string m_text;
};

} // namespace

std::shared_ptr<token_sink> makeStreamSink(std::shared_ptr<http::responder> answer, const answer_faults &faults)
{
    return std::make_shared<stream_sink>(std::move(answer), faults);
}

std::shared_ptr<token_sink> makeWholeSink(std::shared_ptr<http::responder> answer, const answer_faults &faults)
{
    return std::make_shared<whole_sink>(std::move(answer), faults);
}

} // namespace medlarrack::standins
