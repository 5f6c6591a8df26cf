#pragma once

#include <medlarrack/core/reason.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::http1 {

/// A small page.
struct page
{
    int status = 404;
    std::string contentType = "text/plain";
    std::string body;
};

/// Answers GET requests by a function: readiness and metrics of a process.
class page_server
{
public:
    page_server(asio::io_context &context, std::function<page(std::string_view target)> answer);
    ~page_server();

    [[nodiscard]] bool listen(const asio::ip::tcp::endpoint &at, core::reason &why);
    [[nodiscard]] std::uint16_t port() const;
    void close();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::http1
