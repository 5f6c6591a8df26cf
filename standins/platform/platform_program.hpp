#pragma once

#include "change_log.hpp"
#include "instance_list.hpp"
#include "platform_faults.hpp"
#include "rate_limit.hpp"
#include "weight_store.hpp"

#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/http/message.hpp>
#include <medlarrack/http/responder.hpp>

#include <asio/io_context.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace medlarrack::standins {

/// Joins the configuration service, the list of instances, the weight store and HTTP. Used on one thread.
class platform_program
{
public:
    platform_program(asio::io_context &context, platform_faults &faults);

    /// Start-up state, as by the admin calls; false when the text isn't as expected.
    bool publish(const std::string &ticketText);
    /// A ticket or an array of tickets.
    bool publishAll(const std::string &text);
    bool replaceInstances(const std::string &listText);

    /// Answers watches that have something to see now, after a ticket or a change of faults.
    void wakeWaiters();
    void handle(const http::request &request, std::shared_ptr<http::responder> answer);

private:
    struct waiter;

    bool publishTicket(const nlohmann::json &ticket);

    void changes(const http::request &request, std::shared_ptr<http::responder> answer);
    void instances(http::responder &answer);
    void load(const http::request &request, std::shared_ptr<http::responder> answer);
    void calls(http::responder &answer) const;
    void addTicket(const http::request &request, http::responder &answer);
    void setInstances(const http::request &request, http::responder &answer);
    /// Counts a call and refuses it above the rate or in an outage.
    bool admit(const std::string &kind, bool outage, http::responder &answer);
    void sendChanges(long long after, http::responder &answer);
    [[nodiscard]] long long shownNewest() const;
    [[nodiscard]] bool known(const std::string &adapterVersion) const;

    asio::io_context &m_context;
    platform_faults &m_faults;
    core::system_clock m_clock;
    change_log m_log;
    instance_list m_instances;
    weight_store m_store;
    rate_limit m_callRate;
    std::map<std::string, long long> m_calls;
    /// Adapter versions of the newest ticket that names the adapter.
    std::map<std::string, nlohmann::json> m_adapters;
    std::map<std::string, long long> m_adapterTickets;
    std::list<std::shared_ptr<waiter>> m_waiters;
};

} // namespace medlarrack::standins
