#include <medlarrack/http/client.hpp>

#include <memory>
#include <utility>

namespace medlarrack::http {

void fetch(client &client, client_request request,
           std::function<void(const client_result &result, std::string body)> callback)
{
    auto body = std::make_shared<std::string>();
    client_callbacks callbacks;
    callbacks.onData = [body](std::string_view piece) {
        body->append(piece);
    };
    callbacks.onEnd = [body, callback = std::move(callback)](const client_result &result) {
        callback(result, std::move(*body));
    };
    client.start(std::move(request), std::move(callbacks));
}

} // namespace medlarrack::http
