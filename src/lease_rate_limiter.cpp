#include "lease_rate_limiter.hpp"

#include "account_share.hpp"
#include "bucket_owners.hpp"
#include "lease_planner.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace briarhub
{
namespace
{

/// Interval at which a waiting request retries, while lease replies arrive.
constexpr std::chrono::milliseconds retry_interval{5};

/// Limits of `Retry-After`: a caller neither retries at once nor waits too long
/// because this VM's share is small at the moment.
constexpr std::chrono::milliseconds min_retry_after{50};
constexpr std::chrono::seconds max_retry_after{10};

/// A lease request that waits for the tokens of recalled leases.
struct deferred_request
{
    vm_id m_from;
    lease_request m_request;
    time_point m_deadline{};
};

/// Longest wait for recalled tokens; the requests waiting at the other VM time
/// out soon.
constexpr std::chrono::milliseconds max_deferral{8};

struct account_state
{
    account_state(account_config const& config, lease_policy const& policy)
        : m_share{config}, m_planner{config, policy}
    {
    }

    account_share m_share;
    lease_planner m_planner;
    bool m_has_grantors = false; ///< the planner has the current bucket owners
    std::deque<deferred_request> m_deferred;
    std::size_t m_rank = 0; ///< number of members ranked before this VM
};

/// A stable version whose increases apply when `rebalance_delay` has passed.
struct pending_version
{
    time_point m_at{};
    control_version m_version = 0;
};

bool ranks_before(
    account_name const& account, vm_id const& left, vm_id const& right)
{
    auto const left_weight = rendezvous_weight(account, left);
    auto const right_weight = rendezvous_weight(account, right);
    return left_weight != right_weight ? left_weight > right_weight
                                       : left < right;
}

std::set<vm_id> vm_ids(std::vector<member> const& members)
{
    std::set<vm_id> ids;
    for (member const& entry : members)
    {
        ids.insert(entry.m_vm);
    }
    return ids;
}

std::vector<vm_id>
set_difference_of(std::set<vm_id> const& first, std::set<vm_id> const& second)
{
    std::vector<vm_id> result;
    std::set_difference(
        first.begin(),
        first.end(),
        second.begin(),
        second.end(),
        std::back_inserter(result));
    return result;
}

bool is_valid_amount(double fraction, double tokens)
{
    return fraction >= 0.0 && fraction <= 1.0 && tokens >= 0.0;
}

} // namespace

struct lease_rate_limiter::implementation
{
    implementation(member self, std::uint64_t seed, lease_policy const& policy);

    void put_account(
        time_point now,
        account_config const& account,
        control_version version,
        account_origin origin);
    void set_members(time_point now, member_view const& view);
    void apply_increases(time_point now);
    void add_base_fraction(
        time_point now,
        account_state& account,
        control_version version,
        bool is_first);
    void update_rank(
        account_state& account,
        std::vector<vm_id> const& joined,
        std::vector<vm_id> const& left);
    lease_planner& planner_of(account_state& account);
    void update_grantors(account_state& account) const;
    admission admit(
        time_point now,
        account_name const& name,
        std::optional<time_point> waited_since);
    admission
    wait_or_refuse(time_point now, account_state& account, time_point since);
    lease_context context(time_point now);
    void plan(time_point now, account_name const& name, account_state& account);
    void receive(
        time_point now,
        vm_id const& from,
        account_state& account,
        lease_request const& request);
    void answer_deferred(time_point now, account_state& account);
    lease_reply grant(
        time_point now,
        vm_id const& from,
        account_state& account,
        lease_request const& request);
    void receive(
        time_point now,
        vm_id const& from,
        account_state& account,
        lease_reply const& reply);
    void receive(
        time_point now,
        vm_id const& from,
        account_state& account,
        lease_return const& returned);
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] time_point next_poll() const;

    member m_self;
    lease_policy m_policy;
    std::mt19937_64 m_random;
    std::uint64_t m_next_id;
    token_bucket m_message_bucket;
    time_point m_valid_until{};
    member_view m_view;
    std::vector<vm_id> m_member_ids; ///< of the view, without duplicates
    control_version m_stable = 0;
    control_version m_applied_version = 0;
    std::deque<pending_version> m_pending_versions;
    std::map<account_name, account_state> m_accounts;
    std::set<account_name> m_removed;
    std::map<account_name, time_point> m_next_plans;
    std::vector<addressed_lease_message> m_outgoing;
};

/// Ids start at a random value, so that messages to an earlier run of this VM
/// do not match any id of this run.
lease_rate_limiter::implementation::implementation(
    member self, std::uint64_t seed, lease_policy const& policy)
    : m_self{std::move(self)}, m_policy{policy},
      m_random{
          seed ^ m_self.m_incarnation ^ rendezvous_weight({}, m_self.m_vm)},
      m_next_id{m_random() | 1}
{
    m_message_bucket.set_limits(
        time_point{}, policy.m_messages_per_second, policy.m_message_burst);
}

void lease_rate_limiter::implementation::put_account(
    time_point now,
    account_config const& config,
    control_version version,
    account_origin origin)
{
    apply_increases(now);
    auto const [entry, is_new] =
        m_accounts.try_emplace(config.m_name, config, m_policy);
    account_state& account = entry->second;
    if (is_new)
    {
        update_rank(account, m_member_ids, {});
    }
    else
    {
        account.m_share.configure(now, config);
        account.m_planner = lease_planner{config, m_policy};
    }
    account.m_has_grantors = false;
    // No VM has a base fraction of a new account yet, and every VM divides it
    // among the members of the version that creates it. If an account was
    // removed and created again, a VM with an older view may still use its
    // earlier base fraction.
    bool const is_created =
        origin == account_origin::created && !m_removed.contains(config.m_name);
    add_base_fraction(
        now, account, version, is_new && (is_created || m_view.m_is_first));
}

void lease_rate_limiter::implementation::set_members(
    time_point now, member_view const& view)
{
    apply_increases(now);
    auto const before = vm_ids(m_view.m_members);
    auto const after = vm_ids(view.m_members);
    m_member_ids.assign(after.begin(), after.end());
    auto const joined = set_difference_of(after, before);
    auto const left = set_difference_of(before, after);
    // Each version changes one member; a larger difference means that this VM
    // missed versions in between.
    bool const has_gap = view.m_has_gap || joined.size() + left.size() > 1;
    m_view = view;
    bool const is_first = (view.m_is_first || view.m_version <= 1) &&
                          is_member() && after.size() == 1;
    m_view.m_is_first = is_first;
    for (auto& [name, account] : m_accounts)
    {
        update_rank(account, joined, left);
        account.m_has_grantors = false;
        if (has_gap)
        {
            account.m_share.add_base_fraction(now, view.m_version, 0.0);
        }
        add_base_fraction(now, account, view.m_version, is_first);
    }
}

bool lease_rate_limiter::implementation::is_member() const
{
    return std::find(
               m_view.m_members.begin(), m_view.m_members.end(), m_self) !=
           m_view.m_members.end();
}

/// Updates the rank incrementally: ranking all members for every account would
/// take seconds at the planned fleet size.
void lease_rate_limiter::implementation::update_rank(
    account_state& account,
    std::vector<vm_id> const& joined,
    std::vector<vm_id> const& left)
{
    auto const is_ahead = [&](vm_id const& vm)
    {
        return vm != m_self.m_vm &&
               ranks_before(account.m_share.config().m_name, vm, m_self.m_vm);
    };
    account.m_rank +=
        std::size_t(std::count_if(joined.begin(), joined.end(), is_ahead));
    account.m_rank -=
        std::size_t(std::count_if(left.begin(), left.end(), is_ahead));
}

/// Determines the bucket owners lazily, on the first use of an account after a
/// membership change: doing so for all accounts at once would take minutes at
/// the planned fleet size.
lease_planner&
lease_rate_limiter::implementation::planner_of(account_state& account)
{
    if (!account.m_has_grantors)
    {
        account.m_has_grantors = true;
        update_grantors(account);
    }
    return account.m_planner;
}

void lease_rate_limiter::implementation::update_grantors(
    account_state& account) const
{
    auto const owners =
        bucket_owners(account.m_share.config(), m_view.m_members);
    std::vector<vm_id> grantors;
    for (member const& owner : owners)
    {
        if (owner.m_vm != m_self.m_vm)
        {
            grantors.push_back(owner.m_vm);
        }
    }
    account.m_planner.set_grantors(std::move(grantors), owners.size());
}

void lease_rate_limiter::implementation::add_base_fraction(
    time_point now,
    account_state& account,
    control_version version,
    bool is_first)
{
    std::size_t const owners =
        owner_count(account.m_share.config().m_burst, m_view.m_members.size());
    bool const is_owner = is_member() && account.m_rank < owners;
    double const fraction = is_owner ? 1.0 / double(owners) : 0.0;
    if (is_first)
    {
        account.m_share.reset_base_fraction(now, version, fraction);
        return;
    }
    account.m_share.add_base_fraction(now, version, fraction);
    account.m_share.apply_increases(now, m_applied_version);
}

void lease_rate_limiter::implementation::apply_increases(time_point now)
{
    while (!m_pending_versions.empty() &&
           m_pending_versions.front().m_at <= now)
    {
        auto const [at, version] = m_pending_versions.front();
        m_pending_versions.pop_front();
        m_applied_version = version;
        for (auto& [name, account] : m_accounts)
        {
            account.m_share.apply_increases(at, version);
        }
    }
}

lease_context lease_rate_limiter::implementation::context(time_point now)
{
    m_message_bucket.advance(now);
    return {now, m_policy, m_message_bucket, m_next_id, m_random, m_outgoing};
}

void lease_rate_limiter::implementation::plan(
    time_point now, account_name const& name, account_state& account)
{
    answer_deferred(now, account);
    auto planning = context(now);
    planner_of(account).plan(account.m_share, planning);
    auto next = planner_of(account).next_plan(account.m_share, now);
    if (!account.m_deferred.empty())
    {
        time_point const deadline = account.m_deferred.front().m_deadline;
        next = std::min(next.value_or(deadline), deadline);
    }
    if (next)
    {
        m_next_plans[name] = *next;
    }
    else
    {
        m_next_plans.erase(name);
    }
}

admission lease_rate_limiter::implementation::admit(
    time_point now,
    account_name const& name,
    std::optional<time_point> waited_since)
{
    apply_increases(now);
    auto const found = m_accounts.find(name);
    if (found == m_accounts.end())
    {
        return {admission_kind::refused, {}, max_retry_after};
    }
    account_state& account = found->second;
    account.m_share.advance(now);
    if (!waited_since)
    {
        planner_of(account).arrived(now);
    }
    admission result{admission_kind::admitted, {}, {}};
    if (!account.m_share.take())
    {
        if (!waited_since)
        {
            planner_of(account).add_waiting(now);
        }
        result = wait_or_refuse(now, account, waited_since.value_or(now));
    }
    if (waited_since && result.m_kind != admission_kind::wait)
    {
        planner_of(account).remove_waiting(*waited_since);
    }
    plan(now, name, account);
    return result;
}

admission lease_rate_limiter::implementation::wait_or_refuse(
    time_point now, account_state& account, time_point since)
{
    time_point const wait_end = since + admission_wait;
    if (now >= wait_end)
    {
        duration const refill = account.m_share.bucket().time_until(1.0);
        duration const after =
            std::clamp<duration>(refill, min_retry_after, max_retry_after);
        return {admission_kind::refused, {}, after};
    }
    time_point const retry_at = now + retry_interval;
    return {admission_kind::wait, std::min(retry_at, wait_end), {}};
}

void lease_rate_limiter::implementation::receive(
    time_point now,
    vm_id const& from,
    account_state& account,
    lease_request const& request)
{
    if (!is_valid_amount(request.m_fraction, request.m_tokens))
    {
        return;
    }
    auto planning = context(now);
    // Over the message limit the request is dropped; the requester handles it
    // as a lost message.
    if (!planning.m_message_bucket.take())
    {
        return;
    }
    for (deferred_request const& deferred : account.m_deferred)
    {
        if (deferred.m_request.m_request_id == request.m_request_id)
        {
            return;
        }
    }
    // Recalled tokens arrive within two message delays. Deferring the reply
    // until then avoids a refusal and another request.
    double const available = account.m_share.tokens();
    double const missing_tokens = request.m_tokens - std::max(0.0, available);
    bool const is_deferred =
        missing_tokens > 0.0 && available < 1.0 && now < m_valid_until &&
        planner_of(account).send_recalls(
            account.m_share,
            from,
            missing_tokens / account.m_share.config().m_burst,
            planning);
    if (is_deferred)
    {
        account.m_deferred.push_back({from, request, now + max_deferral});
        time_point const due = now + max_deferral;
        auto const planned = m_next_plans.try_emplace(request.m_account, due);
        planned.first->second = std::min(planned.first->second, due);
        return;
    }
    m_outgoing.push_back({from, grant(now, from, account, request)});
}

/// Answers deferred lease requests in the order of arrival.
void lease_rate_limiter::implementation::answer_deferred(
    time_point now, account_state& account)
{
    while (!account.m_deferred.empty())
    {
        auto const [from, request, deadline] = account.m_deferred.front();
        double const needed = std::min(1.0, request.m_tokens);
        if (account.m_share.tokens() < needed && now < deadline)
        {
            return;
        }
        account.m_deferred.pop_front();
        m_outgoing.push_back({from, grant(now, from, account, request)});
    }
}

lease_reply lease_rate_limiter::implementation::grant(
    time_point now,
    vm_id const& from,
    account_state& account,
    lease_request const& request)
{
    account_share& share = account.m_share;
    for (auto const& [id, lease] : share.granted_leases())
    {
        bool const is_duplicate = lease.m_holder == from &&
                                  lease.m_request_id == request.m_request_id;
        if (is_duplicate)
        {
            return lease.m_reply;
        }
    }
    lease_reply reply{request.m_account, request.m_request_id, 0, 0.0, 0.0, {}};
    bool const is_renewal = request.m_renewed_lease != 0;
    auto const renewed = share.granted_leases().find(request.m_renewed_lease);
    bool const is_unknown =
        is_renewal && (renewed == share.granted_leases().end() ||
                       renewed->second.m_holder != from);
    // A grantor that has leased out more than its current base fraction neither
    // grants nor renews: the base fraction has been reassigned, and no lease of
    // it may be valid after `rebalance_delay`.
    bool const exceeds_base = share.leased_out() > share.base_fraction();
    if (now >= m_valid_until || is_unknown || exceeds_base)
    {
        return reply;
    }
    share_amount const added = share.grantable_amount(
        {request.m_fraction, request.m_tokens},
        planner_of(account).local_need(share, now));
    if (!is_renewal && added.m_fraction <= 0.0)
    {
        return reply;
    }
    reply.m_lease_id = is_renewal ? request.m_renewed_lease : m_next_id++;
    reply.m_fraction = added.m_fraction;
    reply.m_tokens = added.m_tokens;
    reply.m_duration = lease_duration;
    share.record_grant(now, reply.m_lease_id, from, added);
    granted_lease& lease = share.granted_leases().at(reply.m_lease_id);
    lease.m_request_id = request.m_request_id;
    lease.m_reply = reply;
    return reply;
}

void lease_rate_limiter::implementation::receive(
    time_point now,
    vm_id const& from,
    account_state& account,
    lease_reply const& reply)
{
    if (is_valid_amount(reply.m_fraction, reply.m_tokens))
    {
        planner_of(account).receive(account.m_share, now, from, reply);
        plan(now, reply.m_account, account);
    }
}

void lease_rate_limiter::implementation::receive(
    time_point now,
    vm_id const& from,
    account_state& account,
    lease_return const& returned)
{
    account_share& share = account.m_share;
    auto const leased_in = share.held_leases().find(returned.m_lease_id);
    bool const is_recall = leased_in != share.held_leases().end() &&
                           leased_in->second.m_grantor == from;
    if (is_recall)
    {
        auto planning = context(now);
        planner_of(account).recall(share, returned.m_lease_id, planning);
        return;
    }
    if (is_valid_amount(returned.m_fraction, returned.m_tokens))
    {
        share.reclaim_lease(now, returned.m_lease_id, from, returned.m_tokens);
    }
}

time_point lease_rate_limiter::implementation::next_poll() const
{
    if (!m_outgoing.empty())
    {
        return time_point::min();
    }
    time_point next = time_point::max();
    if (!m_pending_versions.empty())
    {
        next = m_pending_versions.front().m_at;
    }
    for (auto const& [name, at] : m_next_plans)
    {
        next = std::min(next, at);
    }
    return next;
}

lease_rate_limiter::lease_rate_limiter(
    member self, std::uint64_t seed, lease_policy const& policy)
    : m_implementation{
          std::make_unique<implementation>(std::move(self), seed, policy)}
{
}

lease_rate_limiter::~lease_rate_limiter() = default;
lease_rate_limiter::lease_rate_limiter(lease_rate_limiter&&) noexcept = default;
lease_rate_limiter&
lease_rate_limiter::operator=(lease_rate_limiter&&) noexcept = default;

void lease_rate_limiter::put_account(
    time_point now,
    account_config const& account,
    control_version version,
    account_origin origin)
{
    m_implementation->put_account(now, account, version, origin);
}

void lease_rate_limiter::remove_account(time_point, account_name const& name)
{
    m_implementation->m_accounts.erase(name);
    m_implementation->m_removed.insert(name);
    m_implementation->m_next_plans.erase(name);
}

void lease_rate_limiter::set_members(time_point now, member_view const& view)
{
    m_implementation->set_members(now, view);
}

void lease_rate_limiter::set_stable(time_point now, control_version version)
{
    if (version > m_implementation->m_stable)
    {
        m_implementation->m_stable = version;
        m_implementation->m_pending_versions.push_back(
            {now + rebalance_delay, version});
    }
}

void lease_rate_limiter::set_valid_until(time_point valid_until)
{
    m_implementation->m_valid_until = valid_until;
}

admission lease_rate_limiter::try_admit(
    time_point now,
    account_name const& account,
    std::optional<time_point> waited_since)
{
    return m_implementation->admit(now, account, waited_since);
}

void lease_rate_limiter::receive(
    time_point now, addressed_lease_message const& message)
{
    auto& state = *m_implementation;
    state.apply_increases(now);
    std::visit(
        [&](auto const& content)
        {
            auto const found = state.m_accounts.find(content.m_account);
            if (found != state.m_accounts.end())
            {
                found->second.m_share.advance(now);
                state.receive(now, message.m_peer, found->second, content);
            }
        },
        message.m_message);
}

std::vector<addressed_lease_message> lease_rate_limiter::poll(time_point now)
{
    auto& state = *m_implementation;
    state.apply_increases(now);
    std::vector<account_name> due;
    for (auto const& [name, at] : state.m_next_plans)
    {
        if (at <= now)
        {
            due.push_back(name);
        }
    }
    for (account_name const& name : due)
    {
        account_state& account = state.m_accounts.at(name);
        account.m_share.advance(now);
        state.plan(now, name, account);
    }
    return std::exchange(state.m_outgoing, {});
}

time_point lease_rate_limiter::next_poll() const
{
    return m_implementation->next_poll();
}

std::vector<lease_rate_limiter::account_status>
lease_rate_limiter::status(time_point now) const
{
    std::vector<account_status> result;
    for (auto const& [name, account] : m_implementation->m_accounts)
    {
        account_share share = account.m_share;
        share.advance(now);
        result.push_back(
            {name,
             share.base_fraction(),
             share.leased_out(),
             share.leased_in(),
             share.tokens()});
    }
    return result;
}

} // namespace briarhub
