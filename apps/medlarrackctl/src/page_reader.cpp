#include "page_reader.hpp"

#include <medlarrack/http/client.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace medlarrack::ctl {

namespace {

constexpr std::chrono::milliseconds pageTimeout{5'000};

std::string withoutSlash(const std::string &url)
{
    return !url.empty() && url.back() == '/' ? url.substr(0, url.size() - 1) : url;
}

} // namespace

std::optional<daemon_page> readPage(const std::string &url, const std::string &path, core::reason &why)
{
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    http::client client(context);
    http::client_request request;
    request.url = withoutSlash(url) + path;
    request.timeout = pageTimeout;
    std::optional<daemon_page> page;
    http::fetch(client, std::move(request), [&](const http::client_result &result, std::string body) {
        if (result.progress == http::client_progress::complete) {
            page = daemon_page{result.status, std::move(body)};
        } else {
            why = {result.errorCode, result.errorMessage};
        }
        client.stop();
        guard.reset();
        context.stop();
    });
    context.run();
    return page;
}

std::optional<nlohmann::json> pageJson(const daemon_page &page)
{
    auto value = nlohmann::json::parse(page.body, nullptr, false);
    return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

} // namespace medlarrack::ctl
