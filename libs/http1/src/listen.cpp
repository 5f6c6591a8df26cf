#include <medlarrack/http1/listen.hpp>

namespace medlarrack::http1 {

bool listen(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &at, core::reason &why)
{
    std::error_code error;
    acceptor.open(at.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(at, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        why = {"listen_failed", at.address().to_string() + ":" + std::to_string(at.port()) + ": " + error.message()};
        return false;
    }
    return true;
}

} // namespace medlarrack::http1
