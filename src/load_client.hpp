#ifndef BRIARHUB_LOAD_CLIENT_HPP
#define BRIARHUB_LOAD_CLIENT_HPP

/// Sends open-loop load and checks the answers.

#include "load_mix.hpp"
#include "load_report.hpp"
#include "types.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <vector>

namespace briarhub
{

/// A non-idempotent request is sent at most this many times again.
inline constexpr unsigned max_load_retries = 3;

struct load_options
{
    std::vector<endpoint_address> m_targets;
    load_classes m_classes;
    load_accounts m_accounts;
    double m_rate = 100.0; ///< requests per second
    std::chrono::seconds m_duration{10};
    /// Requests in flight; further arrivals wait, which counts as latency.
    std::size_t m_connections = 256;
    std::uint64_t m_seed = 1;
    /// Targets that an account uses at a time; 0: all.
    std::size_t m_skew = 0;
    /// After this time an account moves to other targets; 0: never.
    std::chrono::seconds m_move{0};
    std::chrono::milliseconds m_timeout{10000};
    /// The target is an upstream: sends the fields of an entry process.
    bool m_direct = false;
};

class load_client
{
public:
    /// `record`, unless null, receives one line of JSON for each request.
    load_client(
        boost::asio::io_context& io,
        load_options options,
        std::ostream* record = nullptr);
    ~load_client();
    load_client(load_client const&) = delete;
    load_client& operator=(load_client const&) = delete;

    /// Starts the arrivals; `on_end` is called after the last request ended.
    void start(std::function<void()> on_end);

    /// Ends the arrivals.
    void stop();

    [[nodiscard]] load_report const& report() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
