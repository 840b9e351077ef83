#ifndef BRIARHUB_PEER_MESSAGES_HPP
#define BRIARHUB_PEER_MESSAGES_HPP

/// Messages that entry processes exchange (probes with piggybacked gossip,
/// control stream records, loans of rate) and their protobuf serialization.
/// Parsers refuse malformed messages and values out of range.

#include "lease_rate_limiter.hpp"
#include "types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

inline constexpr std::string_view probe_path = "/peer/probe";
inline constexpr std::string_view records_path = "/peer/records";
inline constexpr std::string_view loan_path = "/peer/loan";
inline constexpr std::string_view loan_return_path = "/peer/loan-return";

/// Largest number of items of one kind that a parser accepts.
inline constexpr std::size_t max_message_items = 10'000;

/// Limit for digests and for names of VMs, accounts and upstreams.
inline constexpr std::size_t max_message_name_bytes = 512;

/// Identity and control stream state of the sending VM.
struct peer_sender
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    control_version m_version = 0;
    /// Highest version known to be stable.
    control_version m_stable_version = 0;

    friend bool operator==(peer_sender const&, peer_sender const&) = default;
};

/// Number of upstream crashes that one process attributes to a suspect request.
/// Gossip may deliver the same total more than once and over several paths.
struct reported_suspect
{
    std::string m_origin; ///< reporting process
    std::string m_digest;
    std::uint32_t m_total_crashes = 0; ///< observed by the origin

    friend bool
    operator==(reported_suspect const&, reported_suspect const&) = default;
};

/// Observations that are piggybacked on probes and their replies.
struct peer_observations
{
    std::vector<evidence> m_evidence;
    std::vector<reported_suspect> m_suspects;

    friend bool
    operator==(peer_observations const&, peer_observations const&) = default;
};

/// A heartbeat probe. The reply has the same fields, filled by the receiver.
struct probe_message
{
    peer_sender m_sender;
    peer_observations m_news;
    /// VMs that have not responded to the sender for `fence_timeout`.
    std::vector<vm_id> m_silent;
};

struct records_request
{
    peer_sender m_sender;
    /// Last control stream offset applied; nullopt requests the full state.
    std::optional<log_offset> m_after;
};

struct records_reply
{
    peer_sender m_sender;
    std::vector<log_record> m_records;
    /// Serialized snapshot record, set if the records alone don't bring the
    /// receiver up to date.
    std::optional<std::string> m_snapshot;
};

/// A loan message with its sender. `Content` is `lease_request` or
/// `lease_return`.
template <class Content>
struct sent_loan_message
{
    peer_sender m_sender;
    Content m_content;
};

std::string serialize(probe_message const& message);
std::string serialize_reply(probe_message const& message);
std::string serialize(records_request const& message);
std::string serialize(records_reply const& message);
std::string serialize(sent_loan_message<lease_request> const& message);
std::string serialize(sent_loan_message<lease_return> const& message);
std::string serialize(lease_reply const& message);

// These return nullopt for a malformed message or a value out of range.

std::optional<probe_message> parse_probe(std::string_view text);
std::optional<probe_message> parse_probe_reply(std::string_view text);
std::optional<records_request> parse_records_request(std::string_view text);
std::optional<records_reply> parse_records_reply(std::string_view text);
std::optional<sent_loan_message<lease_request>>
parse_loan_request(std::string_view text);
std::optional<sent_loan_message<lease_return>>
parse_loan_return(std::string_view text);
std::optional<lease_reply> parse_loan_reply(std::string_view text);

} // namespace briarhub

#endif
