#pragma once

#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/http/client.hpp>

#include <memory>
#include <string>

namespace medlarrack::engine {

/// A model engine spoken to as in docs/PROTOCOLS.md. Streams pass unchanged; each event is checked before it is passed
/// on, so that no byte of a wrong model's or another request's answer gets through.
class http_engine_driver final : public target_driver
{
public:
    /// The client must outlive the driver. The URL has no path, as in "http://127.0.0.1:8000".
    http_engine_driver(http::client &client, std::string baseUrl);
    ~http_engine_driver() override;

    void run(call_id id, target_call call, call_callbacks callbacks) override;
    void cancel(call_id id) override;
    void load(const core::adapter_ref &adapter, const std::string &source, std::uint64_t fence,
              order_callback callback) override;
    void unload(const core::adapter_ref &adapter, std::uint64_t fence, order_callback callback) override;
    void poll(std::function<void(std::optional<target_load>)> callback) override;
    void stop() override;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::engine
