#ifndef BRIARHUB_PEER_MESSAGES_HPP
#define BRIARHUB_PEER_MESSAGES_HPP

/// Messages between entry processes as values, and their conversion to and
/// from protobuf. Malformed or implausible messages are refused.

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

/// Items of one kind in a message; more are refused.
inline constexpr std::size_t max_message_items = 10'000;

/// Names of VMs, accounts and upstreams in messages, and digests.
inline constexpr std::size_t max_message_name_bytes = 512;

struct peer_sender
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    control_version m_version = 0;
    control_version m_stable_version =
        0; ///< the highest version known to be stable

    friend bool operator==(peer_sender const&, peer_sender const&) = default;
};

/// A suspect request as the process that saw its crashes reports it. Totals
/// may arrive more than once and on several ways.
struct reported_suspect
{
    std::string m_origin; ///< names the reporting process
    std::string m_digest;
    std::uint32_t m_total_crashes = 0; ///< seen by the origin so far

    friend bool
    operator==(reported_suspect const&, reported_suspect const&) = default;
};

struct peer_observations
{
    std::vector<evidence> m_evidence;
    std::vector<reported_suspect> m_suspects;

    friend bool
    operator==(peer_observations const&, peer_observations const&) = default;
};

/// A probe; its reply has the same fields about the receiver.
struct probe_message
{
    peer_sender m_sender;
    peer_observations m_news;
    /// VMs that gave the sender no answer for `fence_after`.
    std::vector<vm_id> m_silent;
};

struct records_request
{
    peer_sender m_sender;
    /// Last offset folded; nullopt asks for the whole state.
    std::optional<log_offset> m_after;
};

struct records_reply
{
    peer_sender m_sender;
    std::vector<log_record> m_records;
    /// Text of a snapshot record, set when records are not enough.
    std::optional<std::string> m_snapshot;
};

/// `Content` is `lease_request` or `lease_return`.
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

// Nullopt for a malformed or implausible message.

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
