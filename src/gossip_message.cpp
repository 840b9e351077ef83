#include "gossip_message.hpp"

#include "gossip.pb.h"

#include <algorithm>
#include <cmath>

namespace briarhub
{
namespace
{

/// Limit of each count in a datagram; far above what a VM observes between two
/// datagrams.
constexpr std::uint32_t max_count_per_update = 1000;

constexpr double permille = 1000.0;

constexpr double milli_per_unit = 1000.0;

/// Limit of a rate limit in a datagram: a million requests/s.
constexpr double max_rate_limit_milli = 1e9;

/// Limit of a reported fleet size; far above any fleet.
constexpr std::uint32_t max_fleet_size = 1'000'000;

/// Limit of a reported replica age: one day.
constexpr std::uint32_t max_replica_age_ms = 24 * 3600 * 1000;

/// Limit of a reported process age: one year.
constexpr std::uint64_t max_age_ms = 365ULL * 24 * 3600 * 1000;

/// 0 stands for no limit, so the lowest limit is a thousandth.
std::uint32_t encode_rate_limit(rate_limit_notice const& notice)
{
    if (!notice.m_requests_per_second)
    {
        return 0;
    }
    double const milli =
        std::round(*notice.m_requests_per_second * milli_per_unit);
    return static_cast<std::uint32_t>(
        std::clamp(milli, 1.0, max_rate_limit_milli));
}

rate_limit_notice decode_rate_limit(std::uint32_t milli)
{
    rate_limit_notice notice;
    if (milli > 0)
    {
        notice.m_requests_per_second = milli / milli_per_unit;
    }
    return notice;
}

void write(wire::Gossip& to, upstream_update const& from)
{
    auto& added = *to.add_upstreams();
    added.set_upstream(short_part(from.m_upstream));
    added.set_upstream_check(check_part(from.m_upstream));
    added.set_in_flight(from.m_in_flight);
    added.set_started(from.m_started);
    if (from.m_rate_limit)
    {
        added.set_rate_limit_milli(encode_rate_limit(*from.m_rate_limit));
    }
    added.set_is_leaving(from.m_is_leaving);
    bool const has_counts = std::ranges::any_of(
        from.m_observations,
        [](std::uint32_t count)
        {
            return count > 0;
        });
    if (has_counts)
    {
        added.mutable_signs()->Add(
            from.m_observations.begin(), from.m_observations.end());
    }
}

std::optional<upstream_update> read(wire::UpstreamNews const& from)
{
    upstream_update update;
    update.m_upstream = join_hash(from.upstream(), from.upstream_check());
    update.m_in_flight = from.in_flight();
    update.m_started = std::min(from.started(), max_count_per_update);
    if (from.has_rate_limit_milli())
    {
        update.m_rate_limit = decode_rate_limit(from.rate_limit_milli());
    }
    update.m_is_leaving = from.is_leaving();
    if (from.signs_size() > static_cast<int>(observation_kinds))
    {
        return std::nullopt;
    }
    for (int i = 0; i < from.signs_size(); ++i)
    {
        update.m_observations[static_cast<std::size_t>(i)] =
            std::min(from.signs(i), max_count_per_update);
    }
    return update;
}

void write(wire::Gossip& to, usage_count const& from)
{
    auto& added = *to.add_usage();
    added.set_tag(short_part(from.m_tag));
    added.set_tag_check(check_part(from.m_tag));
    added.set_total(from.m_total);
}

void write(wire::UpstreamBelief& to, upstream_estimate const& from)
{
    to.set_upstream(short_part(from.m_upstream));
    to.set_upstream_check(check_part(from.m_upstream));
    to.set_sickness_permille(
        static_cast<std::uint32_t>(from.m_failure_probability * permille));
    to.set_is_leaving(from.m_is_leaving);
}

upstream_estimate read(wire::UpstreamBelief const& from)
{
    return {
        join_hash(from.upstream(), from.upstream_check()),
        std::min(from.sickness_permille() / permille, 1.0),
        from.is_leaving()};
}

void write(wire::SuspectNews& to, suspect_request const& from)
{
    to.set_digest(from.m_digest);
    to.set_crashes(from.m_crashes);
}

void write_lists(wire::Gossip& to, gossip_message const& from)
{
    for (auto const& level : from.m_levels)
    {
        auto& added = *to.add_levels();
        added.set_tag(short_part(level.m_tag));
        added.set_tag_check(check_part(level.m_tag));
        added.set_tokens(static_cast<std::int32_t>(std::floor(level.m_tokens)));
    }
    for (auto const& suspect : from.m_known_suspects)
    {
        write(*to.add_known_suspects(), suspect);
    }
    for (auto const& estimate : from.m_upstream_health)
    {
        write(*to.add_beliefs(), estimate);
    }
    for (auto const& update : from.m_upstreams)
    {
        write(to, update);
    }
    for (auto const& usage : from.m_usage)
    {
        write(to, usage);
    }
    for (auto const& suspect : from.m_suspects)
    {
        write(*to.add_suspects(), suspect);
    }
    for (auto const& member : from.m_members)
    {
        auto& added = *to.add_members();
        added.set_vm(member.m_vm);
        added.set_domain(member.m_domain);
    }
}

bool read_lists(wire::Gossip const& from, gossip_message& to)
{
    for (auto const& item : from.upstreams())
    {
        auto const update = read(item);
        if (!update)
        {
            return false;
        }
        to.m_upstreams.push_back(*update);
    }
    for (auto const& item : from.usage())
    {
        to.m_usage.push_back(
            {join_hash(item.tag(), item.tag_check()), item.total()});
    }
    for (auto const& item : from.suspects())
    {
        to.m_suspects.push_back({item.digest(), item.crashes()});
    }
    for (auto const& item : from.levels())
    {
        to.m_levels.push_back(
            {join_hash(item.tag(), item.tag_check()),
             static_cast<double>(item.tokens())});
    }
    for (auto const& item : from.known_suspects())
    {
        to.m_known_suspects.push_back({item.digest(), item.crashes()});
    }
    for (auto const& item : from.members())
    {
        to.m_members.push_back({item.vm(), item.domain()});
    }
    for (auto const& item : from.beliefs())
    {
        to.m_upstream_health.push_back(read(item));
    }
    return true;
}

void write_permits(wire::Gossip& to, gossip_message const& from)
{
    if (from.m_permit_request)
    {
        to.mutable_permit_ask()->set_id(from.m_permit_request->m_id);
        to.mutable_permit_ask()->set_service(from.m_permit_request->m_service);
    }
    if (from.m_permit_reply)
    {
        to.mutable_permit_reply()->set_id(from.m_permit_reply->m_id);
        to.mutable_permit_reply()->set_is_given(
            from.m_permit_reply->m_is_granted);
    }
}

void read_permits(wire::Gossip const& from, gossip_message& to)
{
    if (from.has_permit_ask())
    {
        to.m_permit_request = {
            from.permit_ask().id(), from.permit_ask().service()};
    }
    if (from.has_permit_reply())
    {
        to.m_permit_reply = {
            from.permit_reply().id(), from.permit_reply().is_given()};
    }
}

std::uint32_t encode_age(std::chrono::milliseconds age)
{
    auto const bounded = std::clamp<std::int64_t>(
        age.count(), 0, static_cast<std::int64_t>(max_replica_age_ms));
    return static_cast<std::uint32_t>(bounded);
}

std::chrono::milliseconds decode_age(std::uint32_t age_ms)
{
    return std::chrono::milliseconds{std::min(age_ms, max_replica_age_ms)};
}

void write_ages(wire::Gossip& to, replica_ages const& ages)
{
    if (ages.m_policy)
    {
        to.set_policy_age_ms(encode_age(*ages.m_policy));
    }
    if (ages.m_directory)
    {
        to.set_directory_age_ms(encode_age(*ages.m_directory));
    }
}

replica_ages read_ages(wire::Gossip const& from)
{
    replica_ages ages;
    if (from.has_policy_age_ms())
    {
        ages.m_policy = decode_age(from.policy_age_ms());
    }
    if (from.has_directory_age_ms())
    {
        ages.m_directory = decode_age(from.directory_age_ms());
    }
    return ages;
}

void write(wire::Gossip& to, gossip_message const& message)
{
    to.set_vm(message.m_origin.m_vm);
    to.set_domain(message.m_origin.m_domain);
    to.set_run(message.m_run);
    to.set_age_ms(static_cast<std::uint64_t>(message.m_age.count()));
    to.set_sequence(message.m_sequence);
    to.set_pass_on(message.m_relay);
    to.set_policy_version(message.m_state.m_policy_version);
    to.set_policy_era(message.m_state.m_policy_position.m_era);
    to.set_policy_end(message.m_state.m_policy_position.m_offset);
    auto const& position = message.m_state.m_directory_position;
    to.set_directory_change(position.m_offset);
    to.set_directory_era(position.m_era);
    to.set_is_following(message.m_state.m_is_store_reader);
    to.set_has_store(message.m_state.m_reaches_store);
    write_ages(to, message.m_replica_ages);
    to.set_is_leaving(message.m_is_leaving);
    to.set_wants_members(message.m_wants_members);
    to.set_fleet_size(static_cast<std::uint32_t>(message.m_fleet_size));
    write_permits(to, message);
    write_lists(to, message);
}

std::optional<gossip_message> read(wire::Gossip const& from)
{
    if (from.vm() == 0)
    {
        return std::nullopt;
    }
    gossip_message message;
    message.m_origin = {from.vm(), from.domain()};
    message.m_run = from.run();
    message.m_age = std::chrono::milliseconds{
        static_cast<std::int64_t>(std::min(from.age_ms(), max_age_ms))};
    message.m_sequence = from.sequence();
    message.m_relay = from.pass_on();
    message.m_state.m_policy_version = from.policy_version();
    message.m_state.m_policy_position = {from.policy_era(), from.policy_end()};
    message.m_state.m_directory_position = {
        from.directory_era(), from.directory_change()};
    message.m_state.m_is_store_reader = from.is_following();
    message.m_state.m_reaches_store = from.has_store();
    message.m_replica_ages = read_ages(from);
    message.m_is_leaving = from.is_leaving();
    message.m_wants_members = from.wants_members();
    message.m_fleet_size = std::min(from.fleet_size(), max_fleet_size);
    read_permits(from, message);
    if (!read_lists(from, message))
    {
        return std::nullopt;
    }
    return message;
}

} // namespace

std::string encode(std::span<gossip_message const> messages)
{
    wire::GossipBatch to;
    for (auto const& message : messages)
    {
        write(*to.add_messages(), message);
    }
    return to.SerializeAsString();
}

std::optional<std::vector<gossip_message>> decode_gossip(std::string_view bytes)
{
    wire::GossipBatch from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        from.messages_size() == 0)
    {
        return std::nullopt;
    }
    std::vector<gossip_message> messages;
    for (auto const& item : from.messages())
    {
        auto message = read(item);
        if (!message)
        {
            return std::nullopt;
        }
        messages.push_back(std::move(*message));
    }
    return messages;
}

std::string encode(health_snapshot const& record)
{
    wire::BeliefRecord to;
    to.set_written_ms(static_cast<std::uint64_t>(
        record.m_written.time_since_epoch().count()));
    for (auto const& estimate : record.m_upstream_health)
    {
        write(*to.add_beliefs(), estimate);
    }
    for (auto const& suspect : record.m_suspects)
    {
        write(*to.add_suspects(), suspect);
    }
    return to.SerializeAsString();
}

std::optional<health_snapshot> decode_health_snapshot(std::string_view bytes)
{
    wire::BeliefRecord from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        from.written_ms() == 0)
    {
        return std::nullopt;
    }
    health_snapshot record;
    record.m_written = wall_time{std::chrono::milliseconds{
        static_cast<std::int64_t>(from.written_ms())}};
    for (auto const& item : from.beliefs())
    {
        record.m_upstream_health.push_back(read(item));
    }
    for (auto const& item : from.suspects())
    {
        record.m_suspects.push_back({item.digest(), item.crashes()});
    }
    return record;
}

} // namespace briarhub
