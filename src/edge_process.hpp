#ifndef BRIARHUB_EDGE_PROCESS_HPP
#define BRIARHUB_EDGE_PROCESS_HPP

/// The edge process: an HTTP proxy for callers on a platform that keeps the
/// operator's policy and the upstream directory in its own store.

#include "edge_settings.hpp"
#include "fleet_store.hpp"
#include "header_names.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace briarhub
{

/// Interface that a platform adapter provides to the process.
struct edge_platform
{
    header_names m_header_names;
    /// Reads the settings again; returns an error text if they are invalid.
    std::function<std::variant<edge_settings, std::string>()> m_read_settings;
    /// Creates the store client of the control thread.
    std::function<std::unique_ptr<fleet_store>(boost::asio::io_context& io)>
        m_make_store;
};

/// Runs until SIGTERM or SIGINT; returns the exit code.
int run_edge_process(
    edge_settings const& settings, edge_platform const& platform);

} // namespace briarhub

#endif
