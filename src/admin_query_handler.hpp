#ifndef BRIARHUB_ADMIN_QUERY_HANDLER_HPP
#define BRIARHUB_ADMIN_QUERY_HANDLER_HPP

/// Handles the queries that the admin thread sends to the control thread:
/// members, configuration, configuration changes and unresolved claims.

#include "admin_messages.hpp"
#include "claims_stream.hpp"
#include "control_stream.hpp"
#include "fleet_state.hpp"
#include "metered_platform_client.hpp"
#include "peer_service.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>

namespace briarhub
{

/// A change that is not stable after this time is reported as
/// `config_unconfirmed`.
inline constexpr std::chrono::seconds confirmation_timeout{4};

class admin_query_handler
{
public:
    admin_query_handler(
        boost::asio::io_context& io,
        fleet_state& fleet,
        metered_platform_client& platform,
        control_stream& stream,
        peer_service& peers,
        claims_stream& claims);

    void receive(admin_query&& query);

private:
    admin_reply members();
    [[nodiscard]] admin_reply config_show() const;
    [[nodiscard]] admin_reply change_lookup(std::string const& id) const;
    [[nodiscard]] admin_reply in_doubt() const;
    boost::asio::awaitable<void> config_apply(admin_query query);
    boost::asio::awaitable<admin_reply> apply_change(change_record change);
    boost::asio::awaitable<void>
    wait_until_folded(std::string id, time_point deadline);
    [[nodiscard]] change_result const* find_change(std::string const& id) const;
    [[nodiscard]] admin_reply
    describe_change(std::string const& id, change_result const& result) const;

    boost::asio::io_context& m_io;
    fleet_state& m_fleet;
    metered_platform_client& m_platform;
    control_stream& m_stream;
    peer_service& m_peers;
    claims_stream& m_claims;
};

} // namespace briarhub

#endif
