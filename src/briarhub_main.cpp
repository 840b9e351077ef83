/// briarhub, the entry process: starts the traffic, control and admin threads
/// and shuts them down on SIGTERM or SIGINT.

#include "admin_server.hpp"
#include "control_plane.hpp"
#include "logging.hpp"
#include "mailbox.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "traffic_worker.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>

#include <spdlog/spdlog.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

namespace briarhub
{
namespace
{

constexpr int exit_invalid_settings = 2;
constexpr int exit_start_failed = 3;

constexpr std::size_t thread_queue_capacity = 16'384;
constexpr std::size_t admin_queue_capacity = 64;

incarnation make_incarnation()
{
    std::random_device source;
    return (incarnation{source()} << 32U) | source();
}

/// Event loop of one thread. Runs until it is stopped, also without work.
struct event_loop
{
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work_guard{m_io.get_executor()};
};

/// Runs traffic, control and admin in one event loop each. They communicate
/// through mailboxes.
class entry_process
{
public:
    explicit entry_process(settings const& options)
        : m_options(options),
          m_self{options.m_vm, make_incarnation(), options.m_failure_domain},
          m_traffic(
              m_traffic_loop.m_io, m_options, m_self, m_metrics, m_to_control),
          m_control(
              m_control_loop.m_io, m_options, m_self, m_metrics, m_to_traffic),
          m_admin(
              m_admin_loop.m_io,
              m_options,
              m_metrics,
              [this](admin_query&& query)
              {
                  return m_admin_to_traffic.push(std::move(query));
              },
              [this](admin_query&& query)
              {
                  return m_admin_to_control.push(std::move(query));
              }),
          m_signals(m_admin_loop.m_io, SIGTERM, SIGINT)
    {
    }

    /// Returns after a graceful shutdown.
    void run()
    {
        m_traffic.start();
        m_control.start();
        m_admin.start();
        m_signals.async_wait(
            [this](auto error, int signal)
            {
                if (!error)
                {
                    begin_shutdown(signal);
                }
            });
        std::thread traffic_thread{[this]
                                   {
                                       m_traffic_loop.m_io.run();
                                   }};
        std::thread control_thread{[this]
                                   {
                                       m_control_loop.m_io.run();
                                   }};
        spdlog::info(
            "started vm={} incarnation={:016x} listen={} admin={}",
            m_self.m_vm,
            m_self.m_incarnation,
            m_options.m_listen,
            m_options.m_admin_listen);
        m_admin_loop.m_io.run();
        m_traffic_loop.m_io.stop();
        m_control_loop.m_io.stop();
        traffic_thread.join();
        control_thread.join();
        spdlog::info("stopped vm={}", m_self.m_vm);
    }

private:
    void begin_shutdown(int signal)
    {
        spdlog::info("shutdown begins signal={}", signal);
        m_shutdown_timer.expires_after(m_options.m_shutdown_timeout);
        m_shutdown_timer.async_wait(
            [this](auto error)
            {
                if (!error)
                {
                    spdlog::warn("shutdown timeout exceeded; stopping");
                    m_admin_loop.m_io.stop();
                }
            });
        boost::asio::post(
            m_control_loop.m_io,
            [this]
            {
                m_control.stop(
                    [this]
                    {
                        m_admin_loop.m_io.stop();
                    });
            });
    }

    settings m_options;
    member m_self;
    metrics_registry m_metrics;
    event_loop m_traffic_loop;
    event_loop m_control_loop;
    event_loop m_admin_loop;

    mailbox<traffic_message> m_to_traffic{
        m_traffic_loop.m_io,
        thread_queue_capacity,
        [this](traffic_message&& message)
        {
            m_traffic.receive(std::move(message));
        }};
    mailbox<control_message> m_to_control{
        m_control_loop.m_io,
        thread_queue_capacity,
        [this](control_message&& message)
        {
            m_control.receive(std::move(message));
        }};
    mailbox<admin_query> m_admin_to_traffic{
        m_traffic_loop.m_io,
        admin_queue_capacity,
        [this](admin_query&& query)
        {
            m_traffic.receive(std::move(query));
        }};
    mailbox<admin_query> m_admin_to_control{
        m_control_loop.m_io,
        admin_queue_capacity,
        [this](admin_query&& query)
        {
            m_control.receive(std::move(query));
        }};

    traffic_worker m_traffic;
    control_plane m_control;
    admin_server m_admin;
    boost::asio::signal_set m_signals;
    timer m_shutdown_timer{m_admin_loop.m_io};
};

int run_process(settings const& options)
{
    start_logging(options.m_log_format, options.m_log_level);
    try
    {
        entry_process process{options};
        process.run();
    }
    catch (boost::system::system_error const& error)
    {
        spdlog::error("cannot start: {}", error.what());
        stop_logging();
        return exit_start_failed;
    }
    stop_logging();
    return 0;
}

struct settings_visitor
{
    int operator()(settings const& options) const
    {
        return run_process(options);
    }

    int operator()(settings_help const& help) const
    {
        std::cout << help.m_text;
        return 0;
    }

    int operator()(settings_error const& error) const
    {
        auto const code = static_cast<unsigned>(result_code::settings_invalid);
        std::cerr << "briarhub: error " << code << ": " << error.m_setting
                  << ' ' << error.m_message << '\n';
        return exit_invalid_settings;
    }
};

} // namespace
} // namespace briarhub

int main(int argc, char** argv)
{
    using namespace briarhub;
    // A write to a connection that a caller or peer has closed must not
    // terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    return std::visit(settings_visitor{}, read_settings(argc, argv));
}
