#ifndef BRIARHUB_EDGE_PROCESS_HPP
#define BRIARHUB_EDGE_PROCESS_HPP

/// The edge process: serves callers on a platform that keeps the operator's
/// policy and the upstream directory in its own store.

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

/// What a platform's adapter gives the process.
struct edge_platform
{
    header_names m_header_names;
    /// Reads the settings again; text says why they cannot be used.
    std::function<std::variant<edge_settings, std::string>()> m_read_settings;
    /// Makes the store's client for the control thread.
    std::function<std::unique_ptr<fleet_store>(boost::asio::io_context& io)>
        m_make_store;
};

/// Runs until SIGTERM or SIGINT; returns the exit code.
int run_edge_process(
    edge_settings const& settings, edge_platform const& platform);

} // namespace briarhub

#endif
