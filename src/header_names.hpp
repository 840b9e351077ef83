#ifndef BRIARHUB_HEADER_NAMES_HPP
#define BRIARHUB_HEADER_NAMES_HPP

/// Names of the header fields that the callers and upstreams of a platform use.
/// The platform adapter sets them.

#include <string>

namespace briarhub
{

struct header_names
{
    std::string m_request_id;         ///< ID of one attempt of the caller
    std::string m_deadline_remaining; ///< milliseconds until the deadline
    std::string m_caller_key;         ///< key; never forwarded to an upstream
    std::string m_account;            ///< client account, set for the upstream
    std::string m_target_upstream;    ///< ID of the addressed upstream
    std::string m_response_seal;      ///< marks a response made by the upstream
    std::string m_not_executed; ///< the upstream did not execute the request
    std::string m_rate_limit;   ///< requests/s that the upstream accepts
    std::string m_leaving;      ///< the upstream is shutting down
};

} // namespace briarhub

#endif
