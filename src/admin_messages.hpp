#ifndef BRIARHUB_ADMIN_MESSAGES_HPP
#define BRIARHUB_ADMIN_MESSAGES_HPP

/// Queries of the admin thread to the traffic and control threads.

#include "result_code.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <string>

namespace briarhub
{

enum class admin_topic
{
    // Answered by the traffic thread.
    readiness, ///< {"ready":bool,"reason":"..."}
    upstreams, ///< health, weight, scores and reason of each upstream
    accounts,  ///< base, lent and borrowed fractions, tokens
    queues,    ///< queued and in flight for each service

    // Answered by the control thread.
    members,       ///< members, their contact, versions, stable version
    config_show,   ///< configuration and its version
    config_apply,  ///< body: {"change_id","parent","operations"}
    change_lookup, ///< argument: change id
    in_doubt       ///< claims without a known outcome
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
    /// Called once, from any thread; it posts to the admin thread.
    std::function<void(admin_reply)> m_reply;
};

} // namespace briarhub

#endif
