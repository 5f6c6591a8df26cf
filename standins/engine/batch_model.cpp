#include "batch_model.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace medlarrack::standins {

namespace {

/// How long and how many finished generations can be read again.
constexpr std::chrono::seconds keepTime{30};
constexpr std::size_t maxKept = 4096;

} // namespace

batch_model::batch_model(std::size_t batchSize)
    : m_batchSize(batchSize)
{
}

void batch_model::onFirstRun(std::function<void(const generation &)> callback)
{
    m_firstRun = std::move(callback);
}

bool batch_model::add(std::shared_ptr<generation> added)
{
    auto &slot = m_byId[added->id];
    if (slot && !slot->done()) {
        return false;
    }
    added->arrival = ++m_arrivals;
    added->seed = answerSeed(added->model, added->prompt);
    slot = added;
    if (!added->done()) {
        m_active.emplace(order(added->priority, added->arrival), std::move(added));
    }
    return true;
}

std::shared_ptr<generation> batch_model::find(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

void batch_model::attach(generation &to, const std::shared_ptr<token_sink> &sink, int from)
{
    for (int index = from; index < to.produced; ++index) {
        sink->token(to, index, tokenText(to.seed, index));
    }
    if (to.done()) {
        sink->finished(to);
    } else {
        to.subscribers.push_back({sink, from});
    }
}

std::shared_ptr<generation> batch_model::remove(const std::string &id)
{
    auto found = find(id);
    if (!found || found->done()) {
        return nullptr;
    }
    m_active.erase(order(found->priority, found->arrival));
    m_byId.erase(id);
    for (const auto &each : std::exchange(found->subscribers, {})) {
        each.sink->broken();
    }
    return found;
}

bool batch_model::uses(const std::string &model) const
{
    return std::any_of(m_active.begin(), m_active.end(), [&](const auto &entry) {
        return entry.second->model == model;
    });
}

bool batch_model::idle() const
{
    return m_active.empty();
}

std::size_t batch_model::running() const
{
    return std::min(m_active.size(), m_batchSize);
}

std::size_t batch_model::waiting() const
{
    return m_active.size() - running();
}

const batch_counters &batch_model::counters() const
{
    return m_counters;
}

void batch_model::step(core::monotonic_time now)
{
    dropOld(now);
    if (idle()) {
        return;
    }
    std::vector<std::shared_ptr<generation>> batch;
    for (const auto &[position, each] : m_active) {
        if (batch.size() == m_batchSize) {
            break;
        }
        batch.push_back(each);
    }
    ++m_counters.steps;
    m_counters.filled += static_cast<long long>(batch.size());
    for (const auto &each : batch) {
        advance(*each);
        if (each->done()) {
            m_active.erase(order(each->priority, each->arrival));
            keep(each, now);
        }
    }
}

void batch_model::advance(generation &each)
{
    if (!each.started) {
        each.started = true;
        if (m_firstRun) {
            m_firstRun(each);
        }
    }
    if (each.prefillSteps > 0) {
        --each.prefillSteps;
        return;
    }
    const int index = each.produced++;
    ++m_counters.tokens;
    const std::string text = tokenText(each.seed, index);
    for (const auto &[sink, from] : each.subscribers) {
        if (index >= from) {
            sink->token(each, index, text);
        }
    }
    if (each.done()) {
        for (const auto &ended : std::exchange(each.subscribers, {})) {
            ended.sink->finished(each);
        }
    }
}

void batch_model::keep(const std::shared_ptr<generation> &finished, core::monotonic_time now)
{
    m_kept.emplace_back(now, finished);
}

void batch_model::dropOld(core::monotonic_time now)
{
    while (!m_kept.empty() && (m_kept.size() > maxKept || now - m_kept.front().first > keepTime)) {
        const auto &oldest = m_kept.front().second;
        const auto found = m_byId.find(oldest->id);
        // The id may have been taken by a later generation.
        if (found != m_byId.end() && found->second == oldest) {
            m_byId.erase(found);
        }
        m_kept.pop_front();
    }
}

} // namespace medlarrack::standins
