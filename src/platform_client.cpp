#include "platform_client.hpp"

#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);

/// Each concurrent long poll or append needs its own connection.
constexpr std::size_t max_idle_connections = 4;

/// Size limit of a response from the platform.
constexpr std::uint64_t max_response_bytes = 64ULL * 1024 * 1024;

constexpr auto vm_header = "Briarhub-Vm";

/// A keep-alive connection, used by one exchange at a time.
struct connection
{
    explicit connection(asio::io_context& io) : m_socket(io), m_timer(io)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    tcp::socket m_socket;
    timer m_timer;
    boost::beast::flat_buffer m_buffer;
    /// Identifies the current timeout, so that a handler of an earlier one that
    /// is already queued does not close the connection during a later exchange.
    std::uint64_t m_timeout_id = 0;
};

/// Closes the connection at the timeout, which ends the operation in progress.
void start_timeout(
    std::shared_ptr<connection> const& active, std::chrono::milliseconds limit)
{
    std::uint64_t const id = ++active->m_timeout_id;
    active->m_timer.expires_after(limit);
    active->m_timer.async_wait(
        [active, id](boost::system::error_code error)
        {
            if (!error && active->m_timeout_id == id)
            {
                active->close();
            }
        });
}

void cancel_timeout(connection& active)
{
    ++active.m_timeout_id;
    active.m_timer.cancel();
}

/// True if the platform closed the idle connection or sent unexpected bytes on
/// it. Checked before reuse: a request written to a closed connection would
/// count as possibly received.
bool is_stale(connection& idle)
{
    boost::system::error_code error;
    idle.m_socket.non_blocking(true, error);
    if (error || idle.m_buffer.size() != 0)
    {
        return true;
    }
    char byte = 0;
    idle.m_socket.receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

/// The stage that an exchange reached.
enum class progress
{
    not_sent, ///< no byte of the request was written
    sent,     ///< the platform may have received the request
    response_received
};

struct exchange_result
{
    progress m_progress = progress::not_sent;
    unsigned m_status = 0;
    std::string m_body;
    std::string m_message; ///< description of the failure
};

using request_message = http::request<http::string_body>;

/// The number in a JSON field, or nullopt if it is missing or has another type.
std::optional<std::uint64_t>
get_number(json::object const& object, std::string_view name)
{
    json::value const* const value = object.if_contains(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto const number = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional{number};
}

/// The string in a JSON field, or nullopt if it is missing or has another type.
std::optional<std::string>
get_text(json::object const& object, std::string_view name)
{
    json::value const* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        return std::nullopt;
    }
    return std::string{value->get_string()};
}

std::optional<json::object> parse_object(std::string const& text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
    {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

json::array const* get_array(json::object const& object, std::string_view name)
{
    json::value const* const value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_array();
}

std::optional<log_record> parse_log_record(json::value const& value)
{
    json::object const* const object = value.if_object();
    if (object == nullptr)
    {
        return std::nullopt;
    }
    auto const offset = get_number(*object, "offset");
    auto const at = get_number(*object, "at_ms");
    auto data = get_text(*object, "data");
    if (!offset || !at || !data)
    {
        return std::nullopt;
    }
    wall_time const appended{std::chrono::milliseconds{*at}};
    return log_record{*offset, appended, std::move(*data)};
}

std::optional<log_read_result> parse_log_read_result(std::string const& text)
{
    auto const object = parse_object(text);
    if (!object)
    {
        return std::nullopt;
    }
    auto const first = get_number(*object, "first");
    auto const next = get_number(*object, "next");
    json::array const* const records = get_array(*object, "records");
    if (!first || !next || records == nullptr)
    {
        return std::nullopt;
    }
    log_read_result result{*first, *next, {}};
    for (json::value const& value : *records)
    {
        auto record = parse_log_record(value);
        if (!record)
        {
            return std::nullopt;
        }
        result.m_records.push_back(std::move(*record));
    }
    return result;
}

std::optional<vm_state> parse_vm_state(json::object const& object)
{
    auto const text = get_text(object, "state");
    if (text == "live")
    {
        return vm_state::live;
    }
    return text == "leaving" ? std::optional{vm_state::leaving} : std::nullopt;
}

bool add_vm(vm_list& list, json::object const& object)
{
    auto const role = get_text(object, "role");
    auto const id = get_text(object, "id");
    auto const domain = get_text(object, "failure_domain");
    auto const address = get_text(object, "address");
    auto const state = parse_vm_state(object);
    if (!role || !id || !domain || !address || !state)
    {
        return false;
    }
    if (*role == "entry")
    {
        list.m_entries.push_back(
            {*id,
             *domain,
             get_text(object, "region").value_or(""),
             *address,
             get_text(object, "peer_address").value_or(""),
             *state});
        return true;
    }
    auto const service = get_text(object, "service");
    auto const slots = get_number(object, "slots");
    if (*role != "upstream" || !service || !slots)
    {
        return false;
    }
    auto const slot_count = static_cast<std::uint32_t>(*slots);
    list.m_upstreams.push_back(
        {*id, *service, *domain, *address, *state, slot_count});
    return true;
}

std::optional<vm_list> parse_vm_list(std::string const& text)
{
    auto const object = parse_object(text);
    json::array const* const vms = object ? get_array(*object, "vms") : nullptr;
    if (vms == nullptr)
    {
        return std::nullopt;
    }
    vm_list list;
    for (json::value const& value : *vms)
    {
        json::object const* const vm = value.if_object();
        if (vm == nullptr || !add_vm(list, *vm))
        {
            return std::nullopt;
        }
    }
    return list;
}

std::optional<log_offset> parse_offset(std::string const& text)
{
    auto const object = parse_object(text);
    return object ? get_number(*object, "offset") : std::nullopt;
}

/// True for statuses with which the platform refuses a request before an append
/// takes effect.
bool is_refusal(unsigned status)
{
    return status == 503 || (status >= 400 && status < 500);
}

platform_error to_error(exchange_result const& result)
{
    if (result.m_progress != progress::response_received)
    {
        return {result_code::log_unavailable, result.m_message};
    }
    auto const code = result.m_status == 429 ? result_code::log_rate_limited
                                             : result_code::log_unavailable;
    std::string const status = std::to_string(result.m_status);
    return {code, "the platform answered with status " + status};
}

platform_error to_append_error(exchange_result const& result)
{
    platform_error error = to_error(result);
    bool const sent = result.m_progress != progress::not_sent;
    bool const refused = result.m_progress == progress::response_received &&
                         is_refusal(result.m_status);
    if (sent && !refused)
    {
        error.m_code = result_code::log_append_unknown;
    }
    return error;
}

platform_error unparsable_response()
{
    return {
        result_code::log_unavailable, "the platform's answer cannot be parsed"};
}

/// The state of a client. Operations in progress share its ownership.
struct client_state
{
    client_state(
        asio::io_context& io,
        endpoint_address address,
        std::chrono::milliseconds timeout,
        vm_id vm)
        : m_io(io), m_address(std::move(address)),
          m_endpoint(parse_endpoint(m_address)), m_timeout(timeout),
          m_vm(std::move(vm))
    {
    }

    asio::io_context& m_io;
    endpoint_address m_address;
    std::optional<tcp::endpoint> m_endpoint;
    std::chrono::milliseconds m_timeout;
    vm_id m_vm;
    std::vector<std::shared_ptr<connection>> m_idle;
    std::vector<std::weak_ptr<connection>> m_in_use;
    bool m_closed = false;
};

using state_pointer = std::shared_ptr<client_state>;

request_message make_request(
    client_state const& state, http::verb method, std::string const& target)
{
    request_message request{method, target, 11};
    request.set(http::field::host, state.m_address);
    if (!state.m_vm.empty())
    {
        request.set(vm_header, state.m_vm);
    }
    return request;
}

/// Removes an open connection from the idle pool; null if there is none.
std::shared_ptr<connection> acquire_idle_connection(client_state& state)
{
    while (!state.m_idle.empty())
    {
        auto candidate = std::move(state.m_idle.back());
        state.m_idle.pop_back();
        if (!is_stale(*candidate))
        {
            return candidate;
        }
    }
    return nullptr;
}

void add_in_use(client_state& state, std::shared_ptr<connection> const& active)
{
    std::erase_if(
        state.m_in_use,
        [](auto const& entry)
        {
            return entry.expired();
        });
    state.m_in_use.push_back(active);
}

void release_connection(client_state& state, std::shared_ptr<connection> active)
{
    std::erase_if(
        state.m_in_use,
        [&](auto const& entry)
        {
            return entry.lock() == active;
        });
    if (!state.m_closed && state.m_idle.size() < max_idle_connections)
    {
        state.m_idle.push_back(std::move(active));
    }
}

exchange_result make_failure(progress reached, std::string message)
{
    return {reached, 0, {}, std::move(message)};
}

/// Writes the request and reads the response. The timeout of the connection has
/// been started.
asio::awaitable<exchange_result> send_and_receive(
    connection& active, request_message& request, bool& is_reusable)
{
    auto const [write_error, written] =
        co_await http::async_write(active.m_socket, request, awaitable_tuple);
    if (write_error)
    {
        co_return make_failure(progress::sent, write_error.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    auto const [read_error, read] = co_await http::async_read(
        active.m_socket, active.m_buffer, parser, awaitable_tuple);
    if (read_error)
    {
        co_return make_failure(progress::sent, read_error.message());
    }
    is_reusable = parser.get().keep_alive();
    co_return exchange_result{
        progress::response_received,
        parser.get().result_int(),
        std::move(parser.get().body()),
        {}};
}

/// Sends one request and receives its response on a pooled or new connection.
/// `limit` is the timeout of the whole exchange.
asio::awaitable<exchange_result> exchange(
    state_pointer state,
    request_message request,
    std::chrono::milliseconds limit)
{
    if (state->m_closed || !state->m_endpoint)
    {
        co_return make_failure(progress::not_sent, "no platform address");
    }
    request.prepare_payload();
    auto active = acquire_idle_connection(*state);
    bool const connected = active != nullptr;
    if (!connected)
    {
        active = std::make_shared<connection>(state->m_io);
    }
    add_in_use(*state, active);
    start_timeout(active, limit);
    if (!connected)
    {
        auto const [error] = co_await active->m_socket.async_connect(
            *state->m_endpoint, awaitable_tuple);
        if (error)
        {
            cancel_timeout(*active);
            co_return make_failure(progress::not_sent, error.message());
        }
        boost::system::error_code ignored;
        active->m_socket.set_option(tcp::no_delay{true}, ignored);
    }
    bool is_reusable = false;
    auto result = co_await send_and_receive(*active, request, is_reusable);
    cancel_timeout(*active);
    if (is_reusable)
    {
        release_connection(*state, std::move(active));
    }
    co_return result;
}

/// For read-only requests: retries once if the first connection brought no
/// response, since the platform may have closed it while idle.
asio::awaitable<exchange_result> exchange_with_retry(
    state_pointer state, std::string target, std::chrono::milliseconds limit)
{
    auto const start = runtime_clock::now();
    auto request = make_request(*state, http::verb::get, target);
    auto result = co_await exchange(state, request, limit);
    auto const remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            start + limit - runtime_clock::now());
    if (result.m_progress == progress::sent && remaining.count() > 0)
    {
        result = co_await exchange(state, std::move(request), remaining);
    }
    co_return result;
}

asio::awaitable<platform_result<log_offset>>
append_record(state_pointer state, std::string stream, std::string record)
{
    auto request = make_request(
        *state, http::verb::post, "/streams/" + stream + "/records");
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(record);
    auto const result =
        co_await exchange(state, std::move(request), state->m_timeout);
    if (result.m_progress != progress::response_received ||
        result.m_status != 200)
    {
        co_return to_append_error(result);
    }
    auto const offset = parse_offset(result.m_body);
    if (!offset)
    {
        co_return platform_error{
            result_code::log_append_unknown, unparsable_response().m_message};
    }
    co_return *offset;
}

std::string read_target(
    std::string stream,
    log_offset from,
    std::size_t limit,
    std::chrono::milliseconds wait)
{
    std::string target = "/streams/" + std::move(stream) + "/records";
    target += "?from=" + std::to_string(from);
    target += "&limit=" + std::to_string(limit);
    if (wait.count() > 0)
    {
        target += "&wait_ms=" + std::to_string(wait.count());
    }
    return target;
}

/// Sends a GET request and parses the response with `parse`, which returns
/// nullopt for a malformed body.
template <class Value, class Parse>
asio::awaitable<platform_result<Value>>
get(state_pointer state,
    std::string target,
    std::chrono::milliseconds limit,
    Parse parse)
{
    auto const result =
        co_await exchange_with_retry(state, std::move(target), limit);
    if (result.m_progress != progress::response_received ||
        result.m_status != 200)
    {
        co_return to_error(result);
    }
    std::optional<Value> value = parse(result.m_body);
    if (!value)
    {
        co_return unparsable_response();
    }
    co_return std::move(*value);
}

} // namespace

struct platform_client::implementation
{
    state_pointer m_state;
};

platform_client::platform_client(
    asio::io_context& io,
    endpoint_address address,
    std::chrono::milliseconds timeout,
    vm_id vm)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->m_state = std::make_shared<client_state>(
        io, std::move(address), timeout, std::move(vm));
}

platform_client::~platform_client()
{
    close();
}

void platform_client::close()
{
    client_state& state = *m_implementation->m_state;
    state.m_closed = true;
    state.m_idle.clear();
    for (auto const& entry : state.m_in_use)
    {
        if (auto const active = entry.lock())
        {
            active->close();
        }
    }
}

// The operations are free coroutines that own the client state and do not refer
// to this object, so that they can outlive it.

asio::awaitable<platform_result<log_offset>>
platform_client::append(std::string stream, std::string record)
{
    return append_record(
        m_implementation->m_state, std::move(stream), std::move(record));
}

asio::awaitable<platform_result<log_read_result>> platform_client::read(
    std::string stream,
    log_offset from,
    std::size_t limit,
    std::chrono::milliseconds wait)
{
    return get<log_read_result>(
        m_implementation->m_state,
        read_target(std::move(stream), from, limit, wait),
        m_implementation->m_state->m_timeout + wait,
        parse_log_read_result);
}

asio::awaitable<platform_result<vm_list>> platform_client::list_vms()
{
    return get<vm_list>(
        m_implementation->m_state,
        "/vms",
        m_implementation->m_state->m_timeout,
        parse_vm_list);
}

} // namespace briarhub
