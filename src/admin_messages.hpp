#ifndef BRIARHUB_ADMIN_MESSAGES_HPP
#define BRIARHUB_ADMIN_MESSAGES_HPP

/// Messages between the admin thread and the traffic and control threads: each
/// admin API request becomes a query that one of these threads replies to.

#include "result_code.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <string>

namespace briarhub
{

enum class admin_topic
{
    // Handled by the traffic thread.
    readiness, ///< {"ready":bool,"reason":"..."}
    upstreams, ///< health, weight, scores and state reason of each upstream
    accounts,  ///< base, lent and borrowed fractions; tokens
    queues,    ///< queued and in-flight requests of each service

    // Handled by the control thread.
    members,       ///< members, their reachability, versions, stable version
    config_show,   ///< configuration and its version
    config_apply,  ///< body: {"change_id","parent","operations"}
    change_lookup, ///< argument: change id
    in_doubt       ///< claims whose outcome is unknown
};

struct admin_reply
{
    result_code m_code = result_code::ok;
    boost::json::value m_body;
};

struct admin_query
{
    admin_topic m_topic = admin_topic::readiness;
    std::string m_argument;
    boost::json::value m_body;
    /// Called exactly once, from any thread; posts the reply to the admin
    /// thread.
    std::function<void(admin_reply)> m_reply;
};

} // namespace briarhub

#endif
