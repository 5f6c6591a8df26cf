#include "report.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace medlarrack::load {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t listedPromises = 20;
constexpr double median = 0.5;
constexpr double high = 0.99;

template<class... Values>
std::string format(const char *pattern, Values... values)
{
    std::array<char, 256> text{};
    std::snprintf(text.data(), text.size(), pattern, values...);
    return text.data();
}

double perSecond(std::uint64_t count, std::chrono::milliseconds duration)
{
    constexpr double msPerSecond = 1000;
    return duration.count() == 0 ? 0 : static_cast<double>(count) * msPerSecond / static_cast<double>(duration.count());
}

std::string resultsTable(const summary &figures)
{
    std::string text = format("%-14s", "");
    for (const auto &[name, of] : figures.classes()) {
        text += format("%12s", name.c_str());
    }
    for (const result_kind kind : allResultKinds) {
        text += format("\n%-14s", std::string(toString(kind)).c_str());
        for (const auto &[name, of] : figures.classes()) {
            text += format("%12llu", static_cast<unsigned long long>(of.of(kind)));
        }
    }
    return text + "\n";
}

std::string timesRow(const char *name, const distribution &times)
{
    return format("%-24s%10zu%10.1f%10.1f%10.1f%10.1f\n", name, times.count(), times.percentile(median),
                  times.percentile(high), times.mean(), times.largest());
}

std::string timesTable(const summary &figures)
{
    std::string text = format("%-24s%10s%10s%10s%10s%10s\n", "milliseconds", "count", "median", "99th", "mean", "max");
    for (const auto &[name, of] : figures.classes()) {
        text += timesRow((name + " latency").c_str(), of.latency);
        if (of.firstToken.count() > 0) {
            text += timesRow((name + " first token").c_str(), of.firstToken);
        }
        if (of.loadStall.count() > 0) {
            text += timesRow((name + " load stall").c_str(), of.loadStall);
        }
    }
    return text;
}

std::string promisesText(const summary &figures)
{
    std::string text = format("broken promises: %zu\n", figures.broken().size());
    std::size_t listed = 0;
    for (const broken_promise &broken : figures.broken()) {
        if (++listed > listedPromises) {
            return text + "  and more\n";
        }
        text += "  " + broken.code + ": " + broken.detail + "\n";
    }
    return text;
}

std::uint64_t allTokens(const summary &figures)
{
    std::uint64_t tokens = 0;
    for (const auto &[name, of] : figures.classes()) {
        tokens += of.tokens;
    }
    return tokens;
}

ordered_json timesJson(const distribution &times)
{
    ordered_json histogram = ordered_json::array();
    for (const auto &bucket : times.histogram()) {
        histogram.push_back({{"up_to_ms", bucket.upToMs}, {"count", bucket.count}});
    }
    return {{"count", times.count()},          {"mean_ms", times.mean()},          {"p50_ms", times.percentile(median)},
            {"p90_ms", times.percentile(0.9)}, {"p99_ms", times.percentile(high)}, {"max_ms", times.largest()},
            {"histogram", histogram}};
}

ordered_json classJson(const class_summary &of)
{
    ordered_json results = ordered_json::object();
    for (const result_kind kind : allResultKinds) {
        results[std::string(toString(kind))] = of.of(kind);
    }
    return {{"requests", of.total()},
            {"results", results},
            {"tokens", of.tokens},
            {"latency", timesJson(of.latency)},
            {"first_token", timesJson(of.firstToken)},
            {"load_stall", timesJson(of.loadStall)},
            {"stalled_share", of.loadStall.shareAbove(0)}};
}

} // namespace

std::string toTable(const summary &figures)
{
    std::string text = resultsTable(figures) + "\n" + timesTable(figures) + "\n";
    text += format("tokens per second: %.0f\n", perSecond(allTokens(figures), figures.duration));
    if (figures.enginesMeasured > 0) {
        text +=
            format("batch efficiency: %.3f over %zu engines\n", figures.batches.efficiency(), figures.enginesMeasured);
    }
    for (const auto &[code, count] : figures.codes()) {
        text += format("code %s: %llu\n", code.c_str(), static_cast<unsigned long long>(count));
    }
    text += format("keys: %zu, runs %s\n", figures.ledger().keys(),
                   figures.runsChecked ? "compared with the services' counts" : "not compared");
    return text + promisesText(figures);
}

std::string toJson(const summary &figures)
{
    ordered_json classes = ordered_json::object();
    for (const auto &[name, of] : figures.classes()) {
        classes[name] = classJson(of);
    }
    ordered_json broken = ordered_json::array();
    for (const broken_promise &entry : figures.broken()) {
        broken.push_back({{"code", entry.code}, {"detail", entry.detail}});
    }
    const ordered_json document = {{"seed", figures.seed},
                                   {"duration_ms", figures.duration.count()},
                                   {"classes", classes},
                                   {"codes", figures.codes()},
                                   {"tokens_per_s", perSecond(allTokens(figures), figures.duration)},
                                   {"batches",
                                    {{"engines", figures.enginesMeasured},
                                     {"places", figures.batches.places},
                                     {"filled", figures.batches.filled},
                                     {"tokens", figures.batches.tokens},
                                     {"efficiency", figures.batches.efficiency()}}},
                                   {"keys", figures.ledger().keys()},
                                   {"runs_checked", figures.runsChecked},
                                   {"broken_promises", broken}};
    constexpr int indent = 2;
    return document.dump(indent, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

} // namespace medlarrack::load
