#ifndef BRIARHUB_PLATFORM_STAND_IN_HPP
#define BRIARHUB_PLATFORM_STAND_IN_HPP

/// The platform for tests: log streams in memory and a list of VMs, with
/// faults on command. Section 4 of docs/design.md has the protocol.
///
/// Faults (bodies are JSON objects; all times in ms):
///   POST /test/outage {"for_ms","mode":"refuse"|"hang"}  log and list requests
///        get 503, or no answer; none has an effect
///   POST /test/lose-answers {"count","stream"}  appends take effect and the
///        connection is closed; without "stream" in any stream
///   POST /test/delay {"ms"}  log requests wait before they take effect, also
///        if the client has closed the connection by then
///   POST /test/cut {"vm","for_ms","direction":"requests"|"answers"}  drops
///   what
///        the VM sends, or what is sent to it
///   POST /test/trim {"stream","before"}  forgets records before an offset
///   PUT  /test/vms  the body that GET /vms shows after the list lag
///   GET  /test/counters  requests received, appends, refused appends, reads

#include "clock.hpp"
#include "types.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace briarhub::stand_in
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

struct platform_options
{
    std::chrono::seconds m_retention{86400};
    std::uint64_t m_max_appends_per_second = 1000;
    std::chrono::milliseconds m_list_lag{0};
};

inline constexpr std::size_t max_record_bytes = 256 * 1024;

/// A read answer ends after the record that reaches this size.
inline constexpr std::size_t max_read_bytes = 1024 * 1024;

/// Serves on the thread that runs `io`; must live until `io` has stopped.
class platform_server
{
public:
    using tcp = asio::ip::tcp;

    platform_server(
        asio::io_context& io,
        tcp::endpoint const& listen,
        platform_options options)
        : m_io(io), m_acceptor(io, listen), m_options(options)
    {
        asio::co_spawn(io, accept_all(), asio::detached);
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    using request = http::request<http::string_body>;

    /// What is sent back; nothing if the request is dropped.
    struct answer
    {
        unsigned m_status = 200;
        json::value m_body{};
        bool m_close = false; ///< close the connection without an answer
        bool m_drop = false;  ///< no answer, the connection stays open
    };

    struct stream
    {
        log_offset m_first = 0;
        std::deque<log_record> m_records;
        std::set<timer*> m_waiting;

        [[nodiscard]] log_offset next() const
        {
            return m_first + m_records.size();
        }
    };

    struct listed
    {
        time_point m_shown_from{};
        json::value m_body;
    };

    static constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<void> accept_all()
    {
        for (;;)
        {
            auto [error, socket] =
                co_await m_acceptor.async_accept(awaitable_tuple);
            if (error)
            {
                co_return;
            }
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay{true}, ignored);
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::uint64_t{16} * max_record_bytes);
            auto const [read_error, size] = co_await http::async_read(
                socket, buffer, parser, awaitable_tuple);
            if (read_error)
            {
                co_return;
            }
            answer const result = co_await handle(parser.get());
            if (result.m_drop)
            {
                char byte = 0;
                co_await socket.async_read_some(
                    asio::buffer(&byte, 1), awaitable_tuple);
                co_return;
            }
            if (result.m_close)
            {
                co_return;
            }
            http::response<http::string_body> response{
                static_cast<http::status>(result.m_status), 11};
            response.set(http::field::content_type, "application/json");
            response.body() = json::serialize(result.m_body);
            response.keep_alive(parser.get().keep_alive());
            response.prepare_payload();
            auto const [write_error, written] =
                co_await http::async_write(socket, response, awaitable_tuple);
            if (write_error || !parser.get().keep_alive())
            {
                co_return;
            }
        }
    }

    static answer failure(unsigned status, std::string_view text)
    {
        return {status, json::object{{"error", text}}};
    }

    /// Test control is exempt from outages, cuts and delays.
    asio::awaitable<answer> handle(request const& received)
    {
        std::string const target{received.target()};
        if (target.starts_with("/test/"))
        {
            co_return control(received, target.substr(6));
        }
        ++m_received;
        std::string const vm{received["Briarhub-Vm"]};
        if (is_cut(vm, true))
        {
            co_return answer{0, {}, false, true};
        }
        if (m_delay.count() > 0 && target != "/vms")
        {
            timer pause{m_io, m_delay};
            co_await pause.async_wait(awaitable_tuple);
        }
        answer result = co_await serve_platform(received, target);
        result.m_drop = result.m_drop || is_cut(vm, false);
        co_return result;
    }

    asio::awaitable<answer>
    serve_platform(request const& received, std::string const& target)
    {
        if (in_outage())
        {
            co_return outage_answer();
        }
        if (target == "/vms")
        {
            co_return answer{200, shown_list()};
        }
        std::string_view const path =
            std::string_view{target}.substr(0, target.find('?'));
        constexpr std::string_view prefix = "/streams/";
        constexpr std::string_view suffix = "/records";
        if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
            path.size() <= prefix.size() + suffix.size())
        {
            co_return failure(404, "unknown path");
        }
        std::string const name{path.substr(
            prefix.size(), path.size() - prefix.size() - suffix.size())};
        if (received.method() == http::verb::post)
        {
            co_return append(name, received.body());
        }
        if (received.method() == http::verb::get)
        {
            co_return co_await read(name, target);
        }
        co_return failure(405, "unknown method");
    }

    answer append(std::string const& name, std::string const& body)
    {
        if (body.size() > max_record_bytes)
        {
            return failure(413, "record too large");
        }
        if (!is_utf8(body))
        {
            return failure(400, "record is not UTF-8");
        }
        if (!take_append_token())
        {
            ++m_refused;
            return failure(429, "too many appends");
        }
        stream& target = m_streams[name];
        log_offset const offset = target.next();
        target.m_records.push_back({offset, wall_now(), body});
        ++m_appends;
        wake(target);
        return {200, json::object{{"offset", offset}}, loses_answer(name)};
    }

    asio::awaitable<answer>
    read(std::string const& name, std::string const& target)
    {
        auto const from = parameter(target, "from").value_or(0);
        auto const limit = parameter(target, "limit").value_or(100);
        auto const wait_ms = parameter(target, "wait_ms").value_or(0);
        auto const until =
            runtime_clock::now() + std::chrono::milliseconds{wait_ms};
        ++m_reads;
        while (m_streams[name].next() <= from && runtime_clock::now() < until)
        {
            timer wait{m_io, until};
            m_streams[name].m_waiting.insert(&wait);
            co_await wait.async_wait(awaitable_tuple);
            m_streams[name].m_waiting.erase(&wait);
            if (in_outage())
            {
                co_return outage_answer();
            }
        }
        co_return answer{200, records_of(m_streams[name], from, limit)};
    }

    json::value
    records_of(stream& source, log_offset from, std::uint64_t limit) const
    {
        expire(source);
        json::array records;
        std::size_t bytes = 0;
        log_offset offset = std::max(from, source.m_first);
        while (offset < source.next() && records.size() < limit &&
               bytes < max_read_bytes)
        {
            log_record const& record =
                source.m_records[offset - source.m_first];
            records.push_back(json::object{
                {"offset", record.m_offset},
                {"at_ms", record.m_appended_at.time_since_epoch().count()},
                {"data", record.m_data}});
            bytes += record.m_data.size();
            ++offset;
        }
        return json::object{
            {"first", source.m_first},
            {"next", source.next()},
            {"records", std::move(records)}};
    }

    void expire(stream& source) const
    {
        wall_time const oldest = wall_now() - m_options.m_retention;
        while (!source.m_records.empty() &&
               source.m_records.front().m_appended_at < oldest)
        {
            source.m_records.pop_front();
            ++source.m_first;
        }
    }

    static void wake(stream& changed)
    {
        for (timer* const waiting : changed.m_waiting)
        {
            waiting->cancel();
        }
    }

    [[nodiscard]] bool in_outage() const
    {
        return runtime_clock::now() < m_outage_until;
    }

    [[nodiscard]] answer outage_answer() const
    {
        answer result = failure(503, "outage");
        result.m_drop = m_outage_hangs;
        return result;
    }

    [[nodiscard]] bool is_cut(std::string const& vm, bool requests) const
    {
        auto const found = m_cuts.find({vm, requests});
        return found != m_cuts.end() && runtime_clock::now() < found->second;
    }

    /// At most the limit within any second.
    bool take_append_token()
    {
        auto const now = runtime_clock::now();
        while (!m_append_times.empty() &&
               m_append_times.front() <= now - std::chrono::seconds{1})
        {
            m_append_times.pop_front();
        }
        if (m_append_times.size() >= m_options.m_max_appends_per_second)
        {
            return false;
        }
        m_append_times.push_back(now);
        return true;
    }

    bool loses_answer(std::string const& name)
    {
        if (m_answers_to_lose == 0 ||
            (!m_lossy_stream.empty() && m_lossy_stream != name))
        {
            return false;
        }
        --m_answers_to_lose;
        return true;
    }

    /// The newest list that is older than the lag.
    json::value shown_list()
    {
        auto const now = runtime_clock::now();
        while (m_lists.size() > 1 && m_lists[1].m_shown_from <= now)
        {
            m_lists.pop_front();
        }
        if (m_lists.empty() || m_lists.front().m_shown_from > now)
        {
            return json::object{{"vms", json::array{}}};
        }
        return m_lists.front().m_body;
    }

    static bool is_utf8(std::string const& text)
    {
        boost::system::error_code error;
        json::parse(json::serialize(json::string{text}), error);
        return !error;
    }

    static std::optional<std::uint64_t>
    parameter(std::string const& target, std::string const& name)
    {
        std::size_t at = target.find('?' + name + '=');
        at = at == std::string::npos ? target.find('&' + name + '=') : at;
        if (at == std::string::npos)
        {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        char const* const begin = target.data() + at + name.size() + 2;
        auto const parsed =
            std::from_chars(begin, target.data() + target.size(), value);
        return parsed.ec == std::errc{} ? std::optional{value} : std::nullopt;
    }

    static std::uint64_t number(
        json::object const& body,
        std::string_view name,
        std::uint64_t otherwise = 0)
    {
        json::value const* const value = body.if_contains(name);
        boost::system::error_code error;
        auto const result = value == nullptr
                                ? otherwise
                                : value->to_number<std::uint64_t>(error);
        return error ? otherwise : result;
    }

    static std::string text(json::object const& body, std::string_view name)
    {
        json::value const* const value = body.if_contains(name);
        return value != nullptr && value->is_string()
                   ? std::string{value->get_string()}
                   : std::string{};
    }

    static time_point after(json::object const& body)
    {
        return runtime_clock::now() +
               std::chrono::milliseconds{number(body, "for_ms")};
    }

    answer control(request const& received, std::string const& command)
    {
        if (command == "counters")
        {
            return {
                200,
                json::object{
                    {"received", m_received},
                    {"appends", m_appends},
                    {"refused", m_refused},
                    {"reads", m_reads}}};
        }
        boost::system::error_code error;
        json::value const parsed = json::parse(received.body(), error);
        if (error || !parsed.is_object())
        {
            return failure(400, "the body is not a JSON object");
        }
        json::object const& body = parsed.get_object();
        if (command == "vms")
        {
            m_lists.push_back(
                {runtime_clock::now() + m_options.m_list_lag, parsed});
            return {200, json::object{}};
        }
        return run_command(command, body) ? answer{200, json::object{}}
                                          : failure(404, "unknown command");
    }

    bool run_command(std::string const& command, json::object const& body)
    {
        if (command == "outage")
        {
            m_outage_until = after(body);
            m_outage_hangs = text(body, "mode") == "hang";
            for (auto& [name, changed] : m_streams)
            {
                wake(changed);
            }
        }
        else if (command == "lose-answers")
        {
            m_answers_to_lose = number(body, "count");
            m_lossy_stream = text(body, "stream");
        }
        else if (command == "delay")
        {
            m_delay = std::chrono::milliseconds{number(body, "ms")};
        }
        else if (command == "cut")
        {
            bool const requests = text(body, "direction") != "answers";
            m_cuts[{text(body, "vm"), requests}] = after(body);
        }
        else if (command == "trim")
        {
            stream& target = m_streams[text(body, "stream")];
            while (!target.m_records.empty() &&
                   target.m_first < number(body, "before"))
            {
                target.m_records.pop_front();
                ++target.m_first;
            }
        }
        else
        {
            return false;
        }
        return true;
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    platform_options m_options;
    std::map<std::string, stream> m_streams;
    std::deque<listed> m_lists;
    std::deque<time_point> m_append_times;
    /// End of each cut, by VM and whether it drops requests or answers.
    std::map<std::pair<std::string, bool>, time_point> m_cuts;
    time_point m_outage_until{};
    bool m_outage_hangs = false;
    std::uint64_t m_answers_to_lose = 0;
    std::string m_lossy_stream;
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_received = 0; ///< requests but those of test control
    std::uint64_t m_appends = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_reads = 0;
};

} // namespace briarhub::stand_in

#endif
