#include "admin_query_handler.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace briarhub
{
namespace
{

namespace json = boost::json;

std::string_view to_string(change_status status)
{
    switch (status)
    {
    case change_status::accepted:
        return "accepted";
    case change_status::conflict:
        return "conflict";
    case change_status::invalid:
        return "invalid";
    }
    return "invalid";
}

std::string_view to_string(claim_state state)
{
    return state == claim_state::running ? "running" : "in_doubt";
}

json::array to_json(config_errors const& errors)
{
    json::array list;
    for (config_error const& error : errors)
    {
        list.push_back(
            json::object{{"path", error.m_path}, {"message", error.m_message}});
    }
    return list;
}

/// Incarnations are 64-bit; many JSON parsers lose precision above 2^53.
std::string format_incarnation(incarnation value)
{
    return fmt::format("{:016x}", value);
}

std::int64_t to_ms(wall_time time)
{
    return time.time_since_epoch().count();
}

admin_reply invalid(config_errors const& errors)
{
    return {
        result_code::config_invalid, json::object{{"errors", to_json(errors)}}};
}

std::string get_string_field(json::object const& object, std::string_view name)
{
    json::value const* const value = object.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string{value->get_string()}
               : std::string{};
}

/// Parses the operations of a change; appends the errors found to `errors`.
std::vector<config_operation>
parse_operations(json::object const& object, config_errors& errors)
{
    std::vector<config_operation> operations;
    json::value const* const value = object.if_contains("operations");
    json::array const* const list = value ? value->if_array() : nullptr;
    if (list == nullptr || list->empty())
    {
        errors.push_back({"operations", "must be a list with an element"});
        return operations;
    }
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        auto parsed =
            parse_operation((*list)[i], fmt::format("operations[{}]", i));
        if (auto* const operation = std::get_if<config_operation>(&parsed))
        {
            operations.push_back(std::move(*operation));
            continue;
        }
        auto const& found = std::get<config_errors>(parsed);
        errors.insert(errors.end(), found.begin(), found.end());
    }
    return operations;
}

std::variant<change_record, config_errors> parse_change(json::value const& body)
{
    json::object const* const object = body.if_object();
    if (object == nullptr)
    {
        return config_errors{{"", "must be an object"}};
    }
    config_errors errors;
    change_record change;
    change.m_change_id = get_string_field(*object, "change_id");
    if (change.m_change_id.empty())
    {
        errors.push_back({"change_id", "is missing"});
    }
    json::value const* const parent = object->if_contains("parent");
    boost::system::error_code error;
    if (parent != nullptr)
    {
        change.m_parent = parent->to_number<config_version>(error);
    }
    if (parent == nullptr || error)
    {
        errors.push_back({"parent", "must be a configuration version"});
    }
    change.m_operations = parse_operations(*object, errors);
    if (!errors.empty())
    {
        return errors;
    }
    return change;
}

/// Rejects a record that `control_log` would skip or that the log would refuse:
/// its change could never be confirmed.
config_errors validate_record(std::string const& text)
{
    if (text.size() > max_record_bytes)
    {
        return {{"operations", "the change is larger than a log record"}};
    }
    if (!parse_control_record(text))
    {
        return {{"change_id", "must be a UUID"}};
    }
    return {};
}

admin_reply unconfirmed_reply(std::string const& id)
{
    return {result_code::config_unconfirmed, json::object{{"change_id", id}}};
}

} // namespace

admin_query_handler::admin_query_handler(
    boost::asio::io_context& io,
    fleet_state& fleet,
    metered_platform_client& platform,
    control_stream& stream,
    peer_service& peers,
    claims_stream& claims)
    : m_io(io), m_fleet(fleet), m_platform(platform), m_stream(stream),
      m_peers(peers), m_claims(claims)
{
}

void admin_query_handler::receive(admin_query&& query)
{
    switch (query.m_topic)
    {
    case admin_topic::members:
        query.m_reply(members());
        return;
    case admin_topic::config_show:
        query.m_reply(config_show());
        return;
    case admin_topic::change_lookup:
        query.m_reply(change_lookup(query.m_argument));
        return;
    case admin_topic::in_doubt:
        query.m_reply(in_doubt());
        return;
    case admin_topic::config_apply:
        boost::asio::co_spawn(
            m_io, config_apply(std::move(query)), boost::asio::detached);
        return;
    default:
        query.m_reply({result_code::admin_not_found, nullptr});
    }
}

admin_reply admin_query_handler::members()
{
    time_point const now = runtime_clock::now();
    json::array list;
    for (auto const& peer : m_fleet.members().status(now))
    {
        list.push_back(json::object{
            {"vm", peer.m_member.m_vm},
            {"incarnation", format_incarnation(peer.m_member.m_incarnation)},
            {"failure_domain", peer.m_member.m_failure_domain},
            {"listed", peer.m_listed},
            {"answers", peer.m_is_responding}});
    }
    return {
        result_code::ok,
        json::object{
            {"version", m_fleet.version()},
            {"stable_version", m_fleet.stable_version()},
            {"is_member", m_fleet.is_member()},
            {"is_fresh", now < m_fleet.valid_until()},
            {"log_answers", m_stream.is_log_reachable()},
            {"members", std::move(list)}}};
}

admin_reply admin_query_handler::config_show() const
{
    if (!m_fleet.log().has_state())
    {
        return {result_code::starting, nullptr};
    }
    control_state const& state = m_fleet.state();
    return {
        result_code::ok,
        json::object{
            {"version", state.m_version},
            {"config_version", state.m_config_version},
            {"config", to_json_value(state.m_config)}}};
}

admin_reply admin_query_handler::change_lookup(std::string const& id) const
{
    change_result const* const result = find_change(id);
    if (result == nullptr)
    {
        return {result_code::admin_not_found, nullptr};
    }
    return describe_change(id, *result);
}

admin_reply admin_query_handler::in_doubt() const
{
    json::array list;
    for (claim_view const& view : m_claims.table().unresolved())
    {
        claim const& entry = view.m_claim;
        list.push_back(json::object{
            {"account", entry.m_name.m_account},
            {"idempotency_key", entry.m_name.m_idempotency_key},
            {"vm", entry.m_claim_id.m_vm},
            {"incarnation", format_incarnation(entry.m_claim_id.m_incarnation)},
            {"claimed_at_ms", to_ms(view.m_claimed_at)},
            {"state", to_string(view.m_state)}});
    }
    return {result_code::ok, json::object{{"claims", std::move(list)}}};
}

change_result const*
admin_query_handler::find_change(std::string const& id) const
{
    auto const& changes = m_fleet.state().m_changes;
    auto const found = changes.find(id);
    return found == changes.end() ? nullptr : &found->second;
}

/// The result is `ok` only for a change that is accepted and stable.
admin_reply admin_query_handler::describe_change(
    std::string const& id, change_result const& result) const
{
    bool const is_stable = m_fleet.stable_version() >= result.m_version;
    json::object body{
        {"change_id", id},
        {"status", to_string(result.m_status)},
        {"version", result.m_version},
        {"config_version", result.m_config_version},
        {"stable", is_stable}};
    switch (result.m_status)
    {
    case change_status::accepted:
        return {
            is_stable ? result_code::ok : result_code::config_unconfirmed,
            std::move(body)};
    case change_status::conflict:
        return {result_code::config_conflict, std::move(body)};
    case change_status::invalid:
        break;
    }
    body["errors"] = to_json(result.m_errors);
    return {result_code::config_invalid, std::move(body)};
}

boost::asio::awaitable<void>
admin_query_handler::config_apply(admin_query query)
{
    auto change = parse_change(query.m_body);
    if (auto const* const errors = std::get_if<config_errors>(&change))
    {
        query.m_reply(invalid(*errors));
        co_return;
    }
    auto reply =
        co_await apply_change(std::move(std::get<change_record>(change)));
    query.m_reply(std::move(reply));
}

/// Appends the change at most once. If the response of the append is lost, it
/// waits for the change to appear in the stream until the deadline.
boost::asio::awaitable<admin_reply>
admin_query_handler::apply_change(change_record change)
{
    std::string const id = change.m_change_id;
    time_point const deadline = runtime_clock::now() + confirmation_timeout;
    if (find_change(id) == nullptr)
    {
        std::string text = to_record(control_record{std::move(change)});
        auto const validation_errors = validate_record(text);
        if (!validation_errors.empty())
        {
            co_return invalid(validation_errors);
        }
        auto const result =
            co_await m_platform.append(control_stream_name, std::move(text));
        auto const* const error = std::get_if<platform_error>(&result);
        if (error != nullptr &&
            error->m_code != result_code::log_append_unknown)
        {
            co_return admin_reply{
                error->m_code, json::object{{"message", error->m_message}}};
        }
        co_await wait_until_folded(id, deadline);
    }
    change_result const* const folded = find_change(id);
    if (folded == nullptr)
    {
        co_return unconfirmed_reply(id);
    }
    if (folded->m_status == change_status::accepted)
    {
        control_version const version = folded->m_version;
        co_await m_peers.wait_until_stable(version, deadline);
    }
    change_result const* const confirmed = find_change(id);
    co_return confirmed ? describe_change(id, *confirmed)
                        : unconfirmed_reply(id);
}

boost::asio::awaitable<void>
admin_query_handler::wait_until_folded(std::string id, time_point deadline)
{
    while (find_change(id) == nullptr && runtime_clock::now() < deadline)
    {
        co_await m_fleet.changes().wait_until(deadline);
    }
}

} // namespace briarhub
