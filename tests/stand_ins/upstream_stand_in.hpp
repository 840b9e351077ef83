#ifndef BRIARHUB_TESTS_UPSTREAM_STAND_IN_HPP
#define BRIARHUB_TESTS_UPSTREAM_STAND_IN_HPP

/// A small upstream with slots, load reports and faults on command. Its times
/// follow `runtime_clock`, so tests can pause them.

#include "clock.hpp"
#include "content_digest.hpp"
#include "upstream_archive.hpp"
#include "upstream_client.hpp"
#include "upstream_fault.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace briarhub::stand_ins
{

struct upstream_options
{
    std::string m_id = "upstream";
    std::string m_service = "service";
    std::uint32_t m_slots = 2;
    std::chrono::milliseconds m_service_time{0};
    std::chrono::milliseconds m_jitter{0};
    std::chrono::milliseconds m_cold_start{0};
    std::chrono::milliseconds m_load_lag{0};
    std::size_t m_archive_bytes = 256 * 1024;
    std::uint64_t m_seed = 1;
};

/// A request that began to run.
struct run_record
{
    std::string m_request_id;
    std::string m_account;
    std::string m_method;
    std::string m_path;
    std::string m_idempotency_key;
    /// Fields that look like a caller's key.
    std::vector<std::string> m_credentials;
    std::int64_t m_start_ms = 0; ///< Unix time
    std::int64_t m_end_ms = 0;   ///< Unix time; 0: not ended
};

struct upstream_stats
{
    std::uint64_t m_received = 0;
    std::uint64_t m_begun = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_refused = 0;   ///< 503 with Upstream-Not-Run
    std::uint64_t m_cancelled = 0; ///< connection closed before it began
    std::uint64_t m_crashes = 0;
    std::uint64_t m_connections = 0;
    std::uint32_t m_max_in_use = 0;
};

class upstream_stand_in
{
public:
    using tcp = boost::asio::ip::tcp;
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;
    using response =
        boost::beast::http::response<boost::beast::http::string_body>;

    /// Binds at once; throws boost::system::system_error.
    upstream_stand_in(
        boost::asio::io_context& io,
        upstream_options options,
        tcp::endpoint const& endpoint)
        : m_io(io), m_options(std::move(options)), m_acceptor(io, endpoint),
          m_endpoint(m_acceptor.local_endpoint()), m_reopen(io),
          m_random(m_options.m_seed), m_started(runtime_clock::now())
    {
        accept_next();
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return m_endpoint;
    }

    [[nodiscard]] std::vector<run_record> const& runs() const
    {
        return m_runs;
    }

    [[nodiscard]] upstream_stats const& stats() const
    {
        return m_stats;
    }

    void set_fault(fault_command command)
    {
        m_fault = std::move(command);
        m_fault_since = runtime_clock::now();
    }

    void drain()
    {
        m_draining = true;
    }

    /// Resets all connections and refuses new ones.
    void stop()
    {
        m_acceptor.close();
        for (session* each : m_sessions)
        {
            reset(*each);
        }
    }

    /// Stops and starts again after a while.
    void crash()
    {
        ++m_stats.m_crashes;
        stop();
        m_reopen.expires_after(crash_downtime);
        m_reopen.async_wait(
            [this](auto const& error)
            {
                if (!error)
                {
                    m_acceptor = tcp::acceptor{m_io, m_endpoint};
                    m_started = runtime_clock::now();
                    accept_next();
                }
            });
    }

private:
    static constexpr std::chrono::seconds crash_downtime{2};
    static constexpr std::chrono::milliseconds health_time{25};
    /// How long a crossed answer waits for another one to swap with.
    static constexpr std::chrono::milliseconds crossing_wait{100};
    static constexpr std::uint64_t max_request_bytes = 1024 * 1024;
    static constexpr auto use_tuple =
        boost::asio::as_tuple(boost::asio::use_awaitable);

    /// Shared by its coroutine and the handler that watches for a close.
    struct session
    {
        explicit session(tcp::socket socket)
            : m_socket(std::move(socket)), m_timer(m_socket.get_executor())
        {
        }

        tcp::socket m_socket;
        boost::beast::flat_buffer m_buffer;
        timer m_timer;
        bool m_closed = false;
        bool m_has_slot = false;
        response* m_parked = nullptr; ///< answer that may be swapped
    };
    using session_ptr = std::shared_ptr<session>;

    /// Holds a slot. The frames of unfinished coroutines may be destroyed
    /// after the stand-in.
    struct slot_guard
    {
        explicit slot_guard(upstream_stand_in& owner)
            : m_owner(owner), m_alive(owner.m_alive)
        {
        }
        ~slot_guard()
        {
            if (!m_alive.expired())
            {
                m_owner.release_slot();
            }
        }
        slot_guard(slot_guard const&) = delete;
        slot_guard& operator=(slot_guard const&) = delete;

        upstream_stand_in& m_owner;
        std::weak_ptr<bool> m_alive;
    };

    void accept_next()
    {
        m_acceptor.async_accept(
            [this](auto const& error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                ++m_stats.m_connections;
                auto connection = std::make_shared<session>(std::move(socket));
                boost::asio::co_spawn(
                    m_io, serve(std::move(connection)), boost::asio::detached);
                accept_next();
            });
    }

    static void reset(session& connection)
    {
        boost::system::error_code ignored;
        connection.m_closed = true;
        connection.m_socket.set_option(
            boost::asio::socket_base::linger{true, 0}, ignored);
        connection.m_socket.close(ignored);
        connection.m_timer.cancel();
    }

    boost::asio::awaitable<void> serve(session_ptr connection)
    {
        boost::system::error_code ignored;
        connection->m_socket.set_option(tcp::no_delay{true}, ignored);
        m_sessions.insert(connection.get());
        while (!connection->m_closed)
        {
            boost::beast::http::request_parser<boost::beast::http::string_body>
                parser;
            parser.body_limit(max_request_bytes);
            auto [error, bytes] = co_await boost::beast::http::async_read(
                connection->m_socket, connection->m_buffer, parser, use_tuple);
            if (error)
            {
                break;
            }
            request const message = parser.release();
            co_await handle(connection, message);
            if (!message.keep_alive())
            {
                break;
            }
        }
        m_sessions.erase(connection.get());
        connection->m_socket.close(ignored);
    }

    boost::asio::awaitable<void>
    handle(session_ptr const& connection, request const& message)
    {
        if (message.target().starts_with("/test/"))
        {
            response answer = answer_test(message);
            co_await write(*connection, answer);
        }
        else if (message.target() == "/health")
        {
            co_await sleep(*connection, health_time);
            response answer = make_answer(message, health_status(), "{}");
            co_await write(*connection, answer);
        }
        else
        {
            ++m_stats.m_received;
            watch_for_close(connection);
            co_await handle_work(*connection, message);
        }
    }

    /// Marks the session closed when the caller closes the connection while
    /// its request waits or runs.
    static void watch_for_close(session_ptr const& connection)
    {
        connection->m_socket.async_wait(
            tcp::socket::wait_read,
            [connection](auto const& error)
            {
                if (error || !connection->m_socket.is_open())
                {
                    return;
                }
                char byte = 0;
                boost::system::error_code peeked;
                connection->m_socket.non_blocking(true, peeked);
                connection->m_socket.receive(
                    boost::asio::buffer(&byte, 1),
                    boost::asio::socket_base::message_peek,
                    peeked);
                if (peeked && peeked != boost::asio::error::would_block)
                {
                    connection->m_closed = true;
                    connection->m_timer.cancel();
                }
            });
    }

    boost::asio::awaitable<void>
    handle_work(session& connection, request const& message)
    {
        if (is_crash_request(message))
        {
            begin_run(message);
            crash();
            co_return;
        }
        fault_kind const fault = choose_fault();
        if (!co_await obtain_slot(connection, message))
        {
            co_return;
        }
        slot_guard const guard{*this};
        std::size_t const run = begin_run(message);
        if (fault == fault_kind::hang)
        {
            co_await wait_for_close(connection);
            co_return;
        }
        co_await work(connection, work_time(fault));
        if (connection.m_closed && !connection.m_socket.is_open())
        {
            co_return; // crashed
        }
        m_runs[run].m_end_ms = wall_now().time_since_epoch().count();
        ++m_stats.m_finished;
        co_await answer_work(connection, message, fault);
    }

    boost::asio::awaitable<void>
    answer_work(session& connection, request const& message, fault_kind fault)
    {
        response answer = make_work_answer(message);
        switch (fault)
        {
        case fault_kind::error:
            answer = make_answer(
                message,
                boost::beast::http::status::internal_server_error,
                R"({"error":"fault"})");
            break;
        case fault_kind::wrong:
            answer.set(request_id_field, other_request_id(message));
            break;
        case fault_kind::crossed:
            co_await cross(connection, answer);
            break;
        case fault_kind::late:
            co_await work(connection, time_left(message) + m_fault.m_period);
            break;
        case fault_kind::reset_after:
            reset(connection);
            co_return;
        case fault_kind::truncate:
            co_await write_half(connection, answer);
            co_return;
        case fault_kind::digest:
            answer.body().back() ^= 1;
            break;
        default:
            break;
        }
        m_other_request_id = message[request_id_field];
        co_await write(connection, answer);
    }

    /// The id of the request before this one, or an invented one.
    [[nodiscard]] std::string other_request_id(request const& message) const
    {
        return message[request_id_field] == m_other_request_id
                   ? "another-request"
                   : m_other_request_id;
    }

    // Slots.

    /// Takes a slot, waits for one in a short queue, or refuses.
    boost::asio::awaitable<bool>
    obtain_slot(session& connection, request const& message)
    {
        auto const end = runtime_clock::now() + time_left(message);
        bool const full = m_waiting.size() >= m_options.m_slots;
        if (end <= runtime_clock::now() ||
            (m_in_use >= m_options.m_slots && full))
        {
            co_await refuse(connection, message);
            co_return false;
        }
        if (m_in_use < m_options.m_slots)
        {
            take_slot();
            co_return true;
        }
        connection.m_has_slot = false;
        m_waiting.push_back(&connection);
        connection.m_timer.expires_at(end);
        co_await connection.m_timer.async_wait(use_tuple);
        std::erase(m_waiting, &connection);
        if (connection.m_closed)
        {
            ++m_stats.m_cancelled;
            if (connection.m_has_slot)
            {
                release_slot();
            }
            co_return false;
        }
        if (!connection.m_has_slot)
        {
            co_await refuse(connection, message);
        }
        co_return connection.m_has_slot;
    }

    void take_slot()
    {
        ++m_in_use;
        m_stats.m_max_in_use = std::max(m_stats.m_max_in_use, m_in_use);
    }

    void release_slot()
    {
        --m_in_use;
        if (m_waiting.empty())
        {
            return;
        }
        session* const next = m_waiting.front();
        m_waiting.pop_front();
        next->m_has_slot = true;
        take_slot();
        next->m_timer.cancel();
    }

    boost::asio::awaitable<void>
    refuse(session& connection, request const& message)
    {
        ++m_stats.m_refused;
        response answer = make_answer(
            message, boost::beast::http::status::service_unavailable, "{}");
        answer.set(upstream_not_run_field, "1");
        co_await write(connection, answer);
    }

    // Time.

    static duration time_left(request const& message)
    {
        constexpr std::chrono::hours no_deadline{24};
        std::string const field{message[deadline_field]};
        if (field.empty())
        {
            return no_deadline;
        }
        wall_time const deadline{std::chrono::milliseconds{
            std::strtoll(field.c_str(), nullptr, 10)}};
        return deadline - wall_now();
    }

    duration work_time(fault_kind fault)
    {
        std::uniform_real_distribution<double> spread{-1.0, 1.0};
        std::chrono::duration<double, std::milli> time{
            static_cast<double>(m_options.m_service_time.count()) +
            spread(m_random) * static_cast<double>(m_options.m_jitter.count())};
        bool const starting =
            runtime_clock::now() - m_started < m_options.m_cold_start;
        if (starting || fault == fault_kind::slow || fault == fault_kind::cold)
        {
            time *= m_fault.m_factor;
        }
        return std::max(
            duration::zero(), std::chrono::duration_cast<duration>(time));
    }

    /// Work that began goes on after the connection was closed by the caller.
    static boost::asio::awaitable<void> work(session& connection, duration time)
    {
        auto const end = runtime_clock::now() + time;
        while (runtime_clock::now() < end && connection.m_socket.is_open())
        {
            connection.m_timer.expires_at(end);
            co_await connection.m_timer.async_wait(use_tuple);
        }
    }

    static boost::asio::awaitable<void>
    sleep(session& connection, duration time)
    {
        connection.m_timer.expires_after(time);
        co_await connection.m_timer.async_wait(use_tuple);
    }

    static boost::asio::awaitable<void> wait_for_close(session& connection)
    {
        while (!connection.m_closed)
        {
            connection.m_timer.expires_at(time_point::max());
            co_await connection.m_timer.async_wait(use_tuple);
        }
    }

    // Faults.

    [[nodiscard]] bool is_crash_request(request const& message) const
    {
        std::string_view const text = m_fault.m_crash_on;
        return !text.empty() &&
               (message.target().find(text) != std::string_view::npos ||
                message.body().find(text) != std::string::npos);
    }

    /// The fault that the next request meets.
    fault_kind choose_fault()
    {
        auto const age = runtime_clock::now() - m_fault_since;
        if (m_fault.m_for && age >= *m_fault.m_for)
        {
            return fault_kind::none;
        }
        std::uniform_real_distribution<double> chance;
        if (m_fault.m_share < 1.0 && chance(m_random) >= m_fault.m_share)
        {
            return fault_kind::none;
        }
        if (m_fault.m_kind != fault_kind::flap)
        {
            return m_fault.m_kind;
        }
        bool const bad = (age / m_fault.m_period) % 2 == 0;
        return bad ? fault_kind::error : fault_kind::none;
    }

    /// Swaps the answer with that of another request that is about to be
    /// answered: in half of the cases the whole message, else the body only.
    boost::asio::awaitable<void> cross(session& connection, response& answer)
    {
        if (m_parked != nullptr)
        {
            session* const other = std::exchange(m_parked, nullptr);
            std::swap(answer, *other->m_parked);
            if (std::bernoulli_distribution{0.5}(m_random))
            {
                std::swap(answer.base(), other->m_parked->base());
                answer.prepare_payload();
                other->m_parked->prepare_payload();
            }
            other->m_parked = nullptr;
            other->m_timer.cancel();
            co_return;
        }
        m_parked = &connection;
        connection.m_parked = &answer;
        co_await sleep(connection, crossing_wait);
        if (m_parked == &connection)
        {
            m_parked = nullptr;
        }
        connection.m_parked = nullptr;
    }

    /// Sends the head with the whole length and half of the body.
    static boost::asio::awaitable<void>
    write_half(session& connection, response const& answer)
    {
        std::ostringstream text;
        text << answer;
        std::string data = text.str();
        data.resize(data.size() - (answer.body().size() + 1) / 2);
        co_await boost::asio::async_write(
            connection.m_socket, boost::asio::buffer(data), use_tuple);
        boost::system::error_code ignored;
        connection.m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        connection.m_closed = true;
    }

    // Answers.

    std::size_t begin_run(request const& message)
    {
        ++m_stats.m_begun;
        run_record run;
        run.m_request_id = message[request_id_field];
        run.m_account = message[account_field];
        run.m_method = message.method_string();
        run.m_path = message.target();
        run.m_idempotency_key = message["Idempotency-Key"];
        run.m_start_ms = wall_now().time_since_epoch().count();
        for (auto const& field : message)
        {
            if (is_credential(field.name_string()))
            {
                run.m_credentials.push_back(
                    std::string{field.name_string()} + ": " +
                    std::string{field.value()});
            }
        }
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }

    static bool is_credential(std::string_view field_name)
    {
        std::string const name =
            boost::algorithm::to_lower_copy(std::string{field_name});
        if (name == "idempotency-key")
        {
            return false;
        }
        for (char const* part : {"key", "auth", "token", "cookie", "secret"})
        {
            if (name.find(part) != std::string::npos)
            {
                return true;
            }
        }
        return false;
    }

    response make_work_answer(request const& message)
    {
        if (is_archive_path(message.target()))
        {
            return make_archive_answer(message);
        }
        sha256_hasher body_digest;
        body_digest.update(message.body());
        boost::json::object const body{
            {"upstream", m_options.m_id},
            {"service", m_options.m_service},
            {"request_id", std::string{message[request_id_field]}},
            {"account", std::string{message[account_field]}},
            {"method", std::string{message.method_string()}},
            {"path", std::string{message.target()}},
            {"idempotency_key", std::string{message["Idempotency-Key"]}},
            {"body_sha256", body_digest.hex()}};
        return make_answer(
            message,
            boost::beast::http::status::ok,
            boost::json::serialize(body));
    }

    response make_archive_answer(request const& message)
    {
        namespace http = boost::beast::http;
        std::string content = make_archive(
            std::string{message[account_field]},
            std::string{message.target()},
            m_options.m_archive_bytes);
        sha256_hasher digest;
        digest.update(content);
        std::string const tag = '"' + digest.hex() + '"';
        std::size_t const length = content.size();
        auto const range = parse_range(message[http::field::range], length);
        auto const if_range = message[http::field::if_range];
        bool const partial = range && (if_range.empty() || if_range == tag);
        if (partial)
        {
            auto const [first, last] = *range;
            content = content.substr(first, last - first + 1);
        }
        response answer = make_answer(
            message,
            partial ? http::status::partial_content : http::status::ok,
            std::move(content));
        answer.set(http::field::content_type, "application/octet-stream");
        answer.set(http::field::accept_ranges, "bytes");
        answer.set(http::field::etag, tag);
        answer.set(http::field::digest, "sha-256=" + digest.base64());
        if (partial)
        {
            answer.set(
                http::field::content_range,
                fmt::format(
                    "bytes {}-{}/{}", range->first, range->second, length));
        }
        return answer;
    }

    response make_answer(
        request const& message,
        boost::beast::http::status status,
        std::string body)
    {
        namespace http = boost::beast::http;
        response answer{status, message.version()};
        if (message.count(request_id_field) > 0)
        {
            answer.set(request_id_field, message[request_id_field]);
        }
        answer.set(http::field::content_type, "application/json");
        answer.set(http::field::digest, "sha-256=" + sha256_base64(body));
        answer.set(upstream_load_field, load_text());
        if (m_draining)
        {
            answer.set(upstream_draining_field, "1");
        }
        answer.keep_alive(message.keep_alive());
        answer.body() = std::move(body);
        answer.prepare_payload();
        return answer;
    }

    std::string load_text()
    {
        auto const now = runtime_clock::now();
        if (now - m_load_sampled >= m_options.m_load_lag)
        {
            m_load_sampled = now;
            m_load_sample = m_in_use;
        }
        bool const misleads = m_fault.m_kind == fault_kind::misleading_health;
        return fmt::format(
            "{}/{}",
            misleads ? m_options.m_slots : m_load_sample,
            m_options.m_slots);
    }

    /// Health says `ok` under every other fault.
    [[nodiscard]] boost::beast::http::status health_status() const
    {
        return m_fault.m_kind == fault_kind::misleading_health
                   ? boost::beast::http::status::service_unavailable
                   : boost::beast::http::status::ok;
    }

    static boost::asio::awaitable<void>
    write(session& connection, response& answer)
    {
        auto [error, bytes] = co_await boost::beast::http::async_write(
            connection.m_socket, answer, use_tuple);
        if (error)
        {
            connection.m_closed = true;
        }
    }

    // Commands.

    response answer_test(request const& message)
    {
        using boost::beast::http::status;
        if (message.target() == "/test/fault")
        {
            boost::system::error_code error;
            auto const body = boost::json::parse(message.body(), error);
            auto const command = error ? std::nullopt : parse_fault(body);
            if (!command)
            {
                return make_answer(message, status::bad_request, "{}");
            }
            set_fault(*command);
            return make_answer(message, status::ok, "{}");
        }
        if (message.target() == "/test/drain")
        {
            drain();
            return make_answer(message, status::ok, "{}");
        }
        if (message.target() == "/test/runs")
        {
            return make_answer(message, status::ok, runs_text());
        }
        if (message.target() == "/test/stats")
        {
            return make_answer(message, status::ok, stats_text());
        }
        return make_answer(message, status::not_found, "{}");
    }

    [[nodiscard]] std::string runs_text() const
    {
        boost::json::array list;
        for (run_record const& run : m_runs)
        {
            list.push_back(boost::json::object{
                {"request_id", run.m_request_id},
                {"account", run.m_account},
                {"method", run.m_method},
                {"path", run.m_path},
                {"idempotency_key", run.m_idempotency_key},
                {"credentials", boost::json::value_from(run.m_credentials)},
                {"start_ms", run.m_start_ms},
                {"end_ms", run.m_end_ms}});
        }
        return boost::json::serialize(list);
    }

    [[nodiscard]] std::string stats_text() const
    {
        return boost::json::serialize(boost::json::object{
            {"id", m_options.m_id},
            {"service", m_options.m_service},
            {"received", m_stats.m_received},
            {"begun", m_stats.m_begun},
            {"finished", m_stats.m_finished},
            {"refused", m_stats.m_refused},
            {"cancelled", m_stats.m_cancelled},
            {"crashes", m_stats.m_crashes},
            {"connections", m_stats.m_connections},
            {"open_connections", m_sessions.size()},
            {"max_in_use", m_stats.m_max_in_use},
            {"in_use", m_in_use},
            {"draining", m_draining}});
    }

    boost::asio::io_context& m_io;
    upstream_options m_options;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    timer m_reopen;
    std::mt19937_64 m_random;
    time_point m_started;

    std::set<session*> m_sessions;
    std::uint32_t m_in_use = 0;
    std::deque<session*> m_waiting;
    std::uint32_t m_load_sample = 0;
    time_point m_load_sampled{};
    bool m_draining = false;

    fault_command m_fault;
    time_point m_fault_since{};
    session* m_parked = nullptr;
    std::string m_other_request_id;

    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<run_record> m_runs;
    upstream_stats m_stats;
};

} // namespace briarhub::stand_ins

#endif
