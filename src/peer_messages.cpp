#include "peer_messages.hpp"

#include "peer.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarhub
{
namespace
{

/// Largest token amount in one message, far above any account's burst.
constexpr double max_loan_tokens = 1e9;

constexpr std::chrono::minutes max_loan_duration{10};

bool is_valid_name(std::string const& text)
{
    return !text.empty() && text.size() <= max_message_name_bytes;
}

bool is_valid_fraction(double value)
{
    return std::isfinite(value) && value >= 0.0 && value <= 1.0;
}

bool is_valid_token_amount(double value)
{
    return std::isfinite(value) && value >= 0.0 && value <= max_loan_tokens;
}

void encode(wire::Sender& to, peer_sender const& from)
{
    to.set_vm(from.m_vm);
    to.set_incarnation(from.m_incarnation);
    to.set_version(from.m_version);
    to.set_stable(from.m_stable_version);
}

std::optional<peer_sender> decode(wire::Sender const& from)
{
    if (!is_valid_name(from.vm()) || from.stable() > from.version())
    {
        return std::nullopt;
    }
    return peer_sender{
        from.vm(), from.incarnation(), from.version(), from.stable()};
}

void encode(wire::News& to, peer_observations const& from)
{
    for (evidence const& item : from.m_evidence)
    {
        wire::Evidence& encoded = *to.add_evidence();
        encoded.set_upstream(item.m_upstream);
        encoded.set_good(item.m_good);
        encoded.set_slow(item.m_slow);
        encoded.set_error(item.m_error);
        encoded.set_wrong(item.m_wrong);
    }
    for (reported_suspect const& item : from.m_suspects)
    {
        wire::SuspectRequest& encoded = *to.add_suspects();
        encoded.set_origin(item.m_origin);
        encoded.set_digest(item.m_digest);
        encoded.set_crashes(item.m_total_crashes);
    }
}

bool is_valid_item_count(int items)
{
    return static_cast<std::size_t>(items) <= max_message_items;
}

std::optional<peer_observations> decode(wire::News const& from)
{
    if (!is_valid_item_count(from.evidence_size()) ||
        !is_valid_item_count(from.suspects_size()))
    {
        return std::nullopt;
    }
    peer_observations news;
    for (wire::Evidence const& item : from.evidence())
    {
        if (!is_valid_name(item.upstream()))
        {
            return std::nullopt;
        }
        news.m_evidence.push_back(
            {item.upstream(),
             item.good(),
             item.slow(),
             item.error(),
             item.wrong()});
    }
    for (wire::SuspectRequest const& item : from.suspects())
    {
        if (!is_valid_name(item.digest()) || !is_valid_name(item.origin()))
        {
            return std::nullopt;
        }
        news.m_suspects.push_back(
            {item.origin(), item.digest(), item.crashes()});
    }
    return news;
}

template <class Wire>
std::string serialize_probe(probe_message const& message)
{
    Wire wire;
    encode(*wire.mutable_sender(), message.m_sender);
    encode(*wire.mutable_news(), message.m_news);
    for (vm_id const& vm : message.m_silent)
    {
        wire.add_silent(vm);
    }
    return wire.SerializeAsString();
}

/// Disables protobuf's log, which writes a line to standard error for each
/// string that is not UTF-8. Such messages are refused and counted instead.
void disable_protobuf_log()
{
    static auto const previous = google::protobuf::SetLogHandler(nullptr);
    static_cast<void>(previous);
}

/// Decodes the protobuf message without validating its values.
template <class Wire>
std::optional<Wire> parse_wire(std::string_view text)
{
    constexpr auto limit =
        static_cast<std::size_t>(std::numeric_limits<int>::max());
    disable_protobuf_log();
    Wire wire;
    if (text.size() > limit ||
        !wire.ParseFromArray(text.data(), static_cast<int>(text.size())))
    {
        return std::nullopt;
    }
    return wire;
}

template <class Wire>
std::optional<probe_message> parse_probe_as(std::string_view text)
{
    auto const wire = parse_wire<Wire>(text);
    if (!wire || !is_valid_item_count(wire->silent_size()))
    {
        return std::nullopt;
    }
    auto sender = decode(wire->sender());
    auto news = decode(wire->news());
    bool const names_are_valid =
        std::ranges::all_of(wire->silent(), is_valid_name);
    if (!sender || !news || !names_are_valid)
    {
        return std::nullopt;
    }
    return probe_message{
        std::move(*sender),
        std::move(*news),
        {wire->silent().begin(), wire->silent().end()}};
}

/// Refuses offsets that don't strictly increase, since records are applied in
/// offset order.
std::optional<std::vector<log_record>> decode_records(wire::RecordsReply& from)
{
    std::vector<log_record> records;
    records.reserve(static_cast<std::size_t>(from.records_size()));
    for (wire::Record& record : *from.mutable_records())
    {
        if (!records.empty() && records.back().m_offset >= record.offset())
        {
            return std::nullopt;
        }
        wall_time const appended_at{std::chrono::milliseconds{record.at_ms()}};
        records.push_back(
            {record.offset(), appended_at, std::move(*record.mutable_data())});
    }
    return records;
}

} // namespace

std::string serialize(probe_message const& message)
{
    return serialize_probe<wire::Probe>(message);
}

std::string serialize_reply(probe_message const& message)
{
    return serialize_probe<wire::ProbeReply>(message);
}

std::string serialize(records_request const& message)
{
    wire::RecordsRequest wire;
    encode(*wire.mutable_sender(), message.m_sender);
    wire.set_has_state(message.m_after.has_value());
    wire.set_after_offset(message.m_after.value_or(0));
    return wire.SerializeAsString();
}

std::string serialize(records_reply const& message)
{
    wire::RecordsReply wire;
    encode(*wire.mutable_sender(), message.m_sender);
    for (log_record const& record : message.m_records)
    {
        wire::Record& encoded = *wire.add_records();
        encoded.set_offset(record.m_offset);
        encoded.set_at_ms(record.m_appended_at.time_since_epoch().count());
        encoded.set_data(record.m_data);
    }
    wire.set_snapshot(message.m_snapshot.value_or(""));
    return wire.SerializeAsString();
}

std::string serialize(sent_loan_message<lease_request> const& message)
{
    wire::LoanRequest wire;
    encode(*wire.mutable_sender(), message.m_sender);
    wire.set_account(message.m_content.m_account);
    wire.set_request_id(message.m_content.m_request_id);
    wire.set_renewed_loan(message.m_content.m_renewed_lease);
    wire.set_fraction(message.m_content.m_fraction);
    wire.set_tokens(message.m_content.m_tokens);
    return wire.SerializeAsString();
}

std::string serialize(sent_loan_message<lease_return> const& message)
{
    wire::LoanReturn wire;
    encode(*wire.mutable_sender(), message.m_sender);
    wire.set_account(message.m_content.m_account);
    wire.set_loan_id(message.m_content.m_lease_id);
    wire.set_fraction(message.m_content.m_fraction);
    wire.set_tokens(message.m_content.m_tokens);
    return wire.SerializeAsString();
}

std::string serialize(lease_reply const& message)
{
    wire::LoanReply wire;
    wire.set_request_id(message.m_request_id);
    wire.set_account(message.m_account);
    wire.set_loan_id(message.m_lease_id);
    wire.set_fraction(message.m_fraction);
    wire.set_tokens(message.m_tokens);
    wire.set_duration_ms(
        static_cast<std::uint32_t>(message.m_duration.count()));
    return wire.SerializeAsString();
}

std::optional<probe_message> parse_probe(std::string_view text)
{
    return parse_probe_as<wire::Probe>(text);
}

std::optional<probe_message> parse_probe_reply(std::string_view text)
{
    return parse_probe_as<wire::ProbeReply>(text);
}

std::optional<records_request> parse_records_request(std::string_view text)
{
    auto const wire = parse_wire<wire::RecordsRequest>(text);
    auto sender = wire ? decode(wire->sender()) : std::nullopt;
    if (!sender)
    {
        return std::nullopt;
    }
    records_request request{std::move(*sender), std::nullopt};
    if (wire->has_state())
    {
        request.m_after = wire->after_offset();
    }
    return request;
}

std::optional<records_reply> parse_records_reply(std::string_view text)
{
    auto wire = parse_wire<wire::RecordsReply>(text);
    auto sender = wire ? decode(wire->sender()) : std::nullopt;
    if (!sender)
    {
        return std::nullopt;
    }
    auto records = decode_records(*wire);
    if (!records)
    {
        return std::nullopt;
    }
    records_reply reply{std::move(*sender), std::move(*records), std::nullopt};
    if (!wire->snapshot().empty())
    {
        reply.m_snapshot = std::move(*wire->mutable_snapshot());
    }
    return reply;
}

std::optional<sent_loan_message<lease_request>>
parse_loan_request(std::string_view text)
{
    auto const wire = parse_wire<wire::LoanRequest>(text);
    auto sender = wire ? decode(wire->sender()) : std::nullopt;
    if (!sender || !is_valid_name(wire->account()) ||
        !is_valid_fraction(wire->fraction()) ||
        !is_valid_token_amount(wire->tokens()))
    {
        return std::nullopt;
    }
    return sent_loan_message<lease_request>{
        std::move(*sender),
        {wire->account(),
         wire->request_id(),
         wire->renewed_loan(),
         wire->fraction(),
         wire->tokens()}};
}

std::optional<sent_loan_message<lease_return>>
parse_loan_return(std::string_view text)
{
    auto const wire = parse_wire<wire::LoanReturn>(text);
    auto sender = wire ? decode(wire->sender()) : std::nullopt;
    if (!sender || !is_valid_name(wire->account()) ||
        !is_valid_fraction(wire->fraction()) ||
        !is_valid_token_amount(wire->tokens()))
    {
        return std::nullopt;
    }
    return sent_loan_message<lease_return>{
        std::move(*sender),
        {wire->account(), wire->loan_id(), wire->fraction(), wire->tokens()}};
}

std::optional<lease_reply> parse_loan_reply(std::string_view text)
{
    auto const wire = parse_wire<wire::LoanReply>(text);
    if (!wire || !is_valid_name(wire->account()) ||
        !is_valid_fraction(wire->fraction()) ||
        !is_valid_token_amount(wire->tokens()))
    {
        return std::nullopt;
    }
    std::chrono::milliseconds const decoded_duration{wire->duration_ms()};
    if (decoded_duration > max_loan_duration)
    {
        return std::nullopt;
    }
    return lease_reply{
        wire->account(),
        wire->request_id(),
        wire->loan_id(),
        wire->fraction(),
        wire->tokens(),
        decoded_duration};
}

} // namespace briarhub
