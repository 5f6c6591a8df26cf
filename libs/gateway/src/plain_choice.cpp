#include "replica_usability.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace medlarrack::gateway {

namespace {

/// Minimum gain in expected time for which a request goes to another data centre: traffic between them is expensive.
/// Never more than the usual duration of work, so that a slow replica nearby isn't preferred to remote ones.
constexpr std::chrono::milliseconds maxRemotePenalty{60};
/// Duration of work before the first answer of the service.
constexpr std::chrono::milliseconds assumedWorkTime{60};
/// Time for which the reported load of other processes counts. Requests of plain services take about 60 ms.
constexpr std::chrono::milliseconds reportedLoadLifetime{300};
/// A replica whose work takes more than this multiple of the usual duration gets requests to notice its recovery.
constexpr double slowFactor = 2;
/// Time without news of a slow replica after which it may get such a request.
constexpr std::chrono::milliseconds probeInterval{1'000};
/// One request in this many may be such a one: with 68 gateways, these are 7 of 220 requests a second, a seventh of
/// what two replicas at four times their usual duration serve.
constexpr std::uint32_t requestsPerProbe = 32;
/// Share of its remaining time that the answer to a request that has not been refused before may be expected to take.
/// The rest is left to those that return after a refusal.
constexpr double firstAttemptTimeShare = 0.8;

/// A replica that a request may go to. Times are in nanoseconds.
struct candidate_state
{
    replica_ptr at;
    double slots = 1;
    /// Duration of work.
    double workTime = 0;
    /// Penalty for another data centre.
    double penalty = 0;
    /// Requests running or waiting there, by the latest report.
    double reported = 0;
    /// Those of them that are expected to be there still, and those that have come since.
    double load = 0;
    /// Requests that it is expected to get until all candidates have the same expected time.
    double share = 0;
};

/// Expected time to an answer at a load, as a multiple of the duration of work. A request waits for those beyond the
/// slots; the fuller the replica, the more likely a request not known here takes the last slot.
double timeFactorAt(double load, double slots)
{
    return load <= slots ? 1 + load / (slots * slots) : 1 + (load - slots + 1) / slots;
}

/// The load at which the expected time has the given factor.
double loadAt(double timeFactor, double slots)
{
    if (timeFactor <= 1 + 1 / slots) {
        return std::max(0.0, timeFactor - 1) * slots * slots;
    }
    return (timeFactor - 1) * slots + slots - 1;
}

double expectedTime(const candidate_state &candidate, double load)
{
    return candidate.workTime * timeFactorAt(load, candidate.slots);
}

/// Distributes requests so that the longest expected time is as short as possible; returns that time.
template<typename Candidates>
double distribute(Candidates &candidates, double requests)
{
    const auto fill = [&](double time) {
        double sum = 0;
        for (candidate_state &one : candidates) {
            const double load = loadAt((time - one.penalty) / one.workTime, one.slots);
            one.share = std::max(0.0, load - one.load);
            sum += one.share;
        }
        return sum;
    };
    double low = 0;
    double high = 1;
    for (const candidate_state &one : candidates) {
        high = std::max(high, expectedTime(one, one.load + requests) + one.penalty);
    }
    // Halves the range of some seconds to far below a microsecond.
    constexpr int steps = 32;
    for (int step = 0; step < steps; ++step) {
        const double middle = (low + high) / 2;
        (fill(middle) < requests ? low : high) = middle;
    }
    fill(high);
    return high;
}

/// Requests of a number that are still running or waiting after a time without new ones.
double remainingAfter(double time, const candidate_state &candidate, double load)
{
    const double waiting = std::max(0.0, load - candidate.slots);
    const double queueTime = waiting * candidate.workTime / candidate.slots;
    if (time <= queueTime) {
        return load - time * candidate.slots / candidate.workTime;
    }
    return std::min(load, candidate.slots) * std::exp(-(time - queueTime) / candidate.workTime);
}

/// Usual duration of work at the service's replicas: the lower median of the known ones.
std::chrono::nanoseconds typicalWorkTime(const replica_table &table, std::string_view service)
{
    std::vector<std::chrono::nanoseconds> times;
    for (const replica_ptr &one : table.findByService(service)) {
        if (const auto time = one->speed.usualTime()) {
            times.push_back(*time);
        }
    }
    if (times.empty()) {
        return assumedWorkTime;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return std::max(*middle, std::chrono::nanoseconds(1));
}

double inNanoseconds(std::chrono::nanoseconds time)
{
    return static_cast<double>(std::max<std::chrono::nanoseconds::rep>(time.count(), 1));
}

/// Fills in what is known of a candidate; returns the number of requests that have left it since the latest report.
double assess(candidate_state &candidate, std::chrono::nanoseconds typical, core::monotonic_time now)
{
    const replica &at = *candidate.at;
    candidate.slots = std::max(1U, at.record.slots);
    candidate.workTime = inNanoseconds(at.speed.workTime(typical, now));
    candidate.penalty = at.local ? 0 : inNanoseconds(std::min<std::chrono::nanoseconds>(maxRemotePenalty, typical));
    const auto age = now - at.loadReportedAt;
    const double others = age <= reportedLoadLifetime ? at.othersLoad : 0;
    const double own = at.outstanding;
    // This process's requests are counted, not estimated.
    const double remaining = std::min(others, remainingAfter(inNanoseconds(age), candidate, others));
    candidate.reported = own + others;
    candidate.load = own + remaining;
    return others - remaining;
}

/// Whether less than half of the slots are taken and no request waits, as far as reports tell.
bool isMostlyIdle(std::span<const candidate_state> candidates)
{
    double load = 0;
    double slots = 0;
    for (const candidate_state &one : candidates) {
        if (one.reported > one.slots) {
            return false;
        }
        load += one.reported;
        slots += one.slots;
    }
    return load * 2 < slots;
}

/// Draws a candidate with a probability in proportion to its share.
const candidate_state &draw(std::span<const candidate_state> candidates, std::minstd_rand &random)
{
    const double total =
        std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const candidate_state &one) {
            return sum + one.share;
        });
    double left = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(random);
    const candidate_state *drawn = nullptr;
    for (const candidate_state &one : candidates) {
        if (one.share <= 0) {
            continue;
        }
        drawn = &one;
        left -= one.share;
        if (left < 0) {
            break;
        }
    }
    return drawn == nullptr ? candidates.front() : *drawn;
}

/// The slow candidate that this process has not heard of for longest, if one is due; else null.
const candidate_state *dueProbe(std::span<const candidate_state> candidates, const choice_query &query, double typical,
                                core::monotonic_time now)
{
    const candidate_state *due = nullptr;
    for (const candidate_state &one : candidates) {
        const bool isSlow = one.workTime > slowFactor * typical;
        const bool hasTime = !query.timeLeft || 2 * expectedTime(one, one.load) < inNanoseconds(*query.timeLeft);
        if (isSlow && hasTime && one.load < one.slots && one.at->outstanding == 0
            && one.at->speed.silence(now) >= probeInterval
            && (due == nullptr || one.at->speed.silence(now) > due->at->speed.silence(now))) {
            due = &one;
        }
    }
    return due;
}

replica_choice choose(const candidate_state &one, double time, std::string_view why)
{
    return {.target = one.at, .why = why, .expectedTime = std::chrono::nanoseconds(std::llround(time))};
}

/// The replicas that a request may go to, and what each would get of the requests expected now.
struct known_candidates
{
    std::vector<candidate_state> candidates;
    std::chrono::nanoseconds typicalWorkTime{0};
    /// One that isn't usable now may be so in time.
    bool hindered = false;
};

known_candidates assessAll(const replica_table &table, const choice_query &query, core::monotonic_time now)
{
    known_candidates known;
    std::vector<candidate_state> &candidates = known.candidates;
    for (const replica_ptr &one : table.findByService(query.service)) {
        if (isExcluded(query, *one)) {
            continue;
        }
        if (isUsable(*one, now)) {
            candidates.push_back({.at = one});
        } else {
            known.hindered = known.hindered || isUsableLater(query, *one, now);
        }
    }
    if (candidates.empty()) {
        return known;
    }
    known.typicalWorkTime = typicalWorkTime(table, query.service);
    // As many requests as have left are assumed to have come since, each to the data centre of the one that left.
    const auto firstRemote = std::partition(candidates.begin(), candidates.end(), [](const candidate_state &one) {
        return one.at->local;
    });
    double arrivalsHere = 0;
    double arrivalsElsewhere = 0;
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        (it < firstRemote ? arrivalsHere : arrivalsElsewhere) += assess(*it, known.typicalWorkTime, now);
    }
    if (firstRemote == candidates.begin()) {
        std::swap(arrivalsHere, arrivalsElsewhere);
    } else if (arrivalsElsewhere > 0) {
        std::span<candidate_state> remote(firstRemote, candidates.end());
        distribute(remote, arrivalsElsewhere);
        for (candidate_state &one : remote) {
            one.load += one.share;
        }
    }
    distribute(candidates, arrivalsHere + 1);
    return known;
}

/// Expected time to the answer of a request that is sent there now, behind those expected before it.
double expectedTimeOfNext(const candidate_state &one)
{
    return expectedTime(one, one.load + std::max(0.0, one.share - 1));
}

} // namespace

replica_choice choosePlain(const replica_table &table, const choice_query &query, core::monotonic_time now,
                           std::minstd_rand &random)
{
    const known_candidates known = assessAll(table, query, now);
    const std::vector<candidate_state> &candidates = known.candidates;
    if (candidates.empty()) {
        return {.hindered = known.hindered, .why = "no usable replica"};
    }
    const bool isFirstAttempt = query.timeLeft && !query.isCallerRetry;
    if (isFirstAttempt && random() % requestsPerProbe == 0) {
        if (const candidate_state *slow = dueProbe(candidates, query, inNanoseconds(known.typicalWorkTime), now)) {
            return choose(*slow, expectedTime(*slow, slow->load), "slow replica tried again");
        }
    }
    double shortest = 0;
    for (const candidate_state &one : candidates) {
        const double time = expectedTimeOfNext(one);
        shortest = shortest == 0 ? time : std::min(shortest, time);
    }
    if (query.timeLeft && !isMostlyIdle(candidates)
        && shortest > inNanoseconds(*query.timeLeft) * (query.isCallerRetry ? 1 : firstAttemptTimeShare)) {
        return {.saturated = true,
                .why = "no replica is expected to answer in the time left",
                .expectedTime = std::chrono::nanoseconds(std::llround(shortest))};
    }
    const candidate_state &drawn = draw(candidates, random);
    return choose(drawn, expectedTimeOfNext(drawn), "shortest expected time");
}

std::vector<expected_time> plainTimes(const replica_table &table, const choice_query &query, core::monotonic_time now)
{
    const known_candidates known = assessAll(table, query, now);
    std::vector<expected_time> times;
    for (const candidate_state &one : known.candidates) {
        times.push_back({one.at, std::chrono::nanoseconds(std::llround(expectedTimeOfNext(one)))});
    }
    return times;
}

std::chrono::nanoseconds timeToRoom(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    const std::chrono::nanoseconds typical = typicalWorkTime(table, service);
    std::optional<double> shortest;
    for (const replica_ptr &one : table.findByService(service)) {
        if (!isUsable(*one, now)) {
            continue;
        }
        candidate_state candidate{.at = one};
        assess(candidate, typical, now);
        const double waiting = std::max(0.0, candidate.reported - candidate.slots);
        const double queueTime = waiting * candidate.workTime / candidate.slots;
        shortest = std::min(shortest.value_or(queueTime), queueTime);
    }
    return std::chrono::nanoseconds(std::llround(shortest.value_or(0) / 2));
}

std::optional<work_time_range> workTimes(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    std::optional<work_time_range> range;
    for (const replica_ptr &one : table.findByService(service)) {
        if (const auto time = one->speed.workTime(now)) {
            range = range ? work_time_range{std::min(range->shortest, *time), std::max(range->longest, *time)}
                          : work_time_range{*time, *time};
        }
    }
    return range;
}

} // namespace medlarrack::gateway
