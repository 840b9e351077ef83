#ifndef BRIARHUB_TRAFFIC_STATE_HPP
#define BRIARHUB_TRAFFIC_STATE_HPP

/// State of the traffic thread that all caller sessions share: routing, rate
/// limits, upstream health and dispatch, waiting requests, upstream connections
/// and counters.

#include "admin_messages.hpp"
#include "buffer_budget.hpp"
#include "caller_key.hpp"
#include "dispatcher.hpp"
#include "lease_rate_limiter.hpp"
#include "mailbox.hpp"
#include "metrics.hpp"
#include "outlier_detector.hpp"
#include "pending_value.hpp"
#include "request.hpp"
#include "retry_budget.hpp"
#include "route_table.hpp"
#include "settings.hpp"
#include "suspect_requests.hpp"
#include "thread_messages.hpp"
#include "upstream_client.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace briarhub
{

/// The upstream assigned to a queued request, or why the request is refused.
using dispatch_result = std::variant<upstream, result_code>;

/// An attempt in flight at an upstream.
struct running_attempt
{
    service_name m_service;
    upstream_id m_upstream;
    time_point m_deadline{};
    key_config m_key;
    bool m_is_archive = false;
    /// Upstreams that the request was already sent to.
    std::vector<upstream_id> m_tried;
    /// Cancelled because it was slow; the retry budget is already charged.
    bool m_is_cancelled_slow = false;
    /// Cancelled because the key was withdrawn.
    bool m_is_cancelled_key = false;
    /// Closes the connection of the caller of a download.
    std::function<void()> m_abort_caller;
};

/// Metrics of one work class.
struct class_metrics
{
    counter* m_requests = nullptr;
    latency_summary* m_latency = nullptr;
};

/// Used on the traffic thread only. Sessions share ownership, since their
/// coroutines may outlive the `traffic_worker`.
class traffic_state : public std::enable_shared_from_this<traffic_state>
{
public:
    traffic_state(
        boost::asio::io_context& io,
        settings const& options,
        member const& self,
        metrics_registry& metrics,
        mailbox<control_message>& to_control);

    void receive(config_update&& message);
    void receive(upstreams_update&& message);
    void receive(members_update&& message);
    void receive(stable_version_update&& message);
    void receive(freshness_update&& message);
    void receive(claim_coverage&& message);
    void receive(claim_decision&& message);
    void receive(addressed_lease_message&& message);
    void receive(peer_evidence&& message);
    void receive(peer_suspects&& message);
    void receive(stop_traffic&& message);

    /// Periodic work, called every `health_interval`.
    void tick();

    /// Returns `ok`, or why no request may be admitted or sent now.
    [[nodiscard]] result_code readiness(time_point now) const;

    /// Returns `ok`, or why this request must not be sent now.
    [[nodiscard]] result_code check_sendable(request_context const& context);

    request_ticket next_ticket();

    /// Assigns queued requests to upstreams with free slots and schedules the
    /// next poll.
    void poll_dispatcher();

    /// Sends due loan messages and schedules the next poll.
    void poll_rates();

    /// Sends a message to the control thread; returns false if the ring buffer
    /// is full.
    bool send(control_message&& message);

    /// Sends the outcome or release of a claim; retries later if the ring
    /// buffer is full.
    void send_claim_result(control_message&& message);

    /// Cancels a claim whose decision no request awaits any more.
    void cancel_claim(request_ticket ticket, claim_name name);

    /// Whether another upstream of the service can receive requests.
    [[nodiscard]] bool has_alternative(
        service_name const& service,
        std::vector<upstream_id> const& tried) const;

    /// Called when an attempt exceeds its latency limit. Cancels the attempt if
    /// the retry budget, the deadline and another upstream allow a retry.
    void handle_slow_attempt(request_ticket attempt);

    void count_refusal(result_code code, work_class_name const& work_class);
    void count_retry(std::string_view reason);
    class_metrics& metrics_of(work_class_name const& work_class);

    /// A request is in flight from its admission until its response is written.
    void request_started();
    void request_ended();

    /// Cancels the timers and drops the stop callbacks.
    void shut_down();

    [[nodiscard]] admin_reply handle_admin_query(admin_topic topic) const;

    boost::asio::io_context& m_io;
    settings const m_options;
    member const m_self;
    metrics_registry& m_metrics;
    mailbox<control_message>& m_to_control;

    buffer_budget m_buffers; ///< of callers' requests

    config m_config;
    key_index m_keys;
    route_table m_routes;
    lease_rate_limiter m_rates;
    outlier_detector m_health;
    dispatcher m_dispatcher;
    retry_budget m_retries;
    suspect_requests m_suspects;
    upstream_client m_client;

    std::unordered_map<request_ticket, pending_value<dispatch_result>*>
        m_pending_dispatches;
    std::unordered_map<request_ticket, pending_value<claim_verdict>*>
        m_pending_claims;
    std::unordered_map<request_ticket, pending_value<bool>*>
        m_pending_admissions;
    std::unordered_map<request_ticket, running_attempt> m_attempts;

    /// Cancelled claims without a decision yet. If one is granted late, it is
    /// released.
    std::unordered_map<request_ticket, claim_name> m_cancelled_claims;

    claim_coverage m_claim_coverage;
    latency_summary& m_added_latency;

    /// Called when the stop begins and when the last request has ended.
    std::function<void()> m_on_stopping;
    std::function<void()> m_on_stopped;

private:
    void apply_operation(time_point now, config_operation const& operation);
    void apply(time_point now, put_service const& operation);
    void apply(time_point now, remove_service const& operation);
    void apply(time_point now, put_work_class const& operation);
    void apply(time_point now, remove_work_class const& operation);
    void apply(time_point now, put_account const& operation);
    void apply(time_point now, remove_account const& operation);
    void apply(time_point now, put_key const& operation);
    void apply(time_point now, withdraw_key const& operation);
    void apply(time_point now, put_detection const& operation);
    void replace_config(time_point now, config&& replacement);
    void abort_withdrawn_downloads();
    void tick_health(time_point now);
    void send_reports(time_point now);
    void start_probe(upstream const& target);
    void flush_claim_results();
    void finish_stop_if_idle();
    void schedule_poll(
        timer& poll_timer, time_point when, void (traffic_state::*action)());

    std::map<upstream_id, upstream> m_upstreams;
    std::unordered_map<work_class_name, class_metrics> m_class_metrics;
    std::deque<control_message> m_unsent_claim_results;
    timer m_dispatch_timer;
    timer m_rate_timer;
    time_point m_valid_until{};
    control_version m_control_version = 0; ///< newest version known
    time_point m_next_report{};
    request_ticket m_last_ticket = 0;
    std::size_t m_running_requests = 0;
    bool m_has_config = false;
    bool m_is_stopping = false;
    bool m_is_stopped = false;
    bool m_is_shut_down = false;
};

/// Interval of `traffic_state::tick`.
inline constexpr std::chrono::milliseconds health_interval{100};

} // namespace briarhub

#endif
