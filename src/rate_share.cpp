#include "rate_share.hpp"

#include "account_homes.hpp"
#include "account_share.hpp"
#include "loan_planner.hpp"

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

/// A waiting request asks again at this interval; loans arrive meanwhile.
constexpr std::chrono::milliseconds retry_interval{5};

/// Shortest and longest `Retry-After`, so that a caller neither returns at
/// once nor stays away because of a share that is small at the moment.
constexpr std::chrono::milliseconds min_retry_after{50};
constexpr std::chrono::seconds max_retry_after{10};

/// A loan request that waits for recalled tokens.
struct deferred_request
{
    vm_id m_from;
    loan_request m_request;
    time_point m_deadline{};
};

/// Longest wait for recalled tokens; the borrower's own wait is limited.
constexpr std::chrono::milliseconds max_deferral{8};

struct account_state
{
    account_state(account_config const& config, loan_policy const& policy)
        : m_share{config}, m_planner{config, policy}
    {
    }

    account_share m_share;
    loan_planner m_planner;
    bool m_has_lenders = false; ///< the planner knows the present homes
    std::deque<deferred_request> m_deferred;
    std::size_t m_rank = 0; ///< members before this VM in the order of homes
};

/// A version that is stable and settles when the rebalance delay is over.
struct settling_version
{
    time_point m_at{};
    control_version m_version = 0;
};

bool is_before(
    account_name const& account, vm_id const& left, vm_id const& right)
{
    auto const left_weight = home_weight(account, left);
    auto const right_weight = home_weight(account, right);
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
only_in_first(std::set<vm_id> const& first, std::set<vm_id> const& second)
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

struct rate_share::implementation
{
    implementation(member self, std::uint64_t seed, loan_policy const& policy);

    void put_account(
        time_point now,
        account_config const& account,
        control_version version,
        account_origin origin);
    void set_members(time_point now, member_view const& view);
    void settle(time_point now);
    void add_base(
        time_point now,
        account_state& account,
        control_version version,
        bool is_first);
    void update_rank(
        account_state& account,
        std::vector<vm_id> const& joined,
        std::vector<vm_id> const& left);
    loan_planner& planner_of(account_state& account);
    void update_lenders(account_state& account) const;
    admission admit(
        time_point now,
        account_name const& name,
        std::optional<time_point> waited_since);
    admission
    wait_or_refuse(time_point now, account_state& account, time_point since);
    loan_context context(time_point now);
    void plan(time_point now, account_name const& name, account_state& account);
    void receive(
        time_point now,
        vm_id const& from,
        account_state& account,
        loan_request const& request);
    void serve_deferred(time_point now, account_state& account);
    loan_reply grant(
        time_point now,
        vm_id const& from,
        account_state& account,
        loan_request const& request);
    void receive(
        time_point now,
        vm_id const& from,
        account_state& account,
        loan_reply const& reply);
    void receive(
        time_point now,
        vm_id const& from,
        account_state& account,
        loan_return const& returned);
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] time_point next_poll() const;

    member m_self;
    loan_policy m_policy;
    std::mt19937_64 m_random;
    std::uint64_t m_next_id;
    token_bucket m_messages;
    time_point m_valid_until{};
    member_view m_view;
    std::vector<vm_id> m_member_ids; ///< of the view, without repetitions
    control_version m_stable = 0;
    control_version m_settled = 0;
    std::deque<settling_version> m_settling;
    std::map<account_name, account_state> m_accounts;
    std::set<account_name> m_removed;
    std::map<account_name, time_point> m_next_plans;
    std::vector<addressed_loan_message> m_outgoing;
};

/// Ids start at a random value, so that messages to an earlier run of this VM
/// match nothing in this one.
rate_share::implementation::implementation(
    member self, std::uint64_t seed, loan_policy const& policy)
    : m_self{std::move(self)}, m_policy{policy},
      m_random{seed ^ m_self.m_incarnation ^ home_weight({}, m_self.m_vm)},
      m_next_id{m_random() | 1}
{
    m_messages.set_limits(
        time_point{}, policy.m_messages_per_second, policy.m_message_burst);
}

void rate_share::implementation::put_account(
    time_point now,
    account_config const& config,
    control_version version,
    account_origin origin)
{
    settle(now);
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
        account.m_planner = loan_planner{config, m_policy};
    }
    account.m_has_lenders = false;
    // A new account has had no base anywhere else, and every VM divides it by
    // the members at the version that creates it. An account that was removed
    // and created again may still have its earlier base on a VM with an older
    // view.
    bool const is_created =
        origin == account_origin::created && !m_removed.contains(config.m_name);
    add_base(
        now, account, version, is_new && (is_created || m_view.m_is_first));
}

void rate_share::implementation::set_members(
    time_point now, member_view const& view)
{
    settle(now);
    auto const before = vm_ids(m_view.m_members);
    auto const after = vm_ids(view.m_members);
    m_member_ids.assign(after.begin(), after.end());
    auto const joined = only_in_first(after, before);
    auto const left = only_in_first(before, after);
    // Versions change the members one by one; a larger step means that views
    // between the two were not seen.
    bool const has_gap = view.m_has_gap || joined.size() + left.size() > 1;
    m_view = view;
    bool const is_first = (view.m_is_first || view.m_version <= 1) &&
                          is_member() && after.size() == 1;
    m_view.m_is_first = is_first;
    for (auto& [name, account] : m_accounts)
    {
        update_rank(account, joined, left);
        account.m_has_lenders = false;
        if (has_gap)
        {
            account.m_share.add_base(now, view.m_version, 0.0);
        }
        add_base(now, account, view.m_version, is_first);
    }
}

bool rate_share::implementation::is_member() const
{
    return std::find(
               m_view.m_members.begin(), m_view.m_members.end(), m_self) !=
           m_view.m_members.end();
}

/// Keeps the rank up to date from the changes alone: a full ranking of all
/// members for each account would take seconds at the later scale.
void rate_share::implementation::update_rank(
    account_state& account,
    std::vector<vm_id> const& joined,
    std::vector<vm_id> const& left)
{
    auto const is_ahead = [&](vm_id const& vm)
    {
        return vm != m_self.m_vm &&
               is_before(account.m_share.config().m_name, vm, m_self.m_vm);
    };
    account.m_rank +=
        std::size_t(std::count_if(joined.begin(), joined.end(), is_ahead));
    account.m_rank -=
        std::size_t(std::count_if(left.begin(), left.end(), is_ahead));
}

/// Ranks the homes when an account is first used after a change of members:
/// ranking all members for all accounts would take minutes at the later scale.
loan_planner& rate_share::implementation::planner_of(account_state& account)
{
    if (!account.m_has_lenders)
    {
        account.m_has_lenders = true;
        update_lenders(account);
    }
    return account.m_planner;
}

void rate_share::implementation::update_lenders(account_state& account) const
{
    auto const homes =
        account_homes(account.m_share.config(), m_view.m_members);
    std::vector<vm_id> lenders;
    for (member const& home : homes)
    {
        if (home.m_vm != m_self.m_vm)
        {
            lenders.push_back(home.m_vm);
        }
    }
    account.m_planner.set_lenders(std::move(lenders), homes.size());
}

void rate_share::implementation::add_base(
    time_point now,
    account_state& account,
    control_version version,
    bool is_first)
{
    std::size_t const homes =
        home_count(account.m_share.config().m_burst, m_view.m_members.size());
    bool const is_home = is_member() && account.m_rank < homes;
    double const fraction = is_home ? 1.0 / double(homes) : 0.0;
    if (is_first)
    {
        account.m_share.restart_base(now, version, fraction);
        return;
    }
    account.m_share.add_base(now, version, fraction);
    account.m_share.settle(now, m_settled);
}

void rate_share::implementation::settle(time_point now)
{
    while (!m_settling.empty() && m_settling.front().m_at <= now)
    {
        auto const [at, version] = m_settling.front();
        m_settling.pop_front();
        m_settled = version;
        for (auto& [name, account] : m_accounts)
        {
            account.m_share.settle(at, version);
        }
    }
}

loan_context rate_share::implementation::context(time_point now)
{
    m_messages.advance(now);
    return {now, m_policy, m_messages, m_next_id, m_random, m_outgoing};
}

void rate_share::implementation::plan(
    time_point now, account_name const& name, account_state& account)
{
    serve_deferred(now, account);
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

admission rate_share::implementation::admit(
    time_point now,
    account_name const& name,
    std::optional<time_point> waited_since)
{
    settle(now);
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

admission rate_share::implementation::wait_or_refuse(
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

void rate_share::implementation::receive(
    time_point now,
    vm_id const& from,
    account_state& account,
    loan_request const& request)
{
    if (!is_valid_amount(request.m_fraction, request.m_tokens))
    {
        return;
    }
    auto limits = context(now);
    // Over the limit the request is dropped; the borrower counts it as lost.
    if (!limits.m_messages.take())
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
    // Recalled tokens arrive within two message delays; a reply that waits
    // for them saves the refusal and the next request.
    double const available = account.m_share.tokens();
    double const lacking = request.m_tokens - std::max(0.0, available);
    bool const is_deferred = lacking > 0.0 && available < 1.0 &&
                             now < m_valid_until &&
                             planner_of(account).send_recalls(
                                 account.m_share,
                                 from,
                                 lacking / account.m_share.config().m_burst,
                                 limits);
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

/// Answers requests that waited for returned loans, in the order of arrival.
void rate_share::implementation::serve_deferred(
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

loan_reply rate_share::implementation::grant(
    time_point now,
    vm_id const& from,
    account_state& account,
    loan_request const& request)
{
    account_share& share = account.m_share;
    for (auto const& [id, loan] : share.lent_loans())
    {
        bool const is_duplicate = loan.m_borrower == from &&
                                  loan.m_request_id == request.m_request_id;
        if (is_duplicate)
        {
            return loan.m_reply;
        }
    }
    loan_reply reply{request.m_account, request.m_request_id, 0, 0.0, 0.0, {}};
    bool const is_renewal = request.m_renewed_loan != 0;
    auto const renewed = share.lent_loans().find(request.m_renewed_loan);
    bool const is_unknown =
        is_renewal && (renewed == share.lent_loans().end() ||
                       renewed->second.m_borrower != from);
    // A lender that lent more than its present base renews nothing: the base
    // has been reassigned and must be free when the rebalance delay is over.
    bool const is_overlent = share.lent() > share.base();
    if (now >= m_valid_until || is_unknown || is_overlent)
    {
        return reply;
    }
    share_amount const added = share.lend(
        {request.m_fraction, request.m_tokens},
        planner_of(account).own_need(share, now));
    if (!is_renewal && added.m_fraction <= 0.0)
    {
        return reply;
    }
    reply.m_loan_id = is_renewal ? request.m_renewed_loan : m_next_id++;
    reply.m_fraction = added.m_fraction;
    reply.m_tokens = added.m_tokens;
    reply.m_duration = loan_duration;
    share.record_lent(now, reply.m_loan_id, from, added);
    lent_loan& loan = share.lent_loans().at(reply.m_loan_id);
    loan.m_request_id = request.m_request_id;
    loan.m_reply = reply;
    return reply;
}

void rate_share::implementation::receive(
    time_point now,
    vm_id const& from,
    account_state& account,
    loan_reply const& reply)
{
    if (is_valid_amount(reply.m_fraction, reply.m_tokens))
    {
        planner_of(account).receive(account.m_share, now, from, reply);
        plan(now, reply.m_account, account);
    }
}

void rate_share::implementation::receive(
    time_point now,
    vm_id const& from,
    account_state& account,
    loan_return const& returned)
{
    account_share& share = account.m_share;
    auto const borrowed = share.borrowed_loans().find(returned.m_loan_id);
    bool const is_recall = borrowed != share.borrowed_loans().end() &&
                           borrowed->second.m_lender == from;
    if (is_recall)
    {
        auto planning = context(now);
        planner_of(account).recall(share, returned.m_loan_id, planning);
        return;
    }
    if (is_valid_amount(returned.m_fraction, returned.m_tokens))
    {
        share.take_back(now, returned.m_loan_id, from, returned.m_tokens);
    }
}

time_point rate_share::implementation::next_poll() const
{
    if (!m_outgoing.empty())
    {
        return time_point::min();
    }
    time_point next = time_point::max();
    if (!m_settling.empty())
    {
        next = m_settling.front().m_at;
    }
    for (auto const& [name, at] : m_next_plans)
    {
        next = std::min(next, at);
    }
    return next;
}

rate_share::rate_share(
    member self, std::uint64_t seed, loan_policy const& policy)
    : m_implementation{
          std::make_unique<implementation>(std::move(self), seed, policy)}
{
}

rate_share::~rate_share() = default;
rate_share::rate_share(rate_share&&) noexcept = default;
rate_share& rate_share::operator=(rate_share&&) noexcept = default;

void rate_share::put_account(
    time_point now,
    account_config const& account,
    control_version version,
    account_origin origin)
{
    m_implementation->put_account(now, account, version, origin);
}

void rate_share::remove_account(time_point, account_name const& name)
{
    m_implementation->m_accounts.erase(name);
    m_implementation->m_removed.insert(name);
    m_implementation->m_next_plans.erase(name);
}

void rate_share::set_members(time_point now, member_view const& view)
{
    m_implementation->set_members(now, view);
}

void rate_share::set_stable(time_point now, control_version version)
{
    if (version > m_implementation->m_stable)
    {
        m_implementation->m_stable = version;
        m_implementation->m_settling.push_back(
            {now + rebalance_delay, version});
    }
}

void rate_share::set_valid_until(time_point valid_until)
{
    m_implementation->m_valid_until = valid_until;
}

admission rate_share::try_admit(
    time_point now,
    account_name const& account,
    std::optional<time_point> waited_since)
{
    return m_implementation->admit(now, account, waited_since);
}

void rate_share::receive(time_point now, addressed_loan_message const& message)
{
    auto& module = *m_implementation;
    module.settle(now);
    std::visit(
        [&](auto const& content)
        {
            auto const found = module.m_accounts.find(content.m_account);
            if (found != module.m_accounts.end())
            {
                found->second.m_share.advance(now);
                module.receive(now, message.m_peer, found->second, content);
            }
        },
        message.m_message);
}

std::vector<addressed_loan_message> rate_share::poll(time_point now)
{
    auto& module = *m_implementation;
    module.settle(now);
    std::vector<account_name> due;
    for (auto const& [name, at] : module.m_next_plans)
    {
        if (at <= now)
        {
            due.push_back(name);
        }
    }
    for (account_name const& name : due)
    {
        account_state& account = module.m_accounts.at(name);
        account.m_share.advance(now);
        module.plan(now, name, account);
    }
    return std::exchange(module.m_outgoing, {});
}

time_point rate_share::next_poll() const
{
    return m_implementation->next_poll();
}

std::vector<rate_share::account_status> rate_share::status(time_point now) const
{
    std::vector<account_status> result;
    for (auto const& [name, account] : m_implementation->m_accounts)
    {
        account_share share = account.m_share;
        share.advance(now);
        result.push_back(
            {name,
             share.base(),
             share.lent(),
             share.borrowed(),
             share.tokens()});
    }
    return result;
}

} // namespace briarhub
