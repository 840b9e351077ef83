#include "load_client.hpp"

#include "clock.hpp"
#include "connection_pool.hpp"
#include "idempotency_key.hpp"
#include "parse_number.hpp"
#include "upstream_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/stream_traits.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <utility>

namespace briarhub
{
namespace
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);

/// Pause before a non-idempotent request is sent again.
constexpr std::chrono::milliseconds retry_pause{250};

constexpr std::uint64_t max_answer_bytes = 64 * 1024 * 1024;

/// One request of the run.
struct job
{
    load_class const* m_class = nullptr;
    load_account const* m_account = nullptr;
    std::uint64_t m_number = 0;
    time_point m_arrival{};
    endpoint_address m_target;
    load_request m_request;
};

/// How one try of a request ended.
struct try_end
{
    load_result m_result = load_result::broken;
    unsigned m_code = 0;
    bool m_may_have_run = true;
    std::string m_detail;
};

/// A body of the stated size that differs from request to request.
std::string make_body(job const& work)
{
    std::string body = fmt::format(
        R"({{"account":"{}","number":{},"text":")",
        work.m_account->m_name,
        work.m_number);
    constexpr std::string_view end = "\"}";
    std::size_t const size = work.m_class->m_body_bytes;
    if (body.size() + end.size() < size)
    {
        body.append(size - body.size() - end.size(), 'x');
    }
    body += end;
    return body;
}

/// The end of a try that brought an answer.
try_end judge(job const& work, load_response const& response)
{
    if (response.result() != http::status::ok)
    {
        return {
            load_result::refused,
            refusal_code(response),
            indicates_may_have_run(response),
            {}};
    }
    std::string mismatch = find_mismatch(
        *work.m_class, work.m_account->m_name, work.m_request, response);
    auto const result = mismatch.empty() ? load_result::ok : load_result::wrong;
    return {result, 0, true, std::move(mismatch)};
}

} // namespace

struct load_client::implementation
{
    implementation(
        net::io_context& io, load_options options, std::ostream* record)
        : m_io(io), m_options(std::move(options)), m_record(record), m_pool(io),
          m_random(m_options.m_seed), m_arrivals(io)
    {
    }

    net::awaitable<void> run_arrivals()
    {
        m_running = 1;
        m_start = runtime_clock::now();
        std::exponential_distribution<double> gap{m_options.m_rate};
        time_point next = m_start;
        while (!m_stopped)
        {
            next += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{gap(m_random)});
            if (next - m_start > m_options.m_duration)
            {
                break;
            }
            m_arrivals.expires_at(next);
            co_await m_arrivals.async_wait(use_tuple);
            if (!m_stopped)
            {
                ++m_running;
                net::co_spawn(m_io, run_job(make_job(next)), net::detached);
            }
        }
        end_one();
    }

    /// Called when the arrivals or a request ended.
    void end_one()
    {
        --m_running;
        if (m_running == 0 && m_on_end)
        {
            m_on_end();
        }
    }

    load_account const& choose_account()
    {
        std::vector<double> weights;
        for (load_account const& account : m_options.m_accounts)
        {
            weights.push_back(account.m_weight);
        }
        return m_options.m_accounts[choose_weighted(weights)];
    }

    /// A class that the account may use.
    load_class const& choose_class(load_account const& account)
    {
        std::vector<double> weights;
        for (load_class const& work : m_options.m_classes)
        {
            bool const open = is_open_to(work, account.m_name);
            weights.push_back(open ? work.m_weight : 0.0);
        }
        return m_options.m_classes[choose_weighted(weights)];
    }

    std::size_t choose_weighted(std::vector<double> const& weights)
    {
        std::discrete_distribution<std::size_t> choice{
            weights.begin(), weights.end()};
        return choice(m_random);
    }

    job make_job(time_point arrival)
    {
        job work;
        work.m_account = &choose_account();
        work.m_class = &choose_class(*work.m_account);
        work.m_number = ++m_last_number;
        work.m_arrival = arrival;
        work.m_target = choose_target(work);
        work.m_request = make_request(work);
        return work;
    }

    /// With skew, an account uses few targets and moves between them.
    endpoint_address choose_target(job const& work)
    {
        auto const& targets = m_options.m_targets;
        std::size_t const used =
            m_options.m_skew == 0 ? targets.size()
                                  : std::min(m_options.m_skew, targets.size());
        std::uniform_int_distribution<std::size_t> index{0, used - 1};
        std::size_t const chosen = index(m_random);
        if (used == targets.size())
        {
            return targets[chosen];
        }
        auto const moves = m_options.m_move.count() == 0
                               ? 0
                               : (work.m_arrival - m_start) / m_options.m_move;
        std::mt19937_64 shuffle{
            m_options.m_seed + static_cast<std::uint64_t>(moves) * 1000 +
            std::hash<std::string>{}(work.m_account->m_name)};
        auto order = targets;
        std::ranges::shuffle(order, shuffle);
        return order[chosen];
    }

    load_request make_request(job const& work) const
    {
        auto const& account = *work.m_account;
        load_request request{
            http::string_to_verb(work.m_class->m_method),
            make_path(*work.m_class, account.m_name, work.m_number),
            11};
        request.set(http::field::host, work.m_target);
        if (!work.m_class->m_idempotent)
        {
            request.set("Idempotency-Key", make_uuid_v7(wall_now()));
        }
        if (work.m_class->m_body_bytes > 0)
        {
            request.set(http::field::content_type, "application/json");
            request.body() = make_body(work);
        }
        if (m_options.m_direct)
        {
            auto const deadline = wall_now() + m_options.m_timeout;
            request.set(account_field, account.m_name);
            request.set(
                request_id_field, fmt::format("load-{}", work.m_number));
            request.set(
                deadline_field,
                std::to_string(deadline.time_since_epoch().count()));
        }
        else
        {
            request.set(http::field::authorization, "Bearer " + account.m_key);
        }
        request.prepare_payload();
        return request;
    }

    net::awaitable<void> run_job(job work)
    {
        co_await enter();
        std::vector<try_end> tries;
        tries.push_back(co_await run_try(work));
        while (needs_retry(work, tries))
        {
            timer pause{m_io, retry_pause * tries.size()};
            co_await pause.async_wait(use_tuple);
            tries.push_back(co_await run_try(work));
        }
        leave();
        finish(work, tries);
        end_one();
    }

    /// A non-idempotent request that may have run is sent again with the same
    /// key, as a careful caller does.
    static bool needs_retry(job const& work, std::vector<try_end> const& tries)
    {
        try_end const& last = tries.back();
        bool const settled =
            last.m_result == load_result::ok ||
            last.m_result == load_result::wrong ||
            (last.m_result == load_result::refused && !last.m_may_have_run);
        return !work.m_class->m_idempotent && !settled &&
               tries.size() <= max_load_retries;
    }

    /// Waits until fewer than the permitted number of requests are in flight.
    net::awaitable<void> enter()
    {
        if (m_in_flight < m_options.m_connections)
        {
            ++m_in_flight;
            co_return;
        }
        timer wake_up{m_io, time_point::max()};
        m_waiting.push_back(&wake_up);
        // `leave` hands its place over.
        co_await wake_up.async_wait(use_tuple);
    }

    void leave()
    {
        if (m_waiting.empty())
        {
            --m_in_flight;
            return;
        }
        timer* const next = m_waiting.front();
        m_waiting.pop_front();
        next->cancel();
    }

    net::awaitable<try_end> run_try(job const& work)
    {
        upstream_connection_ptr connection = m_pool.acquire_idle(work.m_target);
        bool const connected = connection != nullptr;
        if (!connected)
        {
            connection = m_pool.make(work.m_target);
        }
        // The flag dies with this frame and tells a handler that was already
        // queued that the socket is no longer its business.
        auto const timed_out = std::make_shared<bool>(false);
        timer limit{m_io, m_options.m_timeout};
        limit.async_wait(
            [weak = std::weak_ptr{timed_out},
             socket = &connection->m_socket](error_code const& error)
            {
                auto const flag = weak.lock();
                if (!error && flag)
                {
                    *flag = true;
                    error_code ignored;
                    socket->close(ignored);
                }
            });
        try_end end = co_await exchange(work, *connection, connected);
        if (*timed_out)
        {
            end = {load_result::timeout, 0, true, {}};
        }
        if (end.m_detail.empty() && connection->m_socket.is_open())
        {
            m_pool.return_idle(std::move(connection));
        }
        co_return end;
    }

    net::awaitable<try_end>
    exchange(job const& work, upstream_connection& connection, bool connected)
    {
        auto& socket = connection.m_socket;
        if (!connected)
        {
            auto const endpoint = parse_endpoint(work.m_target);
            if (!endpoint)
            {
                co_return broken(
                    load_result::broken, net::error::invalid_argument);
            }
            auto [error] = co_await socket.async_connect(*endpoint, use_tuple);
            if (error)
            {
                co_return broken(load_result::broken, error);
            }
            socket.set_option(net::ip::tcp::no_delay{true}, error);
        }
        auto [write_error, written] =
            co_await http::async_write(socket, work.m_request, use_tuple);
        if (write_error)
        {
            co_return broken(load_result::broken, write_error);
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_answer_bytes);
        auto [error, bytes] = co_await http::async_read(
            socket, connection.m_buffer, parser, use_tuple);
        if (error)
        {
            co_return broken(
                parser.is_header_done() ? load_result::incomplete
                                        : load_result::broken,
                error);
        }
        if (!parser.keep_alive())
        {
            socket.close(error);
        }
        co_return judge(work, parser.get());
    }

    static try_end broken(load_result result, error_code const& error)
    {
        return {result, 0, true, error.message()};
    }

    void finish(job const& work, std::vector<try_end> const& tries)
    {
        try_end const& last = tries.back();
        load_sample sample;
        sample.m_class = work.m_class->m_name;
        sample.m_account = work.m_account->m_name;
        sample.m_offset = std::chrono::duration_cast<std::chrono::milliseconds>(
            work.m_arrival - m_start);
        sample.m_latency = runtime_clock::now() - work.m_arrival;
        sample.m_within_target =
            sample.m_latency <= work.m_class->m_latency_target;
        sample.m_result = last.m_result;
        sample.m_code = last.m_code;
        sample.m_retries = static_cast<unsigned>(tries.size()) - 1;
        m_report.add(sample);
        if (m_record != nullptr)
        {
            write_record(work, sample, tries);
        }
    }

    void write_record(
        job const& work,
        load_sample const& sample,
        std::vector<try_end> const& tries)
    {
        boost::json::array ends;
        for (try_end const& each : tries)
        {
            ends.push_back(boost::json::object{
                {"result", to_string(each.m_result)},
                {"code", each.m_code},
                {"may_have_run", each.m_may_have_run},
                {"detail", each.m_detail}});
        }
        std::chrono::duration<double, std::milli> const latency{
            sample.m_latency};
        boost::json::object const line{
            {"offset_ms", sample.m_offset.count()},
            {"latency_ms", latency.count()},
            {"class", sample.m_class},
            {"account", sample.m_account},
            {"target", work.m_target},
            {"method", std::string{work.m_request.method_string()}},
            {"path", std::string{work.m_request.target()}},
            {"idempotency_key", std::string{work.m_request["Idempotency-Key"]}},
            {"tries", std::move(ends)}};
        *m_record << boost::json::serialize(line) << '\n';
    }

    net::io_context& m_io;
    load_options m_options;
    std::ostream* m_record;
    connection_pool m_pool;
    std::mt19937_64 m_random;
    timer m_arrivals;
    time_point m_start{};
    bool m_stopped = false;
    std::function<void()> m_on_end;
    std::size_t m_running = 0; ///< the arrivals and unfinished requests
    std::uint64_t m_last_number = 0;
    std::size_t m_in_flight = 0;
    std::deque<timer*> m_waiting;
    load_report m_report;
};

load_client::load_client(
    net::io_context& io, load_options options, std::ostream* record)
    : m_implementation(
          std::make_unique<implementation>(io, std::move(options), record))
{
}

load_client::~load_client() = default;

void load_client::start(std::function<void()> on_end)
{
    m_implementation->m_on_end = std::move(on_end);
    net::co_spawn(
        m_implementation->m_io,
        m_implementation->run_arrivals(),
        net::detached);
}

void load_client::stop()
{
    m_implementation->m_stopped = true;
    m_implementation->m_arrivals.cancel();
}

load_report const& load_client::report() const
{
    return m_implementation->m_report;
}

} // namespace briarhub
