#include "gossip_message.hpp"
#include "load_balancer.hpp"
#include "upstream_notice.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

namespace http = boost::beast::http;

constexpr std::uint64_t first_start = 1;
constexpr std::uint64_t second_start = 2;

time_point at(duration offset)
{
    return time_point{} + 1h + offset;
}

upstream_entry
make_entry(std::string const& id, std::uint64_t start_time = first_start)
{
    upstream_entry entry;
    entry.m_upstream.m_id = id;
    entry.m_upstream.m_service = "desk";
    entry.m_upstream.m_failure_domain = "z1";
    entry.m_upstream.m_address = "10.0.0.1:80";
    entry.m_upstream.m_slots = 4;
    entry.m_start_time = start_time;
    return entry;
}

selection_context make_request(bool is_idempotent)
{
    selection_context request;
    request.m_service = "desk";
    request.m_is_idempotent = is_idempotent;
    request.m_latency_target = 500ms;
    return request;
}

bool is_selected(load_balancer& balancer, time_point now)
{
    return balancer.select_upstream(now, make_request(true)).has_value() ||
           balancer.select_upstream(now, make_request(false)).has_value();
}

header_names make_names()
{
    header_names names;
    names.m_rate_limit = "X-Limit";
    names.m_leaving = "X-Leaving";
    return names;
}

http::response_header<> make_head(http::status status)
{
    http::response_header<> head;
    head.result(status);
    return head;
}

upstream_update leaving_update(upstream_entry const& entry)
{
    upstream_update update;
    update.m_upstream = tag_of(entry);
    update.m_is_leaving = true;
    return update;
}

} // namespace

TEST_CASE("the fields of a response make one notice")
{
    auto const names = make_names();
    auto head = make_head(http::status::service_unavailable);
    head.set("X-Leaving", "1");
    head.set("Retry-After", "2.5");
    head.set("X-Limit", "4");
    auto const parsed = parse_upstream_notice(names, head);
    CHECK(parsed.m_invalid_fields.empty());
    CHECK(parsed.m_notice.m_is_leaving);
    CHECK(parsed.m_notice.m_retry_after == duration{2500ms});
    CHECK(parsed.m_notice.m_rate_limit->m_requests_per_second == 4.0);
}

TEST_CASE("only a successful response without the field ends a rate limit")
{
    auto const names = make_names();
    auto const served =
        parse_upstream_notice(names, make_head(http::status::ok));
    REQUIRE(served.m_notice.m_rate_limit);
    CHECK(!served.m_notice.m_rate_limit->m_requests_per_second);
    auto const failed = parse_upstream_notice(
        names, make_head(http::status::internal_server_error));
    CHECK(!failed.m_notice.m_rate_limit);
}

TEST_CASE("Retry-After counts only in a 503")
{
    auto head = make_head(http::status::ok);
    head.set("Retry-After", "5");
    CHECK(!parse_upstream_notice(make_names(), head).m_notice.m_retry_after);
}

TEST_CASE("invalid fields are reported and ignored")
{
    for (auto const* text :
         {"",
          "-1",
          "nan",
          "inf",
          "1e999",
          "1e9",
          "3601",
          "soon",
          "2, 3",
          "Wed, 21 Oct 2026 07:28:00 GMT"})
    {
        CAPTURE(text);
        CHECK(!parse_retry_after(text));
        auto head = make_head(http::status::service_unavailable);
        head.set("Retry-After", text);
        auto const parsed = parse_upstream_notice(make_names(), head);
        CHECK(!parsed.m_notice.m_retry_after);
        REQUIRE(parsed.m_invalid_fields.size() == 1);
        CHECK(parsed.m_invalid_fields[0].m_value == text);
    }
    auto head = make_head(http::status::service_unavailable);
    head.insert("Retry-After", "1");
    head.insert("Retry-After", "1");
    head.insert("X-Leaving", "0");
    auto const parsed = parse_upstream_notice(make_names(), head);
    CHECK(!parsed.m_notice.m_retry_after);
    CHECK(!parsed.m_notice.m_is_leaving);
    CHECK(parsed.m_invalid_fields.size() == 2);
}

TEST_CASE("a leaving upstream is not selected and its peers are told once")
{
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const entries{make_entry("u0")};
    balancer.set_upstreams(at(0ms), entries);
    CHECK(balancer.mark_leaving(tag_of(entries[0])));
    CHECK(!balancer.mark_leaving(tag_of(entries[0])));
    CHECK(!is_selected(balancer, at(1ms)));
    auto const updates = balancer.collect_updates(false);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].m_is_leaving);
    CHECK(balancer.collect_updates(false).empty());
}

TEST_CASE(
    "a peer's word about an earlier process of an upstream changes nothing")
{
    // Reports of peers can be late, repeated and out of order; the process that
    // they concern is part of the tag.
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const first{make_entry("u0", first_start)};
    std::vector<upstream_entry> const second{make_entry("u0", second_start)};
    balancer.set_upstreams(at(0ms), first);
    std::vector const updates{leaving_update(first[0])};
    balancer.receive(at(10ms), 7, 5, updates);
    CHECK(!is_selected(balancer, at(11ms)));
    balancer.set_upstreams(at(20ms), second);
    balancer.receive(at(30ms), 7, 5, updates);
    balancer.receive(at(31ms), 7, 4, updates);
    CHECK(is_selected(balancer, at(32ms)));
}

TEST_CASE("an upstream at a reused address is not closed")
{
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const former{make_entry("u0")};
    std::vector<upstream_entry> const next{make_entry("u1")};
    balancer.set_upstreams(at(0ms), former);
    balancer.mark_leaving(tag_of(former[0]));
    balancer.close_for(at(0ms), tag_of(former[0]), 30s);
    balancer.set_upstreams(at(1s), next);
    CHECK(is_selected(balancer, at(1s)));
}

TEST_CASE("a leaving upstream that is listed later is not selected")
{
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const entries{make_entry("u0")};
    balancer.receive(at(0ms), 7, 1, std::vector{leaving_update(entries[0])});
    balancer.set_upstreams(at(10ms), entries);
    CHECK(!is_selected(balancer, at(20ms)));
}

TEST_CASE("notices hold while the entry of the upstream is missing")
{
    // Entries expire while the store is unavailable and come back.
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const entries{
        make_entry("leaving"), make_entry("closed"), make_entry("limited")};
    balancer.set_upstreams(at(0ms), entries);
    balancer.mark_leaving(tag_of(entries[0]));
    balancer.close_for(at(0ms), tag_of(entries[1]), 60s);
    balancer.set_rate_limit(at(0ms), tag_of(entries[2]), {0.01});
    balancer.attempt_started(at(0ms), tag_of(entries[2]));
    balancer.set_upstreams(at(1s), {});
    balancer.attempt_ended(tag_of(entries[2]));
    balancer.set_upstreams(at(3s), entries);
    CHECK(!is_selected(balancer, at(3s)));
    CHECK(balancer.in_flight(at(3s), tag_of(entries[2])) == 0);
}

TEST_CASE("a process that starts learns of leaving upstreams")
{
    load_balancer running{"z1", 1};
    std::vector<upstream_entry> const entries{
        make_entry("u0"), make_entry("u1")};
    running.set_upstreams(at(0ms), entries);
    running.mark_leaving(tag_of(entries[0]));
    gossip_message reply;
    reply.m_origin = {1, 2};
    reply.m_upstream_health = running.estimates(at(1s));
    auto const received = decode_gossip(encode(std::vector{reply}));
    REQUIRE(received);
    for (bool const is_listed_first : {true, false})
    {
        CAPTURE(is_listed_first);
        load_balancer started{"z1", 2};
        if (is_listed_first)
        {
            started.set_upstreams(at(2s), entries);
        }
        started.adopt(at(2s), received->front().m_upstream_health);
        started.set_upstreams(at(2s), entries);
        for (int i = 0; i < 20; ++i)
        {
            auto const chosen =
                started.select_upstream(at(2s), make_request(i % 2 == 0));
            REQUIRE(chosen);
            CHECK(chosen->m_entry.m_upstream.m_id == "u1");
        }
    }
}

TEST_CASE("an update that states that an upstream is leaving can be encoded")
{
    gossip_message message;
    message.m_origin = {1, 2};
    message.m_upstreams.push_back(leaving_update(make_entry("u0")));
    auto const received = decode_gossip(encode(std::vector{message}));
    REQUIRE(received);
    CHECK(received->front() == message);
}

TEST_CASE("a closed upstream gets no request before the end of Retry-After")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        load_balancer balancer{"z1", seed};
        std::vector<upstream_entry> const entries{make_entry("u0")};
        balancer.set_upstreams(at(0ms), entries);
        CHECK(balancer.close_for(at(0ms), tag_of(entries[0]), 4s));
        CHECK(balancer.closed_upstreams(at(1s)) == 1);
        // A shorter time does not replace a longer one.
        CHECK(!balancer.close_for(at(100ms), tag_of(entries[0]), 1s));
        CHECK(!is_selected(balancer, at(3999ms)));
        CHECK(is_selected(balancer, at(5s)));
        CHECK(balancer.availability_wait(at(1s), "desk") >= 3s);
        CHECK(balancer.availability_wait(at(1s), "desk") <= 4s);
        CHECK(balancer.availability_wait(at(5s), "desk") == duration{0});
    }
}

TEST_CASE("the availability wait ends with the first upstream that stays")
{
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const entries{
        make_entry("u0"), make_entry("u1")};
    balancer.set_upstreams(at(0ms), entries);
    balancer.close_for(at(0ms), tag_of(entries[0]), 2s);
    CHECK(balancer.availability_wait(at(0ms), "desk") == duration{0});
    balancer.mark_leaving(tag_of(entries[1]));
    CHECK(balancer.availability_wait(at(0ms), "desk") >= 2s);
}

namespace
{

/// VMs that are all told at the same time by one of two upstreams to come back
/// after the same time. Requests take `service_time`, and VMs know of each
/// other's after `gossip_delay`.
class returning_fleet
{
public:
    returning_fleet(std::size_t vms, unsigned seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            m_vms.emplace_back("z1", seed * 1000 + i);
            m_vms.back().set_upstreams(at(0ms), m_entries);
            m_vms.back().close_for(at(0ms), tag_of(m_entries[0]), retry_after);
        }
    }

    /// Each VM gets a request at each of `bursts`, beside a steady load.
    /// Returns the most requests at once at the upstream that was closed.
    unsigned run(std::vector<milliseconds> const& bursts)
    {
        constexpr double requests_per_ms = 0.02;
        std::bernoulli_distribution arrives{requests_per_ms};
        std::bernoulli_distribution is_idempotent{0.3};
        std::uniform_int_distribution<std::size_t> pick{0, m_vms.size() - 1};
        for (auto now = 0ms; now < retry_after + 2s; now += 1ms)
        {
            finish_requests(now);
            deliver_updates(now);
            if (arrives(m_random))
            {
                start_request(now, pick(m_random), is_idempotent(m_random));
            }
            if (std::ranges::find(bursts, now) != bursts.end())
            {
                for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
                {
                    start_request(now, vm, is_idempotent(m_random));
                }
            }
        }
        return m_most;
    }

    static constexpr milliseconds retry_after{4000};

private:
    static constexpr milliseconds service_time{150};
    static constexpr milliseconds gossip_delay{60};

    struct running_request
    {
        milliseconds m_end{};
        std::size_t m_vm = 0;
        upstream_tag m_upstream = 0;
    };

    struct delayed_update
    {
        milliseconds m_due{};
        std::size_t m_from = 0;
        std::vector<upstream_update> m_update;
    };

    void start_request(milliseconds now, std::size_t vm, bool is_idempotent)
    {
        auto const target =
            m_vms[vm].select_upstream(at(now), make_request(is_idempotent));
        if (!target)
        {
            return;
        }
        auto const tag = tag_of(target->m_entry);
        m_vms[vm].attempt_started(at(now), tag);
        m_running.push_back({now + service_time, vm, tag});
        send_update(now, vm);
        if (tag == tag_of(m_entries[0]))
        {
            REQUIRE(now >= retry_after);
            m_most = std::max(m_most, ++m_at_closed);
        }
    }

    void finish_requests(milliseconds now)
    {
        while (!m_running.empty() && m_running.front().m_end <= now)
        {
            auto const request = m_running.front();
            m_running.pop_front();
            auto& balancer = m_vms[request.m_vm];
            balancer.attempt_ended(request.m_upstream);
            balancer.observe(at(now), request.m_upstream, observation::served);
            send_update(now, request.m_vm);
            m_at_closed -= request.m_upstream == tag_of(m_entries[0]) ? 1 : 0;
        }
    }

    void send_update(milliseconds now, std::size_t vm)
    {
        m_updates.push_back(
            {now + gossip_delay, vm, m_vms[vm].collect_updates(false)});
    }

    void deliver_updates(milliseconds now)
    {
        while (!m_updates.empty() && m_updates.front().m_due <= now)
        {
            auto const& update = m_updates.front();
            ++m_sequence;
            for (std::size_t i = 0; i < m_vms.size(); ++i)
            {
                if (i != update.m_from)
                {
                    m_vms[i].receive(
                        at(now),
                        static_cast<vm_tag>(update.m_from + 1),
                        m_sequence,
                        update.m_update);
                }
            }
            m_updates.pop_front();
        }
    }

    std::vector<upstream_entry> m_entries{make_entry("u0"), make_entry("u1")};
    std::mt19937 m_random;
    std::deque<load_balancer> m_vms;
    std::deque<running_request> m_running;
    std::deque<delayed_update> m_updates;
    std::uint64_t m_sequence = 0;
    unsigned m_at_closed = 0;
    unsigned m_most = 0;
};

} // namespace

TEST_CASE("requests return to a closed upstream without a burst")
{
    // VMs do not know each other's requests for a moment. If it opened to all
    // of them at the same time, all would choose the idle upstream.
    constexpr unsigned slots_and_queue = 4 + 16;
    auto const opens_at = returning_fleet::retry_after;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        returning_fleet fleet{32, seed};
        auto const most =
            fleet.run({opens_at, opens_at + 100ms, opens_at + 250ms});
        CHECK(most >= 1);
        CHECK(most <= slots_and_queue);
    }
}
