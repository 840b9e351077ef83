#include "claim_table.hpp"
#include "claim_writer.hpp"
#include "idempotency_key.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

wall_time const wall_start{std::chrono::milliseconds{1'800'000'000'000}};
time_point const start{1h};

std::string const digest_a(64, 'a');
std::string const digest_b(64, 'b');

/// A UUIDv7 of the given time. Deterministic, unlike `make_uuid_v7`.
std::string make_key(wall_time at, std::uint64_t random)
{
    std::string const text = make_uuid_v7(at);
    std::string digits = std::to_string(random);
    digits.insert(0, 12 - std::min<std::size_t>(12, digits.size()), '0');
    return text.substr(0, 14) + "7000-8000-" + digits.substr(0, 12);
}

wall_time wall_at(time_point now)
{
    return wall_start +
           std::chrono::floor<std::chrono::milliseconds>(now - start);
}

/// One VM and a log without faults, for tests of single functions.
struct fixture
{
    claim_name const m_name{"acme", make_key(wall_start, 1)};
    claim_table m_table;
    claim_writer m_writer{{"vm-1", 11, "a"}};
    log_offset m_log_end = 0;
    time_point m_now = start;

    fixture()
    {
        m_table.set_covered_since(wall_time{});
    }

    log_offset commit(std::string const& data)
    {
        m_table.fold({m_log_end, wall_at(m_now), data});
        return m_log_end++;
    }

    log_offset commit(claim_entry const& entry)
    {
        return commit(to_record(std::vector{entry}));
    }

    void
    send_request(request_ticket ticket, std::string const& digest = digest_a)
    {
        m_writer.request(m_now, ticket, m_name, digest, m_now + 1s);
    }

    std::vector<claim_decision> poll()
    {
        return m_writer.poll(m_now, m_table);
    }

    std::string next_record()
    {
        m_now += 300ms;
        return m_writer.start_append(m_now).value_or("");
    }

    std::string code()
    {
        auto const decisions = poll();
        if (decisions.size() != 1)
        {
            return "decisions: " + std::to_string(decisions.size());
        }
        auto const& verdict = decisions[0].m_verdict;
        if (auto const* const refused = std::get_if<claim_refused>(&verdict))
        {
            return std::string{describe(refused->m_code).m_name};
        }
        return std::holds_alternative<claim_won>(verdict) ? "won" : "finished";
    }
};

claim_outcome
make_outcome(claim_name const& name, claim_id const& claimed_id, bool known)
{
    claim_outcome outcome{name, claimed_id, known, 200, {}, "", 0, true};
    outcome.m_headers = {{"X-Note", "caf\xe9"}};
    outcome.m_body = std::string{"\x00\xff{\"paid\":1}", 12};
    outcome.m_body_length = outcome.m_body.size();
    return outcome;
}

} // namespace

TEST_CASE("only UUIDv7 keys with a covered time are accepted")
{
    // Any other key carries no time, so a retry could arrive after its claim
    // expired and run the request again.
    std::string const key = make_uuid_v7(wall_start);
    CHECK(uuid_v7_time(key) == wall_start);
    auto const check = [&](std::string const& text, auto now, auto since)
    {
        return check_idempotency_key(text, now, since);
    };
    CHECK(check(key, wall_start, wall_start) == result_code::ok);
    std::string version_4 = key;
    version_4[14] = '4';
    std::string variant = key;
    variant[19] = '0';
    std::string letter = key;
    letter[3] = 'g';
    for (std::string const& bad :
         {version_4, variant, letter, key + "0", std::string{}})
    {
        CHECK(
            check(bad, wall_start, wall_time{}) ==
            result_code::idempotency_key_invalid);
    }
    CHECK(
        check(key, wall_start - 61s, wall_time{}) ==
        result_code::idempotency_key_in_future);
    CHECK(
        check(key, wall_start, wall_start + 1ms) ==
        result_code::idempotency_key_expired);
}

TEST_CASE("records preserve outcomes byte for byte; bad records are rejected")
{
    // A retry must get the same response as the first attempt.
    claim_name const name{"acme", make_key(wall_start, 1)};
    claim_id const claimed_id{"vm-1", ~std::uint64_t{0}, 7};
    auto const outcome = make_outcome(name, claimed_id, true);
    auto const parsed =
        parse_claims_record(to_record(std::vector<claim_entry>{outcome}));
    REQUIRE(parsed);
    auto const& back = std::get<claim_outcome>(parsed->at(0));
    CHECK(back.m_claim_id == claimed_id);
    CHECK(back.m_headers == outcome.m_headers);
    CHECK(back.m_body == outcome.m_body);
    CHECK_FALSE(parse_claims_record("{\"format\":2,\"entries\":[]}"));
    CHECK_FALSE(parse_claims_record("{\"format\":1,\"entries\":[{}]}"));
    CHECK_FALSE(parse_claims_record("not JSON"));
}

TEST_CASE_FIXTURE(fixture, "the first claim in the log wins")
{
    // Guards against a second run when two VMs claim a name concurrently.
    send_request(1);
    CHECK(poll().empty());
    std::string const record = next_record();
    commit(claim{m_name, {"vm-2", 22, 5}, digest_a});
    m_writer.append_succeeded(m_now, commit(record));
    CHECK(poll().empty());
    CHECK(m_writer.needs_read(m_table));
    commit(claim_entry{make_outcome(m_name, {"vm-2", 22, 5}, true)});
    auto const decisions = poll();
    REQUIRE(decisions.size() == 1);
    auto const* const finished =
        std::get_if<claim_finished>(&decisions[0].m_verdict);
    REQUIRE(finished != nullptr);
    CHECK(finished->m_outcome.m_body == make_outcome(m_name, {}, true).m_body);
}

TEST_CASE_FIXTURE(
    fixture, "an acknowledged claim is decided only after it is folded")
{
    // The acknowledgement does not show whether an earlier claim holds the
    // name.
    send_request(1);
    std::string const record = next_record();
    m_writer.append_succeeded(m_now, 0);
    CHECK(poll().empty());
    commit(record);
    CHECK(code() == "won");
}

TEST_CASE_FIXTURE(
    fixture, "a late or repeated release does not release a later claim")
{
    // A release of claim 1 that is appended after claim 2 must not allow a
    // second run.
    claim_id const first{"vm-1", 11, 1};
    claim_id const second{"vm-1", 11, 2};
    commit(claim{m_name, first, digest_a});
    commit(claim_release{m_name, first});
    CHECK_FALSE(m_table.find(m_name));
    commit(claim{m_name, second, digest_a});
    commit(claim_release{m_name, first});
    REQUIRE(m_table.find(m_name));
    commit(claim_entry{make_outcome(m_name, second, false)});
    commit(claim_release{m_name, second});
    REQUIRE(m_table.find(m_name));
    CHECK(m_table.find(m_name)->m_state == claim_state::in_doubt);
    CHECK(m_table.unresolved().size() == 1);
}

TEST_CASE_FIXTURE(
    fixture, "a claim without an answer is released when it appears in the log")
{
    // Guards against a blocked name: the append of a claim times out, the claim
    // is abandoned, and its record reaches the log later.
    send_request(1);
    std::string const late = next_record();
    m_writer.append_unknown(m_now);
    CHECK(code() == "claims_unavailable");
    send_request(2);
    std::string const retry = next_record();
    commit(late);
    m_writer.append_succeeded(m_now, commit(retry));
    CHECK(poll().empty());
    commit(next_record());
    CHECK_FALSE(m_table.find(m_name));
    m_writer.append_succeeded(m_now, m_log_end - 1);
    CHECK(poll().empty());
    m_writer.append_succeeded(m_now, commit(next_record()));
    CHECK(code() == "won");
}

TEST_CASE_FIXTURE(fixture, "the refusal code matches the state of the claim")
{
    // A "not run" response must not hide the run of another attempt.
    claim_id claimed_id{"vm-2", 22, 1};
    SUBCASE("log unavailable")
    {
        send_request(1);
        next_record();
        m_writer.append_refused(m_now);
        CHECK(code() == "claims_unavailable");
    }
    SUBCASE("log unavailable, claim of another attempt folded")
    {
        send_request(1);
        next_record();
        m_writer.append_refused(m_now);
        commit(claim{m_name, claimed_id, digest_a});
        CHECK(poll().empty());
        m_now += 1s;
        CHECK(code() == "claim_in_progress");
    }
    SUBCASE("different request digest")
    {
        commit(claim{m_name, claimed_id, digest_b});
        send_request(1);
        CHECK(code() == "idempotency_key_reused");
    }
    SUBCASE("outcome unknown")
    {
        commit(claim{m_name, claimed_id, digest_a});
        commit(claim_entry{make_outcome(m_name, claimed_id, false)});
        send_request(1);
        CHECK(code() == "claim_in_doubt");
    }
    SUBCASE("the holder is an earlier incarnation of this VM")
    {
        claimed_id = {"vm-1", 10, 1};
        commit(claim{m_name, claimed_id, digest_a});
        send_request(1);
        CHECK(code() == "claim_in_doubt");
    }
    SUBCASE("body not stored")
    {
        auto outcome = make_outcome(m_name, claimed_id, true);
        outcome.m_body.assign(max_stored_body_bytes + 1, 'x');
        m_writer.record_outcome(outcome);
        commit(claim{m_name, claimed_id, digest_a});
        commit(next_record());
        send_request(1);
        CHECK(code() == "outcome_not_stored");
    }
    SUBCASE("the claim is appended after the deadline")
    {
        send_request(1);
        std::string const record = next_record();
        m_now += 1s;
        CHECK(code() == "claims_unavailable");
        m_writer.append_succeeded(m_now, commit(record));
        poll();
        commit(next_record());
        CHECK_FALSE(m_table.find(m_name));
    }
    SUBCASE("the stream is not read yet")
    {
        m_table = claim_table{};
        send_request(1);
        CHECK(code() == "claims_unavailable");
    }
    // A refused request has no entry left to append.
    CHECK(next_record().empty());
}

TEST_CASE_FIXTURE(fixture, "keys that the table does not cover are refused")
{
    // Guards against a second run after the first claim expired from the log.
    commit(claim{m_name, {"vm-2", 22, 1}, digest_a});
    m_table.expire(wall_start + 1ms);
    CHECK(m_table.size() == 0);
    send_request(1);
    CHECK(code() == "idempotency_key_expired");
    // A gap in the log may contain a claim or a release.
    m_table = claim_table{};
    m_table.fold({7, wall_start, "a record of another format"});
    CHECK(m_table.covered_since() == wall_start + max_key_lead);
    // The claim of a key too far in the future would expire from the log before
    // the key does.
    claim_name const early{
        "acme", make_key(wall_start + max_key_lead + 1ms, 1)};
    m_table.fold(
        {8,
         wall_start,
         to_record(std::vector<claim_entry>{
             claim{early, {"vm-2", 22, 2}, digest_a}})});
    CHECK_FALSE(m_table.find(early));
}

TEST_CASE_FIXTURE(fixture, "an idle stream gets heartbeat records")
{
    // Without a record, a VM that starts on a trimmed, empty stream refuses
    // every key.
    m_table = claim_table{};
    m_table.set_covered_since(wall_start);
    poll();
    std::string const marker = next_record();
    REQUIRE_FALSE(marker.empty());
    m_table.fold({5, wall_start, marker});
    m_writer.append_succeeded(m_now, 5);
    CHECK(m_table.covered_since() == wall_start + max_key_lead);
    poll();
    m_now += heartbeat_record_interval / 2;
    poll();
    CHECK(next_record().empty());
    m_now += 2 * heartbeat_record_interval;
    poll();
    CHECK_FALSE(next_record().empty());
}

TEST_CASE_FIXTURE(fixture, "appends stay within the fleet's append budget")
{
    // Guards against a fleet of 36 VMs that exceeds the append rate of the log.
    m_writer.set_member_count(36);
    int appends = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        m_now += 1ms;
        m_writer.request(
            m_now,
            static_cast<request_ticket>(i),
            {"acme", make_key(wall_start, static_cast<std::uint64_t>(i))},
            digest_a,
            m_now + 1s);
        if (auto const record = m_writer.start_append(m_now))
        {
            ++appends;
            m_writer.append_succeeded(m_now, commit(*record));
        }
        poll();
    }
    CHECK(appends <= 10 * claim_append_budget_per_second / 36 + 1);
    CHECK(m_table.size() > 9'800);
}

namespace
{

/// Injected defects that the invariant checker must detect.
enum class defect
{
    none,
    verdict_at_acknowledgement,
    release_without_sequence,
    unknown_as_refused
};

struct options
{
    std::uint64_t m_seed = 0;
    bool m_vm_crashes = true;
    defect m_defect = defect::none;
    std::chrono::seconds m_retention{3600};
    std::chrono::seconds m_duration{40};
    std::chrono::milliseconds m_step{10};
    std::chrono::milliseconds m_max_pause{20'000};
};

/// A request that an upstream received.
struct run
{
    request_ticket m_ticket = 0;
    std::string m_body;
};

/// A caller's request and the response it got.
struct attempt
{
    claim_name m_name;
    std::optional<result_code> m_code;
    std::string m_body;
    bool m_cancelled = false;
};

/// Simulates several VMs that share one log, with faults of the VMs and the
/// log.
class simulation
{
public:
    explicit simulation(options const& chosen)
        : m_options(chosen), m_random(chosen.m_seed)
    {
        for (std::size_t i = 0; i < 4; ++i)
        {
            m_vms.push_back(make_vm("vm-" + std::to_string(i)));
        }
    }

    void run_all()
    {
        for (; m_now < start + m_options.m_duration; m_now += m_options.m_step)
        {
            step(true);
        }
        // Runs without faults until all claims are decided, then requests every
        // name once more.
        m_faults_enabled = false;
        run_without_faults();
        for (claim_name const& name : m_names)
        {
            m_final_requests.push_back(
                send_request(*m_vms[random_below(m_vms.size())], name));
        }
        run_without_faults();
    }

    /// The first violated invariant, or an empty string. Checks only requests
    /// that upstreams received and responses that callers got.
    [[nodiscard]] std::string violation() const
    {
        for (auto const& [name, runs] : m_runs)
        {
            if (runs.size() > 1)
            {
                return "two runs of " + name.m_idempotency_key;
            }
        }
        for (auto const& [ticket, attempted] : m_attempts)
        {
            if (!attempted.m_code)
            {
                if (!attempted.m_cancelled && !m_options.m_vm_crashes)
                {
                    return "an attempt without a response";
                }
                continue;
            }
            auto const found = m_runs.find(attempted.m_name);
            run const* const ran =
                found == m_runs.end() ? nullptr : &found->second[0];
            execution_status const reported =
                describe(*attempted.m_code).m_execution;
            if (reported == execution_status::not_run && ran &&
                ran->m_ticket == ticket)
            {
                return "a false \"not run\"";
            }
            if (reported == execution_status::ran && ran == nullptr)
            {
                return "a false \"ran\"";
            }
            if (*attempted.m_code == result_code::ok &&
                attempted.m_body != ran->m_body)
            {
                return "a response that differs from that of the run";
            }
        }
        return liveness_violation();
    }

    [[nodiscard]] std::size_t count(result_code code) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_attempts.begin(),
            m_attempts.end(),
            [&](auto const& item)
            {
                return item.second.m_code == code;
            }));
    }

    [[nodiscard]] std::size_t run_count() const
    {
        return m_runs.size();
    }

private:
    struct won_claim
    {
        request_ticket m_ticket = 0;
        claim_id m_claim_id;
        time_point m_deadline{};
        time_point m_due{}; ///< time of the send, then of the response
        bool m_sent = false;
    };

    struct vm
    {
        member m_self;
        claim_writer m_writer;
        claim_table m_table;
        time_point m_paused_until{};
        std::vector<won_claim> m_won_claims;
        std::uint64_t m_append_id = 0; ///< id of the append in flight
    };

    struct event
    {
        enum class kind
        {
            commit,
            acknowledge,
            refuse,
            time_out
        };
        kind m_kind = kind::commit;
        std::uint64_t m_append_id = 0;
        std::string m_data;
        log_offset m_offset = 0;
    };

    std::uint64_t random_below(std::uint64_t limit)
    {
        return m_random() % limit;
    }

    bool fault_occurs(std::uint64_t per_mille)
    {
        return m_faults_enabled && random_below(1000) < per_mille;
    }

    std::chrono::milliseconds
    random_duration(std::uint64_t low, std::uint64_t high)
    {
        return std::chrono::milliseconds{low + random_below(high - low)};
    }

    std::chrono::milliseconds pause_time()
    {
        auto const max_pause = m_options.m_max_pause.count();
        return random_duration(100, static_cast<std::uint64_t>(max_pause));
    }

    std::unique_ptr<vm> make_vm(std::string const& id)
    {
        member const self{id, m_random(), "a"};
        auto made =
            std::make_unique<vm>(vm{self, claim_writer{self}, {}, {}, {}, 0});
        made->m_writer.set_member_count(4);
        if (m_first_offset == 0)
        {
            made->m_table.set_covered_since(wall_time{});
        }
        return made;
    }

    void run_without_faults()
    {
        time_point const end = m_now + 60s;
        for (auto const& item : m_vms)
        {
            item->m_paused_until = m_now;
        }
        for (; m_now < end; m_now += m_options.m_step)
        {
            step(false);
        }
    }

    void step(bool callers)
    {
        m_outage = fault_occurs(m_outage ? 980 : 3);
        while (!m_events.empty() && m_events.begin()->first <= m_now)
        {
            event const due = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            handle(due);
        }
        while (!m_log.empty() && m_log.front().m_appended_at <
                                     wall_at(m_now) - m_options.m_retention)
        {
            m_log.erase(m_log.begin());
            ++m_first_offset;
        }
        if (callers && random_below(100) < 30)
        {
            send_random_request();
        }
        for (auto& item : m_vms)
        {
            if (m_options.m_vm_crashes && random_below(4000) == 0 &&
                m_faults_enabled)
            {
                item = make_vm(item->m_self.m_vm);
            }
            if (fault_occurs(1))
            {
                item->m_paused_until = m_now + pause_time();
            }
            if (item->m_paused_until <= m_now)
            {
                step_vm(*item);
            }
        }
    }

    /// Sends a request with a new key, or a retry of a recent or any earlier
    /// key, to a random VM.
    void send_random_request()
    {
        if (m_names.empty() || random_below(100) < 25)
        {
            auto const skew = std::chrono::milliseconds{random_below(60'000)};
            std::uint64_t const number = m_names.size();
            m_names.push_back(
                {number % 2 == 0 ? "acme" : "borg",
                 make_key(wall_at(m_now) + skew - 30s, number / 2)});
        }
        std::size_t const recent =
            random_below(20) == 0 ? m_names.size()
                                  : std::min<std::size_t>(4, m_names.size());
        claim_name const name =
            m_names[m_names.size() - 1 - random_below(recent)];
        vm& chosen = *m_vms[random_below(m_vms.size())];
        send_request(chosen, name);
        if (random_below(10) == 0)
        {
            send_request(chosen, name);
        }
    }

    request_ticket send_request(vm& at, claim_name const& name)
    {
        request_ticket const ticket = ++m_last_ticket;
        bool const different_digest = fault_occurs(20);
        m_attempts[ticket].m_name = name;
        claim_name sent_name = name;
        if (random_below(4) == 0)
        {
            for (char& letter : sent_name.m_idempotency_key)
            {
                letter = static_cast<char>(std::toupper(letter));
            }
        }
        time_point const deadline = m_now + random_duration(200, 3000);
        m_deadlines[ticket] = deadline;
        at.m_writer.request(
            m_now,
            ticket,
            sent_name,
            different_digest ? digest_b : digest_a,
            deadline);
        if (fault_occurs(30))
        {
            at.m_writer.cancel(ticket);
            m_attempts[ticket].m_cancelled = true;
        }
        return ticket;
    }

    void record_response(
        request_ticket ticket, result_code code, std::string body = "")
    {
        m_attempts[ticket].m_code = code;
        m_attempts[ticket].m_body = std::move(body);
    }

    void step_vm(vm& at)
    {
        if (!m_outage && (!m_faults_enabled || random_below(2) == 0))
        {
            read(at);
        }
        for (claim_decision& decision : at.m_writer.poll(m_now, at.m_table))
        {
            decide(at, decision);
        }
        if (auto record = at.m_writer.start_append(m_now))
        {
            append(at, *record);
        }
        for (std::size_t i = 0; i < at.m_won_claims.size();)
        {
            bool const ended = at.m_won_claims[i].m_due <= m_now &&
                               advance_claim(at, at.m_won_claims[i]);
            if (ended)
            {
                at.m_won_claims.erase(
                    at.m_won_claims.begin() + static_cast<long>(i));
                continue;
            }
            ++i;
        }
        at.m_table.expire(wall_at(m_now) - m_options.m_retention + 10s);
    }

    void read(vm& at)
    {
        log_offset offset = std::max(at.m_table.next_offset(), m_first_offset);
        for (; offset < m_first_offset + m_log.size(); ++offset)
        {
            log_record record = m_log[offset - m_first_offset];
            if (m_options.m_defect == defect::release_without_sequence)
            {
                ignore_release_sequence(at.m_table, record);
            }
            at.m_table.fold(record);
            if (fault_occurs(100))
            {
                return;
            }
        }
    }

    /// Injects the defect that a release frees any claim of the same VM.
    static void
    ignore_release_sequence(claim_table const& table, log_record& record)
    {
        auto entries = parse_claims_record(record.m_data);
        for (claim_entry& entry : *entries)
        {
            auto* const release = std::get_if<claim_release>(&entry);
            auto const holder =
                release ? table.find(release->m_name) : std::nullopt;
            if (holder &&
                holder->m_claim.m_claim_id.m_vm == release->m_claim_id.m_vm)
            {
                release->m_claim_id = holder->m_claim.m_claim_id;
            }
        }
        record.m_data = to_record(*entries);
    }

    void decide(vm& at, claim_decision& decision)
    {
        request_ticket const ticket = decision.m_ticket;
        if (auto* const finished =
                std::get_if<claim_finished>(&decision.m_verdict))
        {
            record_response(
                ticket, result_code::ok, finished->m_outcome.m_body);
        }
        else if (
            auto* const refused =
                std::get_if<claim_refused>(&decision.m_verdict))
        {
            record_response(ticket, refused->m_code);
        }
        else
        {
            start_run(
                at, ticket, std::get<claim_won>(decision.m_verdict).m_claim_id);
        }
    }

    void start_run(vm& at, request_ticket ticket, claim_id const& claimed_id)
    {
        at.m_won_claims.push_back(
            {ticket,
             claimed_id,
             m_deadlines[ticket],
             m_now + random_duration(0, 200),
             false});
    }

    /// Sends the request, or completes it. True once it is complete.
    bool advance_claim(vm& at, won_claim& item)
    {
        claim_name const name = m_attempts[item.m_ticket].m_name;
        // A VM may pause between its last deadline check and the send.
        bool const late = m_now >= item.m_deadline && random_below(4) != 0;
        if (!item.m_sent && (late || fault_occurs(200)))
        {
            at.m_writer.release({name, item.m_claim_id});
            record_response(item.m_ticket, result_code::deadline_passed);
            return true;
        }
        if (!item.m_sent)
        {
            item.m_sent = true;
            item.m_due = m_now + random_duration(10, 4000);
            std::string const body = "run of " + std::to_string(item.m_ticket);
            m_runs[name].push_back({item.m_ticket, body});
            return false;
        }
        bool const known = !fault_occurs(50);
        std::string const body = m_runs[name][0].m_body;
        record_response(
            item.m_ticket,
            known ? result_code::ok : result_code::outcome_unknown,
            known ? body : "");
        if (m_options.m_vm_crashes && fault_occurs(20))
        {
            return true; // the message to the control thread is lost
        }
        at.m_writer.record_outcome(
            {name, item.m_claim_id, known, 200, {}, body, body.size(), true});
        return true;
    }

    void append(vm& at, std::string const& record)
    {
        using kind = event::kind;
        std::uint64_t const id = ++m_last_append;
        at.m_append_id = id;
        time_point const soon = m_now + random_duration(5, 60);
        time_point const timeout_at = m_now + 400ms;
        std::uint64_t const random_percent =
            m_faults_enabled ? random_below(100) : 0;
        if (m_outage || (random_percent >= 80 && random_percent < 84))
        {
            m_events.emplace(soon, event{kind::refuse, id, {}, 0});
            return;
        }
        // The append or its acknowledgement is lost, or the append is delayed.
        if (random_percent >= 84)
        {
            m_events.emplace(timeout_at, event{kind::time_out, id, {}, 0});
        }
        if (random_percent >= 94)
        {
            auto const late = m_now + random_duration(300, 8000);
            m_events.emplace(late, event{kind::commit, 0, record, 0});
        }
        else if (random_percent < 80 || random_percent >= 87)
        {
            m_events.emplace(
                soon,
                event{kind::commit, random_percent < 80 ? id : 0, record, 0});
        }
    }

    void handle(event const& due)
    {
        using kind = event::kind;
        if (due.m_kind == kind::commit)
        {
            log_offset const offset = m_first_offset + m_log.size();
            m_log.push_back({offset, wall_at(m_now), due.m_data});
            m_events.emplace(
                m_now + random_duration(0, 30),
                event{kind::acknowledge, due.m_append_id, due.m_data, offset});
            return;
        }
        for (auto const& item : m_vms)
        {
            if (due.m_append_id == 0 || item->m_append_id != due.m_append_id)
            {
                continue;
            }
            if (item->m_paused_until > m_now)
            {
                m_events.emplace(m_now + m_options.m_step, due);
                return;
            }
            handle_append_result(*item, due);
        }
    }

    void handle_append_result(vm& at, event const& due)
    {
        if (due.m_kind == event::kind::acknowledge)
        {
            at.m_writer.append_succeeded(m_now, due.m_offset);
            if (m_options.m_defect == defect::verdict_at_acknowledgement)
            {
                start_runs_of_record(at, due.m_data);
            }
        }
        else if (
            due.m_kind == event::kind::refuse ||
            m_options.m_defect == defect::unknown_as_refused)
        {
            at.m_writer.append_refused(m_now);
        }
        else
        {
            at.m_writer.append_unknown(m_now);
        }
    }

    void start_runs_of_record(vm& at, std::string const& data)
    {
        auto const entries = parse_claims_record(data);
        for (claim_entry const& entry : *entries)
        {
            auto const* const made = std::get_if<claim>(&entry);
            for (auto& [ticket, attempted] : m_attempts)
            {
                if (made && attempted.m_name == made->m_name &&
                    !attempted.m_code)
                {
                    at.m_writer.cancel(ticket);
                    start_run(at, ticket, made->m_claim_id);
                    break;
                }
            }
        }
    }

    /// Without VM crashes each request must be decided, and a name that no run
    /// holds must be free for the final request.
    [[nodiscard]] std::string liveness_violation() const
    {
        for (request_ticket const ticket : m_final_requests)
        {
            attempt const& attempted = m_attempts.at(ticket);
            bool const stuck =
                !attempted.m_code ||
                *attempted.m_code == result_code::claim_in_progress ||
                *attempted.m_code == result_code::claims_unavailable;
            if (!m_options.m_vm_crashes && stuck)
            {
                return "a name that no run holds is blocked";
            }
        }
        return {};
    }

    options m_options;
    std::mt19937_64 m_random;
    bool m_faults_enabled = true;
    bool m_outage = false;
    time_point m_now = start;
    std::vector<std::unique_ptr<vm>> m_vms;
    std::vector<log_record> m_log;
    log_offset m_first_offset = 0;
    std::multimap<time_point, event> m_events;
    std::vector<claim_name> m_names;
    std::map<request_ticket, attempt> m_attempts;
    std::map<request_ticket, time_point> m_deadlines;
    std::map<claim_name, std::vector<run>> m_runs;
    std::vector<request_ticket> m_final_requests;
    request_ticket m_last_ticket = 0;
    std::uint64_t m_last_append = 0;
};

std::size_t count_violations(options chosen, std::uint64_t seeds)
{
    std::size_t violations = 0;
    for (chosen.m_seed = 1; chosen.m_seed <= seeds; ++chosen.m_seed)
    {
        simulation sim{chosen};
        sim.run_all();
        violations += sim.violation().empty() ? 0 : 1;
    }
    return violations;
}

} // namespace

TEST_CASE("log and VM faults: at most one run and correct responses")
{
    // Injects lost acknowledgements, delayed appends, log outages, crashed and
    // paused VMs, and retries.
    std::size_t runs = 0;
    std::size_t stored = 0;
    std::size_t not_run = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        options chosen{seed, seed % 3 != 0};
        if (seed % 5 == 0)
        {
            // Long enough for claims to expire from the log.
            chosen.m_retention = 200s;
            chosen.m_duration = 500s;
            chosen.m_step = 50ms;
            chosen.m_max_pause = 300s;
        }
        CAPTURE(seed);
        simulation sim{chosen};
        sim.run_all();
        CHECK(sim.violation() == "");
        runs += sim.run_count();
        stored += sim.count(result_code::ok);
        not_run += sim.count(result_code::claims_unavailable);
        if (seed % 5 == 0)
        {
            CHECK(sim.count(result_code::idempotency_key_expired) > 0);
        }
    }
    MESSAGE(
        "runs ", runs, ", complete responses ", stored, ", not run ", not_run);
    CHECK(runs > 1000);
    CHECK(stored > runs);
    CHECK(not_run > 100);
}

TEST_CASE("the invariant checker detects injected defects")
{
    // A checker that misses these defects would not detect a real double run.
    options chosen;
    auto const found = [&](defect injected)
    {
        chosen.m_defect = injected;
        std::size_t const violations = count_violations(chosen, 20);
        MESSAGE("seeds with violations: ", violations, " of 20");
        return violations;
    };
    CHECK(found(defect::verdict_at_acknowledgement) > 0);
    CHECK(found(defect::release_without_sequence) > 0);
    chosen.m_vm_crashes = false;
    CHECK(found(defect::unknown_as_refused) > 0);
}
