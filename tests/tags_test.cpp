#include "fleet_rate_limiter.hpp"
#include "gossip.pb.h"
#include "gossip_message.hpp"
#include "load_balancer.hpp"
#include "tags.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

time_point at(std::chrono::milliseconds offset)
{
    return time_point{} + 1h + offset;
}

upstream_entry make_entry(
    std::string const& id, std::string const& service, std::uint64_t born)
{
    upstream_entry entry;
    entry.m_upstream.m_id = id;
    entry.m_upstream.m_service = service;
    entry.m_upstream.m_failure_domain = "z1";
    entry.m_upstream.m_address = "10.0.0.1:80";
    entry.m_upstream.m_slots = 2;
    entry.m_start_time = born;
    return entry;
}

/// Two upstreams whose ids and start times have one short hash.
std::vector<upstream_entry> make_colliding_entries()
{
    return {
        make_entry("i-e2ba5f4964", "ledger", 1796681981242),
        make_entry("i-e8f99f9fb9", "archive", 1796681993242)};
}

/// Two accounts whose names have one short hash.
std::vector<account_policy> make_colliding_accounts()
{
    std::vector<account_policy> accounts(2);
    accounts[0].m_name = "account-439599";
    accounts[1].m_name = "account-622382";
    for (auto& account : accounts)
    {
        account.m_rate = 0.001;
        account.m_burst = 100;
    }
    return accounts;
}

int admitted_at(
    fleet_rate_limiter& limiter, time_point now, account_name const& account)
{
    int count = 0;
    while (limiter.try_admit(now, account))
    {
        ++count;
    }
    return count;
}

/// What a process of an earlier version reads and sends.
std::string without_checks(gossip_message const& message)
{
    wire::GossipBatch batch;
    REQUIRE(batch.ParseFromString(encode({&message, 1})));
    auto& encoded = *batch.mutable_messages(0);
    for (auto& update : *encoded.mutable_upstreams())
    {
        update.clear_upstream_check();
    }
    for (auto& usage : *encoded.mutable_usage())
    {
        usage.clear_tag_check();
    }
    for (auto& level : *encoded.mutable_levels())
    {
        level.clear_tag_check();
    }
    for (auto& estimate : *encoded.mutable_beliefs())
    {
        estimate.clear_upstream_check();
    }
    return batch.SerializeAsString();
}

gossip_message decode_one(std::string const& bytes)
{
    auto const messages = decode_gossip(bytes);
    REQUIRE(messages);
    REQUIRE(messages->size() == 1);
    return messages->front();
}

gossip_message make_message()
{
    gossip_message message;
    message.m_origin = {0x0a010203, 1};
    return message;
}

} // namespace

TEST_CASE("requests stay with their service if two upstreams share a hash")
{
    // Guards against a request that ran at another service: of two upstreams
    // with one short hash, the later replaced the other.
    auto const entries = make_colliding_entries();
    load_balancer balancer{"z1", 7};
    balancer.set_upstreams(at(0ms), entries);
    for (auto const& entry : entries)
    {
        selection_context request;
        request.m_service = entry.m_upstream.m_service;
        auto const choice = balancer.select_upstream(at(1ms), request);
        REQUIRE(choice);
        CHECK(choice->m_entry == entry);
    }
    CHECK(balancer.statuses(at(1ms)).size() == 2);
}

TEST_CASE("an upstream has no part in what is observed of another by its hash")
{
    // Guards against an upstream that counts as failing or leaving because
    // peers observed that of another one with the same short hash.
    auto const entries = make_colliding_entries();
    load_balancer peer{"z1", 7};
    peer.set_upstreams(at(0ms), entries);
    for (int i = 0; i < 4; ++i)
    {
        peer.observe(at(1ms), tag_of(entries[0]), observation::failed);
    }
    peer.mark_leaving(tag_of(entries[0]));
    auto message = make_message();
    message.m_upstreams = peer.collect_updates(true);
    message.m_upstream_health = peer.estimates(at(2ms));
    auto const received = decode_one(encode({&message, 1}));

    load_balancer balancer{"z1", 8};
    balancer.set_upstreams(at(0ms), entries);
    double const before =
        balancer.failure_probability(at(4ms), tag_of(entries[1]));
    balancer.receive(at(3ms), 1, 1, received.m_upstreams);
    balancer.adopt(at(3ms), received.m_upstream_health);
    selection_context request;
    request.m_service = "ledger";
    CHECK(!balancer.select_upstream(at(4ms), request));
    request.m_service = "archive";
    CHECK(balancer.select_upstream(at(4ms), request));
    CHECK(balancer.failure_probability(at(4ms), tag_of(entries[1])) == before);
}

TEST_CASE("accounts that share a hash have rate limits of their own")
{
    // Guards against two accounts that spend one allowance together.
    auto const accounts = make_colliding_accounts();
    fleet_rate_limiter peer{at(0ms)};
    peer.set_accounts(at(0ms), accounts);
    peer.import_levels(at(0ms), {{wide_hash(accounts[0].m_name), 40.0}});
    CHECK(admitted_at(peer, at(1ms), accounts[0].m_name) == 40);
    CHECK(admitted_at(peer, at(1ms), accounts[1].m_name) == 20);

    auto message = make_message();
    message.m_usage = peer.collect_totals(true);
    fleet_rate_limiter limiter{at(0ms)};
    limiter.set_accounts(at(0ms), accounts);
    limiter.import_levels(
        at(0ms),
        {{wide_hash(accounts[0].m_name), 100.0},
         {wide_hash(accounts[1].m_name), 100.0}});
    auto const received = decode_one(encode({&message, 1}));
    limiter.receive(at(2ms), {1, 1, 0ms}, received.m_usage);
    CHECK(admitted_at(limiter, at(2ms), accounts[0].m_name) == 80);
    CHECK(admitted_at(limiter, at(2ms), accounts[1].m_name) == 80);
}

TEST_CASE("processes of two versions understand each other's tags")
{
    // Guards against a fleet that loses observations and rates during a roll:
    // processes of earlier versions send and read the short hash only.
    auto const entry = make_entry("u1", "desk", 5);
    load_balancer peer{"z1", 7};
    peer.set_upstreams(at(0ms), std::vector{entry});
    peer.attempt_started(at(1ms), tag_of(entry));
    auto message = make_message();
    message.m_upstreams = peer.collect_updates(true);
    message.m_upstream_health = {{tag_of(entry), 0.9, false}};
    message.m_usage = {{wide_hash("acme"), 15}};
    message.m_levels = {{wide_hash("acme"), 50.0}};

    wire::GossipBatch sent;
    REQUIRE(sent.ParseFromString(encode({&message, 1})));
    auto const& encoded = sent.messages(0);
    CHECK(encoded.upstreams(0).upstream() == short_hash("u1@5"));
    CHECK(encoded.beliefs(0).upstream() == short_hash("u1@5"));
    CHECK(encoded.usage(0).tag() == short_hash("acme"));
    CHECK(encoded.levels(0).tag() == short_hash("acme"));

    auto const received = decode_one(without_checks(message));
    load_balancer known{"z1", 8};
    known.set_upstreams(at(0ms), std::vector{entry});
    known.receive(at(2ms), 1, 1, received.m_upstreams);
    known.adopt(at(2ms), received.m_upstream_health);
    CHECK(known.in_flight(at(3ms), tag_of(entry)) == 1);
    CHECK(known.failure_probability(at(3ms), tag_of(entry)) > 0.7);
    load_balancer joining{"z1", 9};
    joining.adopt(at(2ms), received.m_upstream_health);
    joining.set_upstreams(at(3ms), std::vector{entry});
    CHECK(joining.failure_probability(at(3ms), tag_of(entry)) > 0.7);

    account_policy account;
    account.m_name = "acme";
    account.m_rate = 0.001;
    account.m_burst = 100;
    for (bool const is_account_known : {false, true})
    {
        CAPTURE(is_account_known);
        fleet_rate_limiter limiter{at(0ms)};
        if (is_account_known)
        {
            limiter.set_accounts(at(0ms), {account});
        }
        limiter.import_levels(at(0ms), received.m_levels);
        limiter.set_accounts(at(0ms), {account});
        limiter.receive(at(1ms), {1, 1, 0ms}, received.m_usage);
        CHECK(admitted_at(limiter, at(1ms), "acme") == 35);
    }
}
