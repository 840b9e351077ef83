#ifndef BRIARHUB_FLEET_STORE_HPP
#define BRIARHUB_FLEET_STORE_HPP

/// Interface to the platform's store, a log of keyed records per topic, as edge
/// processes use it. A platform's adapter implements it; tests use a fake.

#include "fleet_policy.hpp"
#include "types.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhub
{

/// Topics of keyed records; the store retains the newest record of each key.
enum class store_topic
{
    policy,    ///< the operator's configuration and evacuation orders
    upstreams, ///< announcements of upstreams, keyed by upstream
    fleet      ///< written by entry VMs: their addresses, the health snapshot
};

struct store_record
{
    std::string m_key;
    std::optional<std::string> m_value; ///< nullopt: the key was removed
    log_offset m_offset = 0;

    friend bool operator==(store_record const&, store_record const&) = default;
};

/// Result of one read.
struct store_page
{
    std::vector<store_record> m_records;
    store_era m_era = 0;  ///< of all offsets of the page
    log_offset m_end = 0; ///< where the next read begins
    /// False if the log had further records that the response does not include.
    bool m_reaches_log_end = true;
};

enum class store_failure
{
    unreachable,  ///< no connection or no response in time
    refused,      ///< error response; the request had no effect
    history_gone, ///< the requested records were deleted
    malformed,    ///< the response cannot be parsed
    outdated_era  ///< the response is of an older era than an earlier one
};

std::string_view to_string(store_failure failure) noexcept;

using store_result = std::variant<store_page, store_failure>;

/// Reason why a record cannot be decoded.
struct decode_failure
{
    std::string m_reason;
};

class fleet_store
{
public:
    virtual ~fleet_store() = default;

    /// The highest era of all responses so far, also of those to writes and of
    /// error responses; nullopt before the first response.
    [[nodiscard]] virtual std::optional<store_era> era() const = 0;

    /// Reads the newest record of each key, all of one era. A `read` from
    /// `m_end` on continues without a gap, unless the era has changed.
    virtual boost::asio::awaitable<store_result>
    read_latest(store_topic topic) = 0;

    /// Reads records from an offset on; waits up to `wait` if there are none.
    virtual boost::asio::awaitable<store_result> read(
        store_topic topic, log_offset from, std::chrono::milliseconds wait) = 0;

    /// Appends a record; nullopt if the store confirmed it.
    virtual boost::asio::awaitable<std::optional<store_failure>>
    put(store_topic topic, std::string key, std::string value) = 0;

    /// Decodes the policy from a record of the operator's configuration;
    /// nullopt for a record of another kind.
    [[nodiscard]] virtual std::optional<
        std::variant<fleet_policy, decode_failure>>
    decode_policy(std::string_view key, std::string_view value) const = 0;

    /// Decodes the failure domain of an evacuation order from the key of a
    /// record; nullopt for a record of another kind. The record gives the order
    /// if it has a value, and takes it back if it has none.
    [[nodiscard]] virtual std::optional<
        std::variant<failure_domain, decode_failure>>
    decode_evacuation(std::string_view key) const = 0;

    [[nodiscard]] virtual std::variant<upstream_entry, decode_failure>
    decode_upstream(std::string_view key, std::string_view value) const = 0;
};

} // namespace briarhub

#endif
