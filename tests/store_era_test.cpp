/// A store that returns from an older copy: the upstream directory, and the
/// readers of the store above a store in memory.

#include "event_log.hpp"
#include "metrics.hpp"
#include "state_sync.hpp"
#include "upstream_directory.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

time_point at(std::chrono::milliseconds offset)
{
    return time_point{} + 1h + offset;
}

/// Decodes "start sequence state port"; the state is r (ready) or d (draining).
std::variant<upstream_entry, decode_failure>
decode_entry(std::string_view key, std::string_view value)
{
    unsigned start = 0;
    unsigned sequence = 0;
    char state = 0;
    unsigned port = 0;
    std::string const text{value};
    if (std::sscanf(
            text.c_str(), "%u %u %c %u", &start, &sequence, &state, &port) != 4)
    {
        return decode_failure{"unreadable"};
    }
    upstream_entry entry;
    entry.m_upstream.m_id = key;
    entry.m_upstream.m_service = "desk";
    entry.m_upstream.m_address = "10.0.0.1:" + std::to_string(port);
    entry.m_upstream.m_state =
        state == 'd' ? vm_state::leaving : vm_state::live;
    entry.m_start_time = start;
    entry.m_sequence = sequence;
    return entry;
}

upstream_directory make_directory()
{
    return upstream_directory{
        decode_entry,
        [](std::string const& key, std::string const& reason)
        {
            FAIL_CHECK(key << ": " << reason);
        }};
}

store_record put(std::string key, std::string value, log_offset offset)
{
    return {std::move(key), std::move(value), offset};
}

store_record removal(std::string key, log_offset offset)
{
    return {std::move(key), std::nullopt, offset};
}

std::set<upstream_id> ids_of(std::vector<upstream_entry> const& entries)
{
    std::set<upstream_id> ids;
    for (auto const& entry : entries)
    {
        ids.insert(entry.m_upstream.m_id);
    }
    return ids;
}

using ids = std::set<upstream_id>;

std::vector<store_record> const before_return{
    put("a", "1 5 r 1", 95), put("b", "1 5 r 2", 96)};

/// The records of the copy, from before those of `before_return`.
std::vector<store_record> const older_copy{
    put("a", "1 4 r 1", 55), put("b", "1 4 r 2", 56)};

} // namespace

TEST_CASE("an upstream removed in the lost seconds stays unused")
{
    // The copy still has its entry, so VMs sent requests to a process that had
    // left.
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply(at(0ms), 0, std::vector{removal("a", 97)});
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"b"});
    directory.apply_snapshot(at(2s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"b"});
    directory.apply(at(3s), 1, std::vector{put("a", "1 6 r 1", 61)});
    CHECK(ids_of(directory.usable()) == ids{"a", "b"});
}

TEST_CASE("a removal deferred before the return is not undone by the copy")
{
    // The copy has the last announcement before the entry expired.
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.start_removal_grace(at(0ms));
    directory.apply(at(100ms), 0, std::vector{removal("a", 97)});
    directory.apply_snapshot(
        at(1s),
        std::vector{put("a", "1 5 r 1", 55), put("b", "1 5 r 2", 56)},
        {1, 60});
    CHECK(directory.remove_expired(at(2s)));
    CHECK(ids_of(directory.usable()) == ids{"b"});
}

TEST_CASE("an upstream that began to drain in the lost seconds stays draining")
{
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply(at(0ms), 0, std::vector{put("a", "1 6 d 1", 97)});
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"b"});
    // A new process under the same id is another upstream.
    directory.apply(at(2s), 1, std::vector{put("a", "2 1 r 1", 61)});
    CHECK(ids_of(directory.usable()) == ids{"a", "b"});
}

TEST_CASE("an older process of the copy does not replace a newer one")
{
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply(at(0ms), 0, std::vector{put("a", "2 1 r 7", 97)});
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    for (auto const& entry : directory.usable())
    {
        CHECK(entry.m_start_time == (entry.m_upstream.m_id == "a" ? 2U : 1U));
    }
    CHECK(directory.usable().size() == 2);
}

TEST_CASE("an address used again belongs to the later process")
{
    // A VM that started after "a" had left and "c" had taken its address knows
    // nothing of "a", which the copy brings back.
    auto directory = make_directory();
    directory.apply_snapshot(
        at(0ms),
        std::vector{put("b", "1 5 r 2", 96), put("c", "9 1 r 1", 98)},
        {0, 99});
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"b", "c"});
    directory.apply_snapshot(at(2s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"b", "c"});
}

TEST_CASE("an upstream that registered in the lost seconds has time to return")
{
    // Its entry is missing in the copy, and capacity that serves was dropped.
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply(
        at(0ms),
        0,
        std::vector{put("c", "1 1 r 3", 97), put("d", "1 1 r 4", 98)});
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"a", "b", "c", "d"});
    directory.apply(at(2s), 1, std::vector{put("c", "1 2 r 3", 61)});
    directory.remove_expired(at(1s) + removal_grace_period);
    CHECK(ids_of(directory.usable()) == ids{"a", "b", "c"});
    REQUIRE(directory.last_era_change());
    CHECK(directory.last_era_change()->m_missing == 2);
    CHECK(directory.last_era_change()->m_outdated == 2);
    CHECK(directory.last_era_change()->m_before == log_position{0, 98});
}

TEST_CASE("records of a later era count although their offsets are lower")
{
    // The same offset names two records, and the later one was taken for an
    // old one.
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply_snapshot(at(1s), older_copy, {1, 57});
    directory.apply(
        at(2s),
        1,
        std::vector{put("b", "1 6 d 2", 95), put("c", "1 1 r 3", 96)});
    CHECK(ids_of(directory.usable()) == ids{"a", "c"});
    CHECK(directory.last_change() == log_position{1, 96});
    directory.apply(at(4s), 1, std::vector{removal("a", 97)});
    CHECK(ids_of(directory.usable()) == ids{"c"});
}

TEST_CASE("a peer that is ahead in the old era gets the whole directory")
{
    auto peer = make_directory();
    peer.apply(at(0ms), 0, before_return);
    peer.apply(at(0ms), 0, std::vector{put("z", "1 1 r 9", 5000)});
    auto reader = make_directory();
    reader.apply(at(0ms), 0, before_return);
    reader.apply_snapshot(at(1s), older_copy, {1, 60});
    reader.apply(at(1s), 1, std::vector{put("c", "1 1 r 3", 61)});
    REQUIRE(reader.last_change() > peer.last_change());

    auto const known = reader.last_change();
    CHECK(!reader.adopt(at(1s), peer.changes_since(known)));
    CHECK(reader.last_change() == known);
    CHECK(ids_of(reader.usable()) == ids{"a", "b", "c"});

    auto const update = reader.changes_since(peer.last_change());
    CHECK(update.m_is_snapshot);
    peer.adopt(at(1s), update);
    CHECK(peer.last_change() == known);
    CHECK(ids_of(peer.usable()) == ids{"a", "b", "c", "z"});
    peer.remove_expired(at(1s) + removal_grace_period);
    CHECK(ids_of(peer.usable()) == ids{"a", "b", "c"});
}

TEST_CASE("a peer learns of a removal before the return, without a delay")
{
    // The removal was read in the lost seconds and the peer had not heard of
    // it. It learns the last announcement too: it knew only the first one, and
    // as a reader it would take the copy's for a later one.
    auto reader = make_directory();
    reader.apply(at(0ms), 0, std::vector{put("a", "1 1 r 1", 1)});
    auto peer = make_directory();
    peer.adopt(at(0ms), reader.changes_since({}));
    reader.apply(at(0ms), 0, before_return);
    reader.apply(at(0ms), 0, std::vector{removal("a", 97)});
    reader.apply_snapshot(at(1s), older_copy, {1, 60});
    peer.adopt(at(1s), reader.changes_since(peer.last_change()));
    CHECK(ids_of(peer.usable()) == ids{"b"});
    peer.apply_snapshot(at(2s), older_copy, {1, 60});
    CHECK(ids_of(peer.usable()) == ids{"b"});
}

TEST_CASE("a VM that started later learns what left before the return")
{
    // It read the copy and sent requests to an upstream that had left.
    auto peer = make_directory();
    peer.apply(at(0ms), 0, before_return);
    peer.apply(at(0ms), 0, std::vector{removal("a", 97)});
    peer.apply_snapshot(at(1s), older_copy, {1, 60});
    auto directory = make_directory();
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    REQUIRE(ids_of(directory.usable()) == ids{"a", "b"});
    CHECK(directory.adopt_lost(at(1s), peer.changes_since({})));
    CHECK(ids_of(directory.usable()) == ids{"b"});
    directory.apply_snapshot(at(2s), older_copy, {1, 60});
    CHECK(ids_of(directory.usable()) == ids{"b"});
    // An upstream that announced itself since is not removed.
    directory.apply(at(3s), 1, std::vector{put("a", "1 6 r 1", 61)});
    CHECK(!directory.adopt_lost(at(3s), peer.changes_since({})));
    CHECK(ids_of(directory.usable()) == ids{"a", "b"});
}

TEST_CASE("a VM that read the copy learns what another one kept")
{
    // Repeated announcements were no change at the VM that kept them, so a VM
    // that had read the copy went on sending requests to "a" and "b".
    auto reader = make_directory();
    reader.apply(at(0ms), 0, before_return);
    reader.apply(
        at(0ms), 0, std::vector{put("a", "1 6 d 1", 97), removal("b", 98)});
    reader.apply_snapshot(at(1s), older_copy, {1, 60});
    for (bool const is_repeated : {false, true})
    {
        auto other = make_directory();
        other.apply_snapshot(at(1s), older_copy, {1, 60});
        if (is_repeated)
        {
            other.apply(at(1s), 1, std::vector{put("c", "1 1 r 3", 61)});
            reader.apply(
                at(2s),
                1,
                std::vector{
                    put("c", "1 1 r 3", 61),
                    put("a", "1 7 d 1", 62),
                    removal("b", 63)});
        }
        else
        {
            other.adopt_lost(at(1s), reader.changes_since({}));
            CHECK(other.usable().empty());
            other = make_directory();
            other.apply(
                at(0ms),
                0,
                std::vector{put("a", "1 3 r 1", 1), put("b", "1 3 r 2", 2)});
            other.apply_snapshot(at(1s), older_copy, {1, 60});
        }
        REQUIRE(reader.last_change() > other.last_change());
        other.adopt(at(4s), reader.changes_since(other.last_change()));
        CHECK(ids_of(other.usable()) == (is_repeated ? ids{"c"} : ids{}));
    }
}

TEST_CASE("changes of an older era or without their history have no effect")
{
    auto peer = make_directory();
    peer.apply(at(0ms), 0, before_return);
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    CHECK(!directory.apply(at(1s), 0, std::vector{removal("a", 500)}));
    CHECK(!directory.apply(at(1s), 2, std::vector{removal("a", 500)}));
    CHECK(!directory.apply_snapshot(at(1s), {}, {0, 500}));
    CHECK(directory.usable().size() == 2);
    upstream_directory::change_set later;
    later.m_last_change = {2, 5};
    CHECK(!directory.adopt(at(1s), later));
    CHECK(directory.last_change().m_era == 1);
}

TEST_CASE("a second return during the first one")
{
    auto directory = make_directory();
    directory.apply(at(0ms), 0, before_return);
    directory.apply(
        at(0ms), 0, std::vector{removal("a", 97), put("c", "1 1 r 3", 98)});
    directory.apply_snapshot(at(1s), older_copy, {1, 60});
    directory.apply(at(1s), 1, std::vector{put("d", "1 1 r 4", 61)});
    directory.apply_snapshot(
        at(2s),
        std::vector{put("a", "1 2 r 1", 20), put("b", "1 2 r 2", 21)},
        {2, 22});
    CHECK(ids_of(directory.usable()) == ids{"b", "c", "d"});
    // A read of the first return ends late.
    CHECK(!directory.apply_snapshot(at(2s), older_copy, {1, 60}));
    directory.apply(at(2500ms), 2, std::vector{put("d", "1 2 r 4", 23)});
    directory.remove_expired(at(4s));
    CHECK(ids_of(directory.usable()) == ids{"b", "d"});
    CHECK(directory.last_change().m_era == 2);
}

namespace
{

/// A store in memory that can return from an older copy.
class memory_store : public fleet_store
{
public:
    explicit memory_store(asio::io_context& io) : m_io(io)
    {
    }

    void append(store_topic topic, std::string key, std::string value)
    {
        m_logs[topic].emplace_back(std::move(key), std::move(value));
    }

    /// Drops the records of a topic from an offset on.
    void truncate(store_topic topic, std::size_t end)
    {
        m_logs[topic].resize(std::min(end, m_logs[topic].size()));
    }

    /// Begins the next era, after `truncate`.
    void return_from_copy()
    {
        ++m_current_era;
    }

    [[nodiscard]] std::optional<store_era> era() const override
    {
        return m_era;
    }

    asio::awaitable<store_result> read_latest(store_topic topic) override
    {
        ++m_latest_reads;
        m_era = m_current_era;
        store_page page;
        std::map<std::string, store_record> newest;
        for (auto const& [key, value] : m_logs[topic])
        {
            newest[key] = {key, value, page.m_end++};
        }
        for (auto& [key, record] : newest)
        {
            page.m_records.push_back(std::move(record));
        }
        page.m_era = m_current_era;
        co_return page;
    }

    asio::awaitable<store_result> read(
        store_topic topic,
        log_offset from,
        std::chrono::milliseconds wait) override
    {
        if (wait > 0ms && m_logs[topic].size() <= from)
        {
            timer alarm{m_io, wait};
            co_await alarm.async_wait(asio::use_awaitable);
        }
        m_era = m_current_era;
        store_page page;
        page.m_era = m_current_era;
        page.m_end = from;
        auto const& log = m_logs[topic];
        for (; page.m_end < log.size(); ++page.m_end)
        {
            auto const& [key, value] = log[page.m_end];
            page.m_records.push_back({key, value, page.m_end});
        }
        co_return page;
    }

    asio::awaitable<std::optional<store_failure>>
    put(store_topic topic, std::string key, std::string value) override
    {
        m_era = m_current_era;
        append(topic, std::move(key), std::move(value));
        co_return std::nullopt;
    }

    [[nodiscard]] std::optional<std::variant<fleet_policy, decode_failure>>
    decode_policy(std::string_view, std::string_view value) const override
    {
        fleet_policy policy;
        policy.m_version = std::stoull(std::string{value});
        return policy;
    }

    [[nodiscard]] std::optional<std::variant<failure_domain, decode_failure>>
    decode_evacuation(std::string_view) const override
    {
        return std::nullopt;
    }

    [[nodiscard]] std::variant<upstream_entry, decode_failure>
    decode_upstream(std::string_view key, std::string_view value) const override
    {
        return decode_entry(key, value);
    }

    std::map<store_topic, std::vector<std::pair<std::string, std::string>>>
        m_logs;
    int m_latest_reads = 0;

private:
    asio::io_context& m_io;
    store_era m_current_era = 0;
    std::optional<store_era> m_era;
};

/// A VM that reads the store, under a paused clock.
struct reader_fixture
{
    reader_fixture()
    {
        runtime_clock::pause();
        m_settings.m_ip = "127.0.0.1";
        m_settings.m_failure_domain = "z1";
        m_settings.m_peer_listen = "127.0.0.1:0";
        m_store.append(store_topic::policy, "config", "3");
        m_store.append(store_topic::upstreams, "a", "1 1 r 1");
        m_store.append(store_topic::upstreams, "b", "1 1 r 2");
    }

    ~reader_fixture()
    {
        m_sync->stop();
        runtime_clock::resume();
    }
    reader_fixture(reader_fixture const&) = delete;
    reader_fixture& operator=(reader_fixture const&) = delete;

    void start()
    {
        m_sync = std::make_unique<state_sync>(
            m_io,
            m_settings,
            m_store,
            m_metrics,
            m_events,
            [this](state_event&& event)
            {
                if (auto* policy = std::get_if<policy_event>(&event))
                {
                    m_policy_version = policy->m_policy->m_version;
                }
                else if (auto* found = std::get_if<upstreams_event>(&event))
                {
                    m_usable = ids_of(found->m_upstreams);
                }
            });
        m_sync->start();
        run(1s);
    }

    void run(std::chrono::milliseconds length)
    {
        constexpr auto step = 20ms;
        for (auto passed = 0ms; passed < length; passed += step)
        {
            runtime_clock::advance(step);
            m_io.run_for(3ms);
        }
    }

    /// Announces "a" and "b" so that the log reaches an offset.
    void fill_log(std::size_t end)
    {
        auto& log = m_store.m_logs[store_topic::upstreams];
        while (log.size() < end)
        {
            auto const sequence = std::to_string(log.size());
            bool const is_odd = log.size() % 2 == 1;
            log.emplace_back(
                is_odd ? "a" : "b",
                "1 " + sequence + " r " + (is_odd ? "1" : "2"));
        }
    }

    asio::io_context m_io;
    edge_settings m_settings;
    memory_store m_store{m_io};
    metrics_registry m_metrics;
    event_log m_events{"vm"};
    std::unique_ptr<state_sync> m_sync;
    std::uint64_t m_policy_version = 0;
    ids m_usable;
};

} // namespace

TEST_CASE_FIXTURE(
    reader_fixture, "the offset of the next read goes back without an error")
{
    // The log had grown past that offset again, so the read succeeded and
    // skipped the records before it.
    fill_log(100);
    start();
    REQUIRE(m_usable == ids{"a", "b"});
    m_store.truncate(store_topic::upstreams, 60);
    m_store.return_from_copy();
    m_store.append(store_topic::upstreams, "c", "1 1 r 3");
    fill_log(120);
    run(1s);
    CHECK(m_usable == ids{"a", "b", "c"});
    CHECK(m_metrics.get_gauge("briarhub_store_era").value() == 1);
    CHECK(
        m_metrics.get_counter("briarhub_store_era_changes_total").value() == 1);
}

TEST_CASE_FIXTURE(reader_fixture, "a read offset beyond the end of the log")
{
    // The store waits for records that get the offset again, and the VM took
    // the silence for the newest state.
    fill_log(100);
    start();
    m_store.truncate(store_topic::upstreams, 60);
    m_store.return_from_copy();
    m_store.append(store_topic::upstreams, "c", "1 1 r 3");
    run(1s);
    CHECK(m_usable == ids{"a", "b", "c"});
    // A second return, before the entries of the first were read on.
    m_store.truncate(store_topic::upstreams, 50);
    m_store.return_from_copy();
    m_store.append(store_topic::upstreams, "d", "1 1 r 4");
    run(1s);
    CHECK(m_usable == ids{"a", "b", "c", "d"});
    run(3s);
    CHECK(m_usable == ids{"a", "b", "d"});
}

TEST_CASE_FIXTURE(reader_fixture, "the policy never goes back to a copy's")
{
    // The copy lacks versions 5 and 7, and the offset that the VM waits for is
    // beyond the end of its log.
    start();
    m_store.append(store_topic::policy, "config", "5");
    m_store.append(store_topic::policy, "config", "7");
    run(1s);
    REQUIRE(m_policy_version == 7);
    m_store.truncate(store_topic::policy, 1);
    m_store.return_from_copy();
    run(1s);
    CHECK(m_policy_version == 7);
    m_store.append(store_topic::policy, "config", "9");
    run(1s);
    CHECK(m_policy_version == 9);
}

TEST_CASE_FIXTURE(reader_fixture, "a return costs a reader two reads of all")
{
    // See docs/CAPACITY.md.
    start();
    int const before = m_store.m_latest_reads;
    m_store.return_from_copy();
    run(2s);
    CHECK(m_store.m_latest_reads - before == 2);
}

TEST_CASE_FIXTURE(reader_fixture, "a VM that the copy lacks registers again")
{
    // Processes that start later would not find it.
    start();
    auto& log = m_store.m_logs[store_topic::fleet];
    REQUIRE(log.size() == 1);
    m_store.truncate(store_topic::fleet, 0);
    m_store.return_from_copy();
    run(3s);
    REQUIRE(log.size() == 1);
    CHECK(log[0].first == "127.0.0.1");
    // A VM that registered long ago is in any copy.
    runtime_clock::advance(60s);
    run(1s);
    m_store.return_from_copy();
    run(3s);
    CHECK(log.size() == 1);
}
