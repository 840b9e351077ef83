#ifndef BRIARHUB_CLAIMS_STREAM_HPP
#define BRIARHUB_CLAIMS_STREAM_HPP

/// Client of the claims stream on the control thread. Folds the stream into the
/// claim table, appends the records of the claim writer and sends the writer's
/// decisions to the traffic thread.

#include "claim_table.hpp"
#include "claim_writer.hpp"
#include "metered_platform_client.hpp"
#include "metrics.hpp"
#include "notifier.hpp"
#include "settings.hpp"
#include "thread_messages.hpp"
#include "traffic_outbox.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <vector>

namespace briarhub
{

inline constexpr char const* claims_stream_name = "claims-0";

class claims_stream
{
public:
    claims_stream(
        boost::asio::io_context& io,
        settings const& options,
        member const& self,
        metered_platform_client& platform,
        traffic_outbox& outbox,
        metrics_registry& metrics);

    /// Reads the stream until `stop`.
    boost::asio::awaitable<void> run_reads();

    /// Appends the writer's records until `stop`.
    boost::asio::awaitable<void> run_appends();

    /// Waits until all outcomes and releases are appended, at most until
    /// `deadline`.
    boost::asio::awaitable<void> flush(time_point deadline);

    void receive(claim_request&& message);
    void receive(claim_cancel&& message);
    void receive(claim_outcome&& message);
    void receive(claim_release&& message);

    void set_member_count(std::size_t count);

    [[nodiscard]] claim_table const& table() const
    {
        return m_table;
    }

    void stop();

private:
    boost::asio::awaitable<void> read_once();
    boost::asio::awaitable<void> wait_for_read(time_point last_read);
    boost::asio::awaitable<bool> append_once();
    void apply_read(log_read_result const& result);
    void reset_table(log_read_result const& result);
    void finish_append(platform_result<log_offset> const& result);
    void send_decisions();
    void publish_coverage(bool is_available);

    settings m_options;
    member m_self;
    metered_platform_client& m_platform;
    traffic_outbox& m_outbox;
    counter& m_claims_won;
    counter& m_claims_finished;
    counter& m_claims_refused;
    notifier m_wakeup;
    claim_table m_table;
    claim_writer m_writer;
    bool m_has_read = false;
    bool m_stopped = false;
    std::optional<claim_coverage> m_published_coverage;
};

} // namespace briarhub

#endif
