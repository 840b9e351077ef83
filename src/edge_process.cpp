#include "edge_process.hpp"

#include "edge_server.hpp"
#include "event_log.hpp"
#include "logging.hpp"
#include "mailbox.hpp"
#include "state_sync.hpp"
#include "status_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>

#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

namespace briarhub
{
namespace
{

constexpr int exit_start_failed = 3;

constexpr std::size_t mailbox_capacity = 4096;

/// The settings are also reread periodically, since the file may change
/// without a signal.
constexpr std::chrono::seconds settings_check_interval{5};

/// Message from the traffic thread to the control thread.
using control_thread_message =
    std::variant<store_reader_role, newer_peer, health_snapshot>;

struct event_loop
{
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work_guard{m_io.get_executor()};
};

/// Runs a traffic thread and a control thread, which exchange messages through
/// ring buffers.
class edge_process
{
public:
    edge_process(edge_settings const& settings, edge_platform const& platform)
        : m_settings(settings), m_platform(platform), m_events(settings.m_vm),
          m_store(platform.m_make_store(m_control_loop.m_io)),
          m_edge_server(
              m_traffic_loop.m_io,
              m_settings,
              m_platform.m_header_names,
              m_metrics,
              m_events,
              [this](store_reader_role duty)
              {
                  m_control_mailbox.push(duty);
              },
              [this](newer_peer const& peer)
              {
                  m_control_mailbox.push(peer);
              },
              [this](health_snapshot&& record)
              {
                  m_control_mailbox.push(std::move(record));
              }),
          m_feed(
              m_control_loop.m_io,
              m_settings,
              *m_store,
              m_metrics,
              m_events,
              [this](state_event&& update)
              {
                  m_traffic_mailbox.push(std::move(update));
              }),
          m_ready_server(
              m_control_loop.m_io,
              m_settings.m_ready_listen,
              [this](std::string_view)
              {
                  bool const is_ready = m_edge_server.is_ready();
                  return status_response{
                      is_ready ? 200U : 503U, is_ready ? "ready" : "not ready"};
              }),
          m_signals(m_control_loop.m_io, SIGTERM, SIGINT, SIGHUP)
    {
        open_metrics_server();
    }

    void run()
    {
        m_edge_server.start();
        m_feed.start();
        m_ready_server.start();
        if (m_metrics_server)
        {
            m_metrics_server->start();
        }
        wait_for_signal();
        schedule_settings_check();
        m_events.write(
            "start",
            {{"listen", m_settings.m_listen},
             {"failure_domain", m_settings.m_failure_domain},
             {"store", m_settings.m_store},
             {"version", BRIARHUB_VERSION}});
        std::thread traffic_thread{[this]
                                   {
                                       m_traffic_loop.m_io.run();
                                   }};
        m_control_loop.m_io.run();
        m_traffic_loop.m_io.stop();
        traffic_thread.join();
        m_events.write("stop", {});
    }

private:
    /// A metrics port that cannot be bound is logged and does not stop the
    /// process from serving callers.
    void open_metrics_server()
    {
        if (m_settings.m_metrics_listen.empty())
        {
            return;
        }
        try
        {
            m_metrics_server = std::make_unique<status_server>(
                m_control_loop.m_io,
                m_settings.m_metrics_listen,
                [this](std::string_view)
                {
                    return status_response{200, m_metrics.to_text()};
                });
        }
        catch (boost::system::system_error const& error)
        {
            m_events.write(
                "metrics_unavailable",
                {{"listen", m_settings.m_metrics_listen},
                 {"error", error.what()}});
        }
    }

    void receive(store_reader_role const& duty)
    {
        m_feed.set_role(duty);
    }

    void receive(newer_peer const& peer)
    {
        m_feed.handle_newer_peer(peer);
    }

    void receive(health_snapshot const& record)
    {
        m_feed.save_health_snapshot(record);
    }

    void wait_for_signal()
    {
        m_signals.async_wait(
            [this](boost::system::error_code error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    reload("signal");
                }
                else
                {
                    begin_shutdown(signal);
                }
                wait_for_signal();
            });
    }

    void begin_shutdown(int signal)
    {
        if (std::exchange(m_is_stopping, true))
        {
            return;
        }
        m_events.write("stop_begins", {{"signal", signal}});
        boost::asio::post(
            m_traffic_loop.m_io,
            [this]
            {
                m_edge_server.begin_shutdown(
                    [this]
                    {
                        m_edge_server.stop_now();
                        boost::asio::post(
                            m_control_loop.m_io,
                            [this]
                            {
                                m_feed.stop();
                                m_control_loop.m_io.stop();
                            });
                    });
            });
    }

    void schedule_settings_check()
    {
        m_settings_timer.expires_after(settings_check_interval);
        m_settings_timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    reload("check");
                    schedule_settings_check();
                }
            });
    }

    /// Rereads the settings and applies those that can change at run time.
    void reload(std::string_view cause)
    {
        auto loaded = m_platform.m_read_settings();
        if (auto const* problem = std::get_if<std::string>(&loaded))
        {
            m_events.write(
                "reload_failed", {{"cause", cause}, {"reason", *problem}});
            return;
        }
        auto& updated = std::get<edge_settings>(loaded);
        bool const is_unchanged = updated == m_settings;
        if (is_unchanged && cause != "signal")
        {
            return;
        }
        auto const needs_restart = changes_that_need_restart(updated);
        m_events.write(
            "reload",
            {{"cause", cause},
             {"changed", !is_unchanged},
             {"needs_restart", needs_restart}});
        m_settings.m_retries = updated.m_retries;
        m_settings.m_warm_up = updated.m_warm_up;
        m_settings.m_upstream_update_limit = updated.m_upstream_update_limit;
        m_settings.m_shutdown_grace_period = updated.m_shutdown_grace_period;
        boost::asio::post(
            m_traffic_loop.m_io,
            [this, updated]
            {
                m_edge_server.apply_settings(updated);
            });
    }

    /// Comma-separated names of changed settings that need a restart.
    [[nodiscard]] std::string
    changes_that_need_restart(edge_settings const& updated) const
    {
        std::string names;
        auto const compare =
            [&](std::string_view name, auto edge_settings::*member)
        {
            if (updated.*member != m_settings.*member)
            {
                names += names.empty() ? "" : ",";
                names += name;
            }
        };
        compare("listen", &edge_settings::m_listen);
        compare("ready_listen", &edge_settings::m_ready_listen);
        compare("peer_listen", &edge_settings::m_peer_listen);
        compare("gossip_port", &edge_settings::m_gossip_port);
        compare("store", &edge_settings::m_store);
        compare("failure_domain", &edge_settings::m_failure_domain);
        return names;
    }

    edge_settings m_settings;
    edge_platform const& m_platform;
    metrics_registry m_metrics;
    event_log m_events;
    event_loop m_traffic_loop;
    event_loop m_control_loop;
    std::unique_ptr<fleet_store> m_store;

    mailbox<state_event> m_traffic_mailbox{
        m_traffic_loop.m_io,
        mailbox_capacity,
        [this](state_event&& update)
        {
            m_edge_server.receive(std::move(update));
        }};
    mailbox<control_thread_message> m_control_mailbox{
        m_control_loop.m_io,
        mailbox_capacity,
        [this](control_thread_message&& update)
        {
            std::visit(
                [this](auto const& typed_message)
                {
                    receive(typed_message);
                },
                update);
        }};

    edge_server m_edge_server;
    state_sync m_feed;
    status_server m_ready_server;
    std::unique_ptr<status_server> m_metrics_server;
    boost::asio::signal_set m_signals;
    timer m_settings_timer{m_control_loop.m_io};
    bool m_is_stopping = false;
};

} // namespace

int run_edge_process(
    edge_settings const& settings, edge_platform const& platform)
{
    // A write to a connection that the caller or peer closed must not end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    start_event_logging(settings.m_log_level);
    int code = 0;
    try
    {
        edge_process process{settings, platform};
        process.run();
        // Requests still active after the grace period and the parts of the
        // process refer to each other, so exit without running destructors.
        stop_logging();
        std::_Exit(0);
    }
    catch (boost::system::system_error const& error)
    {
        event_log{settings.m_vm}.write(
            "start_failed", {{"error", error.what()}});
        code = exit_start_failed;
    }
    stop_logging();
    return code;
}

} // namespace briarhub
