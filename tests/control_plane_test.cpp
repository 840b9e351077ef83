#include "config.hpp"
#include "control_plane.hpp"
#include "observation_log.hpp"
#include "stand_ins/platform_stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

/// The state that a VM's traffic thread would hold.
struct traffic_view
{
    std::optional<config> m_config;
    config_version m_config_version = 0;
    std::vector<member> m_members;
    control_version m_stable_version = 0;
    time_point m_valid_until{};
    bool m_claims_available = false;
    std::map<request_ticket, claim_verdict> m_verdicts;
    std::vector<addressed_lease_message> m_leases;
    std::vector<peer_evidence> m_evidence;
    bool m_stopping = false;

    void operator()(config_update&& update)
    {
        if (update.m_full_config)
        {
            m_config = std::move(*update.m_full_config);
        }
        for (auto const& operation : update.m_operations)
        {
            REQUIRE(m_config);
            apply(*m_config, operation);
        }
        m_config_version = update.m_version;
    }
    void operator()(members_update&& update)
    {
        m_members = std::move(update.m_members);
    }
    void operator()(stable_version_update&& update)
    {
        m_stable_version = update.m_version;
    }
    void operator()(freshness_update&& update)
    {
        m_valid_until = update.m_valid_until;
    }
    void operator()(claim_coverage&& update)
    {
        m_claims_available = update.m_available;
    }
    void operator()(claim_decision&& decision)
    {
        m_verdicts.emplace(decision.m_ticket, std::move(decision.m_verdict));
    }
    void operator()(addressed_lease_message&& message)
    {
        m_leases.push_back(std::move(message));
    }
    void operator()(peer_evidence&& message)
    {
        m_evidence.push_back(std::move(message));
    }
    void operator()(stop_traffic&& /*message*/)
    {
        m_stopping = true;
    }
    void operator()(upstreams_update&& /*message*/)
    {
    }
    void operator()(peer_suspects&& /*message*/)
    {
    }
};

struct test_vm
{
    test_vm(
        asio::io_context& io,
        std::string const& name,
        std::string platform,
        std::chrono::seconds retention)
        : m_self{name, 1, "domain-" + name},
          m_mailbox(
              io,
              4096,
              [this](traffic_message&& message)
              {
                  std::visit(m_view, std::move(message));
              })
    {
        m_settings.m_vm = name;
        m_settings.m_peer_listen = "127.0.0.1:0";
        m_settings.m_platform = std::move(platform);
        m_settings.m_log_retention = retention;
        m_control = std::make_unique<control_plane>(
            io, m_settings, m_self, m_metrics, m_mailbox);
        m_peer_address = "127.0.0.1:" + std::to_string(m_control->peer_port());
    }

    [[nodiscard]] bool is_fresh() const
    {
        return runtime_clock::now() < m_view.m_valid_until;
    }

    settings m_settings;
    member m_self;
    metrics_registry m_metrics;
    traffic_view m_view;
    mailbox<traffic_message> m_mailbox;
    std::unique_ptr<control_plane> m_control;
    std::string m_peer_address;
};

/// An address that refuses connections.
constexpr auto refusing_address = "127.0.0.1:1";

/// Runs a platform and VMs in this thread on a paused clock. Time advances only
/// when no handler is ready, so the results don't depend on the machine's load.
struct fleet_fixture
{
    explicit fleet_fixture(std::chrono::seconds retention = 24h)
        : m_retention(retention)
    {
        spdlog::set_level(spdlog::level::off);
        runtime_clock::pause();
        m_platform = std::make_unique<stand_in::platform_server>(
            m_io,
            asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0},
            stand_in::platform_options{m_retention});
    }

    ~fleet_fixture()
    {
        m_io.stop();
        runtime_clock::resume();
    }

    test_vm& add(std::string const& name)
    {
        auto const port = m_platform->endpoint().port();
        m_vms.push_back(std::make_unique<test_vm>(
            m_io, name, "127.0.0.1:" + std::to_string(port), m_retention));
        return *m_vms.back();
    }

    /// Adds VMs to the VM list, starts them and waits until all are members.
    void start(std::vector<std::string> const& names)
    {
        for (auto const& name : names)
        {
            add(name);
        }
        set_vm_list();
        for (auto const& vm : m_vms)
        {
            vm->m_control->start();
        }
        for (auto const& vm : m_vms)
        {
            wait_until(
                [&]
                {
                    return vm->is_fresh() &&
                           vm->m_view.m_members.size() == names.size();
                });
        }
    }

    void step()
    {
        m_io.restart();
        while (m_io.run_one_for(2ms) > 0)
        {
        }
        runtime_clock::advance(20ms);
    }

    void pass(duration time)
    {
        auto const end = runtime_clock::now() + time;
        while (runtime_clock::now() < end)
        {
            step();
        }
    }

    template <class Condition>
    void wait_until(Condition const& condition, duration limit = 30s)
    {
        auto const end = runtime_clock::now() + limit;
        while (!condition() && runtime_clock::now() < end)
        {
            step();
        }
        REQUIRE(condition());
    }

    asio::awaitable<void>
    send_request(http::request<http::string_body> request, std::string& body)
    {
        asio::ip::tcp::socket socket{m_io};
        co_await socket.async_connect(
            m_platform->endpoint(), asio::use_awaitable);
        co_await http::async_write(socket, request, asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(
            socket, buffer, response, asio::use_awaitable);
        body = response.body();
    }

    /// Sends a command to the platform and returns the response.
    json::value send_command(std::string const& path, json::value const& body)
    {
        http::request<http::string_body> request{http::verb::post, path, 11};
        request.body() = json::serialize(body);
        request.prepare_payload();
        std::string answer;
        asio::co_spawn(m_io, send_request(request, answer), asio::detached);
        wait_until(
            [&]
            {
                return !answer.empty();
            });
        return json::parse(answer);
    }

    /// Sets the VM list without the VMs in `missing`. The VMs in `unreachable`
    /// are listed with an address that refuses connections.
    void set_vm_list(
        std::vector<std::string> const& unreachable = {},
        std::vector<std::string> const& missing = {})
    {
        json::array vms;
        for (auto const& vm : m_vms)
        {
            std::string const& name = vm->m_self.m_vm;
            bool const is_unreachable =
                std::ranges::count(unreachable, name) > 0;
            if (std::ranges::count(missing, name) > 0)
            {
                continue;
            }
            vms.push_back(json::object{
                {"id", name},
                {"role", "entry"},
                {"failure_domain", vm->m_self.m_failure_domain},
                {"region", "r"},
                {"address", refusing_address},
                {"peer_address",
                 is_unreachable ? refusing_address : vm->m_peer_address},
                {"state", "live"}});
        }
        send_command("/test/vms", json::object{{"vms", std::move(vms)}});
    }

    std::uint64_t append_count()
    {
        return send_command("/test/counters", json::object{})
            .at("appends")
            .to_number<std::uint64_t>();
    }

    admin_reply send_and_wait(
        test_vm& vm,
        admin_topic topic,
        json::value body = nullptr,
        std::string argument = {})
    {
        auto const reply = std::make_shared<std::optional<admin_reply>>();
        vm.m_control->receive(admin_query{
            topic,
            std::move(argument),
            std::move(body),
            [reply](admin_reply answer)
            {
                *reply = std::move(answer);
            }});
        wait_until(
            [&]
            {
                return reply->has_value();
            });
        return std::move(**reply);
    }

    admin_reply set_account_rate(
        test_vm& vm, std::string id, config_version parent, double rate)
    {
        config_operation const operation =
            put_account{account_config{"shop", rate, 10.0}};
        return send_and_wait(
            vm,
            admin_topic::config_apply,
            json::object{
                {"change_id", std::move(id)},
                {"parent", parent},
                {"operations", json::array{to_json(operation)}}});
    }

    std::chrono::seconds m_retention;
    asio::io_context m_io;
    std::unique_ptr<stand_in::platform_server> m_platform;
    std::vector<std::unique_ptr<test_vm>> m_vms;
};

constexpr auto change_1 = "018f0000-0000-7000-8000-000000000001";
constexpr auto change_2 = "018f0000-0000-7000-8000-000000000002";

bool has_rate(test_vm const& vm, double rate)
{
    auto const& current = vm.m_view.m_config;
    return current && current->m_accounts.contains("shop") &&
           current->m_accounts.at("shop").m_rate == rate;
}

} // namespace

TEST_CASE("an accepted change takes effect on every VM")
{
    // Guards against an `ok` before the change is stable, and against a change
    // with a stale parent that reverts a concurrent change.
    fleet_fixture fleet;
    fleet.start({"a", "b", "c"});
    auto const reply =
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0);
    CHECK(reply.m_code == result_code::ok);
    for (auto const& vm : fleet.m_vms)
    {
        fleet.wait_until(
            [&]
            {
                return has_rate(*vm, 5.0);
            },
            4s);
    }
    auto const conflict =
        fleet.set_account_rate(*fleet.m_vms[1], change_2, 0, 9.0);
    CHECK(conflict.m_code == result_code::config_conflict);
    auto const invalid =
        fleet.set_account_rate(*fleet.m_vms[1], "other-id", 1, -1.0);
    CHECK(invalid.m_code == result_code::config_invalid);
    fleet.wait_until(
        [&]
        {
            return fleet.m_vms[2]->m_view.m_stable_version >= 4;
        },
        2s);
    CHECK(
        fleet
            .send_and_wait(
                *fleet.m_vms[2], admin_topic::change_lookup, nullptr, change_1)
            .m_code == result_code::ok);
    CHECK(
        fleet
            .send_and_wait(
                *fleet.m_vms[2], admin_topic::change_lookup, nullptr, "none")
            .m_code == result_code::admin_not_found);
    CHECK(has_rate(*fleet.m_vms[2], 5.0));
}

TEST_CASE("a change whose append response was lost is accepted once")
{
    fleet_fixture fleet;
    fleet.start({"a", "b"});
    auto const before = fleet.append_count();
    fleet.send_command(
        "/test/lose-answers",
        json::object{{"count", 1}, {"stream", "control"}});
    auto const reply =
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0);
    CHECK(reply.m_code == result_code::ok);
    CHECK(fleet.append_count() == before + 1);
    // The operator repeats the change, as if the first reply had been lost.
    CHECK(
        fleet.set_account_rate(*fleet.m_vms[1], change_1, 0, 5.0).m_code ==
        result_code::ok);
    CHECK(fleet.append_count() == before + 1);
}

TEST_CASE("a join whose append response was lost is not repeated")
{
    fleet_fixture fleet;
    fleet.send_command(
        "/test/lose-answers",
        json::object{{"count", 2}, {"stream", "control"}});
    fleet.start({"a", "b"});
    fleet.pass(3s);
    CHECK(fleet.append_count() == 2);
}

TEST_CASE("VMs confirm each other's version while the log is down")
{
    // Guards against a fleet that stops admitting when the platform log fails.
    fleet_fixture fleet;
    fleet.start({"a", "b", "c"});
    fleet.send_command("/test/outage", json::object{{"for_ms", 3'600'000}});
    auto const end = runtime_clock::now() + 12s;
    while (runtime_clock::now() < end)
    {
        fleet.step();
        for (auto const& vm : fleet.m_vms)
        {
            REQUIRE(vm->is_fresh());
        }
    }
    auto const reply =
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0);
    CHECK(reply.m_code == result_code::log_unavailable);
    CHECK_FALSE(fleet.m_vms[0]->m_view.m_claims_available);
}

TEST_CASE("a VM partitioned from the log and its peers stops admitting")
{
    // Guards against a partitioned VM that still accepts withdrawn keys.
    fleet_fixture fleet;
    fleet.start({"a", "b", "c"});
    fleet.set_vm_list({"a", "b", "c"});
    fleet.pass(2s);
    fleet.send_command(
        "/test/cut", json::object{{"vm", "c"}, {"for_ms", 8000}});
    fleet.pass(4100ms);
    CHECK_FALSE(fleet.m_vms[2]->is_fresh());
    CHECK(fleet.m_vms[0]->is_fresh());
    CHECK(
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0).m_code ==
        result_code::config_unconfirmed);
    CHECK_FALSE(has_rate(*fleet.m_vms[2], 5.0));
    fleet.wait_until(
        [&]
        {
            return fleet.m_vms[2]->is_fresh() && has_rate(*fleet.m_vms[2], 5.0);
        });
}

TEST_CASE("a VM partitioned from the log only follows its peers")
{
    // Guards against a VM that admits with an old version because its peers
    // respond.
    fleet_fixture fleet;
    fleet.start({"a", "b", "c"});
    fleet.send_command(
        "/test/cut", json::object{{"vm", "c"}, {"for_ms", 3'600'000}});
    fleet.pass(4s);
    CHECK(fleet.m_vms[2]->is_fresh());
    auto const reply =
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0);
    CHECK(reply.m_code == result_code::ok);
    fleet.wait_until(
        [&]
        {
            return has_rate(*fleet.m_vms[2], 5.0) && fleet.m_vms[2]->is_fresh();
        },
        4s);
}

TEST_CASE("a VM starts from a peer's snapshot while the log is down")
{
    fleet_fixture fleet;
    fleet.start({"a", "b"});
    CHECK(
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0).m_code ==
        result_code::ok);
    // Log requests time out; requests for the VM list succeed.
    fleet.send_command("/test/delay", json::object{{"ms", 3'600'000}});
    test_vm& new_vm = fleet.add("late");
    fleet.set_vm_list();
    fleet.pass(2s);
    new_vm.m_control->start();
    fleet.wait_until(
        [&]
        {
            return new_vm.is_fresh() && has_rate(new_vm, 5.0);
        });
    CHECK(new_vm.m_view.m_members.size() == 2);
}

TEST_CASE("a fenced VM refuses requests until it is a member again")
{
    // Guards against a removed VM that admits with its former rate shares.
    fleet_fixture fleet;
    fleet.start({"a", "b", "c"});
    fleet.set_vm_list({"c"});
    fleet.pass(2s);
    fleet.send_command(
        "/test/cut", json::object{{"vm", "c"}, {"for_ms", 60'000}});
    fleet.set_vm_list({"c"}, {"c"});
    fleet.wait_until(
        [&]
        {
            return fleet.m_vms[0]->m_view.m_members.size() == 2;
        });
    test_vm& fenced = *fleet.m_vms[2];
    CHECK(fenced.m_view.m_members.size() == 3);
    fleet.set_vm_list();
    bool was_refused = false;
    fleet.wait_until(
        [&]
        {
            bool const is_member = fenced.m_view.m_members.size() == 3;
            was_refused = was_refused || !is_member;
            CHECK((is_member || !fenced.is_fresh()));
            return was_refused && is_member && fenced.is_fresh();
        },
        90s);
}

TEST_CASE("a new VM starts from a snapshot after the log trimmed the changes")
{
    // Guards against a configuration that is lost when the log is trimmed.
    fleet_fixture fleet{12s};
    fleet.start({"a", "b"});
    CHECK(
        fleet.set_account_rate(*fleet.m_vms[0], change_1, 0, 5.0).m_code ==
        result_code::ok);
    fleet.pass(30s);
    test_vm& new_vm = fleet.add("late");
    fleet.set_vm_list({"a", "b"});
    fleet.pass(1s);
    new_vm.m_control->start();
    fleet.wait_until(
        [&]
        {
            return new_vm.is_fresh() && has_rate(new_vm, 5.0) &&
                   new_vm.m_view.m_members.size() == 3;
        });
}

TEST_CASE("a crash report is counted once on every path")
{
    // Guards against crash reports that circulate forever, and against a
    // duplicate message that raises the count and so refuses the request.
    time_point const now = runtime_clock::now();
    observation_log a{{"a", 1, "d"}};
    observation_log b{{"b", 1, "d"}};
    a.add_suspects(now, std::vector<suspect_request>{{"digest", 1}});
    auto const first = a.collect_for(now, "b").m_suspects;
    REQUIRE(first.size() == 1);
    CHECK(a.collect_for(now, "b").m_suspects.empty());
    a.resend_suspects("b");
    CHECK(a.collect_for(now, "b").m_suspects == first);
    CHECK(b.receive(now, first).size() == 1);
    CHECK(b.receive(now, first).empty());
    CHECK(a.receive(now, b.collect_for(now, "a").m_suspects).empty());
    a.add_suspects(now, std::vector<suspect_request>{{"digest", 1}});
    auto const second = b.receive(now, a.collect_for(now, "b").m_suspects);
    REQUIRE(second.size() == 1);
    CHECK(second[0].m_crashes == 1);
}

TEST_CASE("one of two claims for a request wins and its outcome is shared")
{
    fleet_fixture fleet;
    fleet.start({"a", "b"});
    test_vm& a = *fleet.m_vms[0];
    test_vm& b = *fleet.m_vms[1];
    std::string const key = make_uuid_v7(wall_now());
    auto const send_and_wait = [&](test_vm& vm, request_ticket ticket)
    {
        vm.m_control->receive(claim_request{
            ticket,
            {"shop", key},
            std::string(64, 'a'),
            runtime_clock::now() + 2s});
        fleet.wait_until(
            [&]
            {
                return vm.m_view.m_verdicts.contains(ticket);
            });
        return vm.m_view.m_verdicts.at(ticket);
    };
    fleet.wait_until(
        [&]
        {
            return a.m_view.m_claims_available && b.m_view.m_claims_available;
        });
    auto const first = send_and_wait(a, 1);
    REQUIRE(std::holds_alternative<claim_won>(first));
    auto const second = send_and_wait(b, 2);
    REQUIRE(std::holds_alternative<claim_refused>(second));
    CHECK(
        std::get<claim_refused>(second).m_code ==
        result_code::claim_in_progress);
    CHECK(
        fleet.send_and_wait(b, admin_topic::in_doubt)
            .m_body.at("claims")
            .as_array()
            .size() == 1);
    claim_outcome outcome;
    outcome.m_name = {"shop", key};
    outcome.m_claim_id = std::get<claim_won>(first).m_claim_id;
    outcome.m_known = true;
    outcome.m_http_status = 201;
    outcome.m_body_stored = true;
    a.m_control->receive(claim_outcome{outcome});
    auto const third = send_and_wait(b, 3);
    REQUIRE(std::holds_alternative<claim_finished>(third));
    CHECK(std::get<claim_finished>(third).m_outcome.m_http_status == 201);
}

TEST_CASE("leases, evidence and the leave of a VM reach its peer")
{
    fleet_fixture fleet;
    fleet.start({"a", "b"});
    test_vm& a = *fleet.m_vms[0];
    test_vm& b = *fleet.m_vms[1];
    b.m_control->receive(
        addressed_lease_message{"a", lease_request{"shop", 7, 3, 0.5, 2.0}});
    fleet.wait_until(
        [&]
        {
            return a.m_view.m_leases.size() == 1;
        });
    CHECK(a.m_view.m_leases[0].m_peer == "b");
    a.m_control->receive(
        addressed_lease_message{"b", lease_reply{"shop", 7, 1, 0.25, 1.0, 5s}});
    a.m_control->receive(evidence_report{{{"u-1", 3, 1, 0, 0}}});
    fleet.wait_until(
        [&]
        {
            return b.m_view.m_leases.size() == 1 &&
                   b.m_view.m_evidence.size() == 1;
        });
    CHECK(b.m_view.m_evidence[0].m_reporter == a.m_self);

    bool done = false;
    a.m_control->stop(
        [&]
        {
            done = true;
        });
    fleet.wait_until(
        [&]
        {
            return a.m_view.m_stopping;
        });
    CHECK_FALSE(done);
    a.m_control->receive(traffic_stopped{});
    fleet.wait_until(
        [&]
        {
            return done && b.m_view.m_members.size() == 1;
        });
}
