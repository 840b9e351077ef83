#include "lease_planner.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace briarhub
{
namespace
{

/// Limit of the waiting requests counted; more would not change the requests to
/// grantors.
constexpr std::size_t max_waiting_requests = 64;

/// Added to a requested amount to cover rounding errors.
constexpr double token_slack = 1e-4;

/// No messages are sent for a missing fraction below this part of the target.
constexpr double min_missing_part = 0.25;

/// Initial backoff after a grantor refused or granted less than requested. It
/// doubles with each further refusal, up to `max_backoff_doublings` times.
constexpr std::chrono::milliseconds min_refusal_backoff{20};
constexpr unsigned max_backoff_doublings = 5;

/// Minimum time between two runs of `plan` by the timer, which retry the work
/// that a message limit postponed.
constexpr std::chrono::milliseconds plan_interval{20};

/// Messages that it costs to return a lease too early and request it again.
constexpr double messages_per_lease = 3.0;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

lease_planner::lease_planner(
    account_config const& account, lease_policy const& policy)
    : m_rate{account.m_rate}, m_burst{account.m_burst},
      m_demand{account.m_rate}, m_policy{policy}
{
    m_message_bucket.set_limits(
        time_point{},
        policy.m_account_messages_per_second,
        policy.m_account_message_burst);
}

void lease_planner::set_grantors(
    std::vector<vm_id> grantors, std::size_t owner_count)
{
    m_grantors = std::move(grantors);
    m_owner_count = owner_count;
}

void lease_planner::arrived(time_point now)
{
    m_demand.arrived(now);
}

void lease_planner::add_waiting(time_point since)
{
    if (m_waiting.size() < max_waiting_requests)
    {
        m_waiting.push_back(since);
    }
}

void lease_planner::remove_waiting(time_point since)
{
    auto const found = std::find(m_waiting.begin(), m_waiting.end(), since);
    if (found != m_waiting.end())
    {
        m_waiting.erase(found);
    }
}

double
lease_planner::tokens_for(std::chrono::milliseconds span, time_point now) const
{
    return double(m_waiting.size()) +
           m_demand.lower_bound_at(now) * to_seconds(span);
}

share_amount
lease_planner::local_need(account_share const& share, time_point now) const
{
    if (m_rate <= 0.0 || is_idle(share, now))
    {
        return {};
    }
    double const fraction = std::min(
        1.0,
        m_policy.m_demand_headroom * m_demand.lower_bound_at(now) / m_rate);
    return {fraction, tokens_for(m_policy.m_low_watermark, now)};
}

void lease_planner::plan(account_share& share, lease_context& context)
{
    drop_expired(context.m_now);
    if (is_idle(share, context.m_now))
    {
        m_demand.reset();
        return_all(share, context);
        return;
    }
    resend_requests(share, context);
    renew(share, context);
    return_excess(share, context);
    request_missing(share, context);
}

/// Drops waiting requests that were abandoned without notice, and lease
/// requests whose lease would already have expired.
void lease_planner::drop_expired(time_point now)
{
    std::erase_if(
        m_waiting,
        [now](time_point since)
        {
            return since + admission_wait < now;
        });
    std::erase_if(
        m_pending,
        [now](auto const& entry)
        {
            return entry.second.m_sent_at + lease_duration <= now;
        });
}

time_point lease_planner::idle_at(account_share const& share) const
{
    double const leases = double(share.held_leases().size());
    return m_demand.idle_at(messages_per_lease * std::max(1.0, leases));
}

bool lease_planner::is_idle(account_share const& share, time_point now) const
{
    return m_waiting.empty() && now >= idle_at(share);
}

void lease_planner::return_all(account_share& share, lease_context& context)
{
    while (!share.held_leases().empty())
    {
        return_lease(share, share.held_leases().begin()->first, 0.0, context);
    }
}

/// A return is sent even if the message limit is exhausted, since the request
/// of the lease was already subject to it. It delays the next request instead.
void lease_planner::return_lease(
    account_share& share,
    lease_id id,
    double reserved_tokens,
    lease_context& context)
{
    vm_id const grantor = share.held_leases().at(id).m_grantor;
    auto const [fraction, tokens] =
        share.return_lease(context.m_now, id, reserved_tokens);
    m_message_bucket.remove(1.0);
    context.m_message_bucket.remove(1.0);
    // A reply still in transit must not restore the lease.
    std::erase_if(
        m_pending,
        [id = id](auto const& entry)
        {
            return entry.second.m_renewed_lease == id;
        });
    context.m_outgoing.push_back(
        {grantor, lease_return{share.config().m_name, id, fraction, tokens}});
}

/// Under steady demand a returned lease would soon be requested again; without
/// such demand it is returned at once.
bool lease_planner::is_retained(held_lease const& lease, time_point now) const
{
    return m_demand.lower_bound_at(now) > 0.0 &&
           now < lease.m_extended_at + m_policy.m_retention;
}

void lease_planner::recall(
    account_share& share, lease_id id, lease_context& context)
{
    auto const found = share.held_leases().find(id);
    if (found == share.held_leases().end() || !m_waiting.empty())
    {
        return;
    }
    share_amount const need = local_need(share, context.m_now);
    double const remaining = share.fraction() - found->second.m_fraction;
    // If requests are rare here, a request that waits at another VM can use the
    // tokens.
    bool const is_frequent =
        m_demand.at(context.m_now) * to_seconds(admission_wait) > 0.5;
    bool const is_needed =
        is_frequent &&
        remaining < need.m_fraction * m_policy.m_recall_threshold &&
        share.tokens() <
            tokens_for(m_policy.m_recall_reserve, context.m_now) + 1.0;
    if (!is_needed)
    {
        return_lease(
            share,
            id,
            tokens_for(m_policy.m_low_watermark, context.m_now),
            context);
    }
}

bool lease_planner::send_recalls(
    account_share& share,
    vm_id const& requester,
    double missing_fraction,
    lease_context& context)
{
    std::vector<std::pair<double, lease_id>> leases;
    for (auto const& [id, lease] : share.granted_leases())
    {
        bool const was_asked_recently =
            lease.m_recalled_at + m_policy.m_recall_interval > context.m_now;
        if (lease.m_holder != requester && !was_asked_recently)
        {
            leases.emplace_back(lease.m_fraction, id);
        }
    }
    std::sort(leases.begin(), leases.end(), std::greater<>{});
    bool is_sent = false;
    for (auto const& [fraction, id] : leases)
    {
        if (missing_fraction <= 0.0 || !try_consume_message(context))
        {
            break;
        }
        is_sent = true;
        granted_lease& lease = share.granted_leases().at(id);
        lease.m_recalled_at = context.m_now;
        missing_fraction -= fraction;
        context.m_outgoing.push_back(
            {lease.m_holder,
             lease_return{share.config().m_name, id, 0.0, 0.0}});
    }
    return is_sent;
}

void lease_planner::return_excess(account_share& share, lease_context& context)
{
    share_amount const need = local_need(share, context.m_now);
    double const reserved_fraction =
        need.m_fraction * m_policy.m_return_threshold;
    double const reserved_tokens =
        tokens_for(m_policy.m_request_span, context.m_now);
    std::vector<lease_id> excess;
    double fraction = share.fraction();
    for (auto const& [id, lease] : share.held_leases())
    {
        double const remaining = fraction - lease.m_fraction;
        if (remaining >= reserved_fraction && m_waiting.empty() &&
            !is_retained(lease, context.m_now))
        {
            excess.push_back(id);
            fraction = remaining;
        }
    }
    for (lease_id const id : excess)
    {
        return_lease(share, id, reserved_tokens, context);
    }
}

void lease_planner::renew(account_share& share, lease_context& context)
{
    time_point const now = context.m_now;
    std::vector<std::pair<lease_id, vm_id>> due;
    for (auto const& [id, lease] : share.held_leases())
    {
        if (lease.m_expires_at - renewal_lead <= now &&
            !was_asked_recently(lease.m_grantor, now) &&
            !is_backed_off(lease.m_grantor, now))
        {
            due.emplace_back(id, lease.m_grantor);
        }
    }
    for (auto const& [id, grantor] : due)
    {
        send_lease_request(share, grantor, {}, context);
    }
}

/// If a reply is lost and the request is not resent, the granted fraction stays
/// unusable at both VMs until the lease expires.
void lease_planner::resend_requests(
    account_share const& share, lease_context& context)
{
    for (auto& [id, request] : m_pending)
    {
        bool const is_due =
            request.m_last_sent_at + reply_timeout <= context.m_now;
        if (!is_due || request.m_attempts == max_request_attempts ||
            !try_consume_message(context))
        {
            continue;
        }
        request.m_last_sent_at = context.m_now;
        ++request.m_attempts;
        context.m_outgoing.push_back(
            {request.m_grantor,
             lease_request{
                 share.config().m_name,
                 id,
                 request.m_renewed_lease,
                 request.m_requested.m_fraction,
                 request.m_requested.m_tokens}});
    }
}

bool lease_planner::was_asked_recently(
    vm_id const& grantor, time_point now) const
{
    return std::any_of(
        m_pending.begin(),
        m_pending.end(),
        [&](auto const& entry)
        {
            return entry.second.m_grantor == grantor &&
                   entry.second.m_last_sent_at + reply_timeout > now;
        });
}

share_amount lease_planner::pending(time_point now) const
{
    share_amount sum;
    for (auto const& [id, request] : m_pending)
    {
        if (request.m_last_sent_at + reply_timeout > now)
        {
            sum.m_fraction += request.m_requested.m_fraction;
            sum.m_tokens += request.m_requested.m_tokens;
        }
    }
    return sum;
}

bool lease_planner::is_backed_off(vm_id const& grantor, time_point now) const
{
    auto const backoff = m_backoffs.find(grantor);
    return backoff != m_backoffs.end() && backoff->second.m_backoff_until > now;
}

std::vector<vm_id>
lease_planner::available_grantors(lease_context& context) const
{
    std::vector<vm_id> available;
    for (vm_id const& grantor : m_grantors)
    {
        if (!is_backed_off(grantor, context.m_now) &&
            !was_asked_recently(grantor, context.m_now))
        {
            available.push_back(grantor);
        }
    }
    std::shuffle(available.begin(), available.end(), context.m_random);
    return available;
}

void lease_planner::request_missing(
    account_share& share, lease_context& context)
{
    time_point const now = context.m_now;
    share_amount const expected = pending(now);
    share_amount const need = local_need(share, now);
    double const tokens = share.tokens() + expected.m_tokens;
    double const fraction =
        need.m_fraction - share.fraction() - expected.m_fraction;
    bool const lacks_tokens = tokens < need.m_tokens;
    bool const lacks_fraction = fraction > min_missing_part * need.m_fraction;
    if (!lacks_tokens && !lacks_fraction)
    {
        return;
    }
    double const batch =
        std::max(1.0, tokens_for(m_policy.m_request_span, now));
    double const missing =
        lacks_tokens ? std::max(0.0, batch - tokens + token_slack) : 0.0;
    // Recalling leases that this VM granted is the fastest source of tokens.
    if (!m_waiting.empty() && missing > 0.0)
    {
        send_recalls(share, {}, missing / m_burst, context);
    }
    request_from_grantors(share, {fraction, missing}, context);
}

/// Requests at most one owner's base fraction from each grantor.
void lease_planner::request_from_grantors(
    account_share const& share, share_amount missing, lease_context& context)
{
    double const owner_fraction =
        1.0 / double(std::max<std::size_t>(1, m_owner_count));
    std::size_t requested_grantors = 0;
    for (vm_id const& grantor : available_grantors(context))
    {
        bool const is_enough =
            missing.m_fraction <= 0.0 && missing.m_tokens <= 0.0;
        share_amount const requested{
            std::clamp(missing.m_fraction, 0.0, owner_fraction),
            std::clamp(missing.m_tokens, 0.0, owner_fraction * m_burst)};
        if (is_enough || requested_grantors == m_policy.m_grantors ||
            !send_lease_request(share, grantor, requested, context))
        {
            return;
        }
        missing.m_fraction -= requested.m_fraction;
        missing.m_tokens -= requested.m_tokens;
        ++requested_grantors;
    }
}

bool lease_planner::try_consume_message(lease_context& context)
{
    m_message_bucket.advance(context.m_now);
    if (m_message_bucket.level() < 1.0 || !context.m_message_bucket.take())
    {
        return false;
    }
    return m_message_bucket.take();
}

/// Requests a lease, or renews and enlarges the lease held from the grantor.
bool lease_planner::send_lease_request(
    account_share const& share,
    vm_id const& grantor,
    share_amount const& requested,
    lease_context& context)
{
    if (!try_consume_message(context))
    {
        return false;
    }
    lease_id renewed = 0;
    for (auto const& [id, lease] : share.held_leases())
    {
        renewed = lease.m_grantor == grantor ? id : renewed;
    }
    std::uint64_t const id = context.m_next_id++;
    m_pending[id] = {
        grantor, renewed, context.m_now, context.m_now, 1, requested};
    context.m_outgoing.push_back(
        {grantor,
         lease_request{
             share.config().m_name,
             id,
             renewed,
             requested.m_fraction,
             requested.m_tokens}});
    return true;
}

/// The backoff doubles with each refusal, so that grantors without free tokens
/// cost few messages.
void lease_planner::update_backoff(
    vm_id const& grantor, bool is_full, time_point now)
{
    if (is_full)
    {
        m_backoffs.erase(grantor);
        return;
    }
    grantor_backoff& backoff = m_backoffs[grantor];
    unsigned const doublings =
        std::min(backoff.m_refusal_count, max_backoff_doublings);
    backoff.m_backoff_until = now + min_refusal_backoff * (1U << doublings);
    ++backoff.m_refusal_count;
}

void lease_planner::receive(
    account_share& share,
    time_point now,
    vm_id const& from,
    lease_reply const& reply)
{
    auto const found = m_pending.find(reply.m_request_id);
    if (found == m_pending.end() || found->second.m_grantor != from)
    {
        return;
    }
    pending_request const request = found->second;
    m_pending.erase(found);
    bool const is_partial =
        reply.m_lease_id == 0 ||
        reply.m_tokens + 2 * token_slack < request.m_requested.m_tokens;
    update_backoff(from, !is_partial, now);
    if (reply.m_lease_id == 0)
    {
        return;
    }
    apply_grant(share, now, request, reply);
}

/// A grant is applied only if its lease has neither expired nor been returned.
void lease_planner::apply_grant(
    account_share& share,
    time_point now,
    pending_request const& request,
    lease_reply const& reply)
{
    auto const& leases = share.held_leases();
    bool const is_known = leases.contains(reply.m_lease_id);
    bool const is_renewal = request.m_renewed_lease != 0;
    bool const matches =
        is_renewal ? is_known && reply.m_lease_id == request.m_renewed_lease
                   : !is_known;
    auto const span = std::min<duration>(reply.m_duration, lease_duration);
    time_point const end = request.m_sent_at + span;
    if (!matches || end <= now)
    {
        return;
    }
    share.add_held_lease(
        now,
        reply.m_lease_id,
        request.m_grantor,
        {reply.m_fraction, reply.m_tokens},
        end);
}

std::optional<time_point>
lease_planner::next_plan(account_share const& share, time_point now) const
{
    bool const is_inactive =
        share.held_leases().empty() && m_waiting.empty() && m_pending.empty();
    if (is_inactive && is_idle(share, now))
    {
        return std::nullopt;
    }
    time_point next = std::max(idle_at(share), now + plan_interval);
    for (auto const& [id, lease] : share.held_leases())
    {
        next = std::min(next, lease.m_expires_at - renewal_lead);
    }
    for (auto const& [id, request] : m_pending)
    {
        if (request.m_attempts < max_request_attempts)
        {
            next = std::min(next, request.m_last_sent_at + reply_timeout);
        }
    }
    return std::max(next, now + plan_interval);
}

} // namespace briarhub
