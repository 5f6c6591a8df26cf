#include "seal_client.hpp"

#include <memory>
#include <utility>

namespace medlarrack::sidecar::detail {

seal_client::seal_client(peer::client &client, const instances::view &view, std::string group, core::instance_ref self,
                         reply_handler onReply)
    : m_client(client)
    , m_view(view)
    , m_group(std::move(group))
    , m_self(std::move(self))
    , m_onReply(std::move(onReply))
{
}

void seal_client::request(const std::string &memberId, const std::string &key)
{
    const auto member = m_view.find(memberId);
    if (!member) {
        m_onReply(memberId, key, std::nullopt);
        return;
    }
    // The stream's callbacks are never concurrent.
    const auto answered = std::make_shared<bool>(false);
    peer::stream_callbacks callbacks;
    callbacks.onMessage = [this, answered, memberId, key](const peer::message &message) {
        const auto *reply = std::get_if<peer::seal_reply>(&message);
        if (reply != nullptr && !*answered) {
            *answered = true;
            m_onReply(memberId, key, *reply);
        }
    };
    callbacks.onEnd = [this, answered, memberId, key](peer::stream_end /*end*/, const std::string & /*detail*/) {
        if (!*answered) {
            m_onReply(memberId, key, std::nullopt);
        }
    };
    m_client.start({member->address, member->port}, peer::seal_request{m_group, key, m_self}, std::move(callbacks));
}

} // namespace medlarrack::sidecar::detail
