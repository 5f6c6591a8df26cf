#pragma once

#include "connection_link.hpp"
#include "connection_table.hpp"

#include <medlarrack/http/responder.hpp>

#include <restinio/all.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::http::detail {

/// Answers one request through RESTinio. Pieces that come while one is being written go out together after it. Its
/// mutex is taken before that of the connection's link.
class restinio_responder final : public responder, public std::enable_shared_from_this<restinio_responder>
{
public:
    restinio_responder(restinio::request_handle_t request, std::shared_ptr<connection_link> link,
                       std::shared_ptr<const connection_table> table, std::size_t maxBufferedBytes,
                       std::chrono::seconds reusableFor, std::unique_ptr<core::byte_claim> claim);
    ~restinio_responder() override;

    void respond(int status, header_list headers, std::string body) override;
    void begin(int status, header_list headers) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;
    void onClosed(std::function<void()> callback) override;

private:
    enum class state {
        waiting,
        streaming,
        ended,
    };

    using stream_builder = restinio::response_builder_t<restinio::chunked_output_t>;

    /// Framing is RESTinio's; of the connection's fields only "close" is taken over.
    template<typename Builder>
    void appendHeaders(Builder &builder, const header_list &headers) const;
    void finish();
    /// Hands all pending pieces to RESTinio as one chunk.
    void flushPending();
    void onWritten();

    std::shared_ptr<connection_link> m_link;
    std::shared_ptr<const connection_table> m_table;
    std::size_t m_maxBufferedBytes;
    /// What the response states if its connection stays open.
    std::chrono::seconds m_reusableFor;
    /// The request's body is held by whoever holds this.
    std::unique_ptr<core::byte_claim> m_claim;
    std::mutex m_mutex;
    state m_state = state::waiting;
    restinio::request_handle_t m_request;
    std::optional<stream_builder> m_stream;
    bool m_writing = false;
    std::string m_pending;
    std::optional<connection_link::watch_id> m_watch;
};

} // namespace medlarrack::http::detail
