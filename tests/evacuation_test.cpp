#include "evacuation_orders.hpp"
#include "gossip_message.hpp"
#include "load_balancer.hpp"
#include "wire_decode.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

using domain_set = std::set<failure_domain>;
using obstacle = load_balancer::obstacle;

time_point at(duration offset)
{
    return time_point{} + 1h + offset;
}

evacuation_record order(std::string domain, log_offset offset)
{
    return {std::move(domain), true, offset};
}

evacuation_record taken_back(std::string domain, log_offset offset)
{
    return {std::move(domain), false, offset};
}

upstream_entry make_entry(std::string const& id, std::string const& domain)
{
    upstream_entry entry;
    entry.m_upstream.m_id = id;
    entry.m_upstream.m_service = "desk";
    entry.m_upstream.m_failure_domain = domain;
    entry.m_upstream.m_address = "10.0.0.1:80";
    entry.m_upstream.m_slots = 4;
    entry.m_start_time = 1;
    return entry;
}

selection_context make_request(bool is_idempotent, bool is_retry)
{
    selection_context request;
    request.m_service = "desk";
    request.m_is_idempotent = is_idempotent;
    request.m_is_retry = is_retry;
    request.m_latency_target = 500ms;
    return request;
}

} // namespace

TEST_CASE("orders follow the records in order, and a snapshot replaces them")
{
    evacuation_orders orders;
    CHECK(orders.replace(at(0ms), {0, 5}, {"z1"}));
    CHECK(
        orders.apply({0, 8}, std::vector{order("z2", 5), taken_back("z1", 7)}));
    CHECK(orders.domains() == domain_set{"z2"});
    CHECK(orders.position() == log_position{0, 8});
    CHECK(
        orders.apply(
            {0, 10}, std::vector{taken_back("z2", 8), order("z2", 9)}) ==
        false);
    CHECK(orders.domains() == domain_set{"z2"});
    CHECK(orders.replace(at(0ms), {0, 20}, {"z3"}));
    CHECK(orders.domains() == domain_set{"z3"});
}

TEST_CASE("late reads and late replies of peers do not undo newer orders")
{
    evacuation_orders orders;
    orders.replace(at(0ms), {0, 10}, {"z1"});
    CHECK(!orders.replace(at(0ms), {0, 9}, {}));
    CHECK(!orders.replace(at(0ms), {0, 10}, {}));
    // A read from an offset that a peer's reply has overtaken.
    CHECK(orders.apply(
        {0, 12}, std::vector{taken_back("z1", 4), order("z2", 11)}));
    CHECK(orders.domains() == domain_set{"z1", "z2"});
}

TEST_CASE("orders that the store loses are kept until they are given again")
{
    evacuation_orders orders;
    orders.replace(at(0ms), {1, 10}, {"z1", "z2"});
    // A read that continues an earlier era does not tell the orders before it.
    CHECK(!orders.apply({2, 11}, std::vector{taken_back("z1", 10)}));
    CHECK(!orders.replace(at(1s), {2, 4}, {"z2"}));
    CHECK(orders.domains() == domain_set{"z1", "z2"});
    CHECK(orders.ordered() == domain_set{"z2"});
    CHECK(orders.next_expiry() == at(1s) + lost_order_retention);
    CHECK(!orders.remove_expired(at(1s)));
    CHECK(orders.remove_expired(at(1s) + lost_order_retention));
    CHECK(orders.domains() == domain_set{"z2"});
    CHECK(!orders.next_expiry());
}

TEST_CASE("an order that was lost ends when it is taken back again")
{
    evacuation_orders orders;
    orders.replace(at(0ms), {0, 10}, {"z1"});
    orders.replace(at(1s), {1, 4}, {});
    CHECK(orders.apply({1, 5}, std::vector{taken_back("z1", 4)}));
    CHECK(orders.domains().empty());
}

TEST_CASE("VMs that read and VMs that ask peers hold the same orders")
{
    // Two readers with reads of different lengths, and a VM that asks either
    // of them, over random records. Guards against orders that differ for the
    // same position.
    std::mt19937 random{20261206};
    for (int run = 0; run < 300; ++run)
    {
        CAPTURE(run);
        std::vector<evacuation_record> log;
        for (log_offset offset = 0; offset < 40; ++offset)
        {
            log.push_back(
                {"z" + std::to_string(random() % 3),
                 random() % 2 == 0,
                 offset});
        }
        auto const orders_at = [&log](log_offset end)
        {
            domain_set ordered;
            for (log_offset i = 0; i < end; ++i)
            {
                log[i].m_is_evacuated ? (void)ordered.insert(log[i].m_domain)
                                      : (void)ordered.erase(log[i].m_domain);
            }
            return ordered;
        };
        std::vector<evacuation_orders> vms(3);
        std::vector<log_offset> read_to(2, 0);
        for (int step = 0; step < 60; ++step)
        {
            auto const reader = random() % 2;
            auto& own = read_to[reader];
            log_offset const end = own + random() % (log.size() - own + 1);
            if (random() % 4 == 0)
            {
                vms[reader].replace(at(0ms), {0, end}, orders_at(end));
            }
            else
            {
                vms[reader].apply(
                    {0, end}, std::span{log}.subspan(own, end - own));
            }
            own = end;
            auto const from = random() % 3;
            auto const to = random() % 3;
            vms[to].replace(at(0ms), vms[from].position(), vms[from].ordered());
            for (auto const& vm : vms)
            {
                CHECK(vm.domains() == orders_at(vm.position().m_offset));
            }
        }
    }
}

TEST_CASE("the key of an order is decoded")
{
    auto const decoded = platform::decode_evacuation("evacuate/z1/a");
    REQUIRE(decoded);
    CHECK(std::get<failure_domain>(*decoded) == "z1/a");
    CHECK(!platform::decode_evacuation("config"));
    CHECK(!platform::decode_evacuation("evacuate"));
    auto const unnamed = platform::decode_evacuation("evacuate/");
    REQUIRE(unnamed);
    CHECK(std::holds_alternative<decode_failure>(*unnamed));
}

TEST_CASE("the position of the orders is part of gossip messages")
{
    gossip_message message;
    message.m_origin = {1, 2};
    message.m_state.m_policy_position = {3, 77};
    auto const received = decode_gossip(encode(std::vector{message}));
    REQUIRE(received);
    CHECK(received->front() == message);
}

TEST_CASE("upstreams of an evacuated domain get no attempt of any kind")
{
    // First attempts, retries, and trials of upstreams that may have recovered.
    std::vector<upstream_entry> const entries{
        make_entry("u0", "z1"), make_entry("u1", "z2")};
    load_balancer balancer{"z1", 1};
    balancer.set_upstreams(at(0ms), entries);
    balancer.set_evacuated(at(0ms), {"z1", "unknown"});
    CHECK(balancer.upstreams_in("z1") == 1);
    for (int i = 0; i < 400; ++i)
    {
        // Idle for longer each time, so that trials are due.
        auto const chosen = balancer.select_upstream(
            at(i * 100ms), make_request(i % 2 == 0, i % 3 == 0));
        REQUIRE(chosen);
        CHECK(chosen->m_entry.m_upstream.m_id == "u1");
    }
    CHECK(balancer.find_obstacle(at(40s), "desk") == obstacle::other);
    balancer.set_evacuated(at(60s), {"z1", "z2"});
    CHECK(!balancer.select_upstream(at(60s), make_request(true, false)));
    CHECK(balancer.find_obstacle(at(60s), "desk") == obstacle::evacuated);
    CHECK(balancer.find_obstacle(at(60s), "other") == obstacle::other);
    balancer.set_evacuated(at(61s), {});
    CHECK(balancer.select_upstream(at(61s), make_request(true, false)));
}

TEST_CASE("an order holds for upstreams that are listed after it")
{
    std::vector<upstream_entry> const entries{make_entry("u0", "z1")};
    load_balancer balancer{"z1", 1};
    balancer.set_evacuated(at(0ms), {"z1"});
    balancer.set_upstreams(at(0ms), entries);
    CHECK(!balancer.select_upstream(at(1s), make_request(true, false)));
}
