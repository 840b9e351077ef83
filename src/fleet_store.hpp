#ifndef BRIARHUB_FLEET_STORE_HPP
#define BRIARHUB_FLEET_STORE_HPP

/// What an edge process needs of a platform's store. A platform's adapter
/// implements it; tests use a fake.

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

/// Streams of keyed records; the newest record of each key is kept.
enum class store_topic
{
    policy,    ///< the operator's configuration
    upstreams, ///< announcements of upstreams, keyed by upstream
    fleet      ///< records of the fleet's own: its VMs and what it believes
};

struct store_record
{
    std::string m_key;
    std::optional<std::string> m_value; ///< nullopt: the key was removed
    log_offset m_offset = 0;

    friend bool operator==(store_record const&, store_record const&) = default;
};

struct store_page
{
    std::vector<store_record> m_records;
    log_offset m_end = 0; ///< where the next read begins
};

enum class store_failure
{
    unreachable,  ///< no connection or no answer in time
    refused,      ///< answered that nothing was done
    history_gone, ///< the records asked for were deleted
    malformed     ///< the answer cannot be read
};

std::string_view to_string(store_failure failure) noexcept;

using store_result = std::variant<store_page, store_failure>;

/// Why bytes were not decoded.
struct decode_failure
{
    std::string m_reason;
};

class fleet_store
{
public:
    virtual ~fleet_store() = default;

    /// The newest record of each key. Reading on from `m_end` misses nothing.
    virtual boost::asio::awaitable<store_result>
    read_latest(store_topic topic) = 0;

    /// Records from an offset on; waits up to `wait` if there are none.
    virtual boost::asio::awaitable<store_result> read(
        store_topic topic, log_offset from, std::chrono::milliseconds wait) = 0;

    /// Adds a record; nullopt if that is certain.
    virtual boost::asio::awaitable<std::optional<store_failure>>
    put(store_topic topic, std::string key, std::string value) = 0;

    /// The policy in a record with the operator's configuration; nullopt for
    /// a record that holds something else.
    [[nodiscard]] virtual std::optional<
        std::variant<fleet_policy, decode_failure>>
    decode_policy(std::string_view key, std::string_view value) const = 0;

    [[nodiscard]] virtual std::variant<upstream_entry, decode_failure>
    decode_upstream(std::string_view key, std::string_view value) const = 0;
};

} // namespace briarhub

#endif
