#ifndef BRIARHUB_HEADER_NAMES_HPP
#define BRIARHUB_HEADER_NAMES_HPP

/// Names of the header fields that a platform's callers and upstreams use.
/// The platform's adapter sets them.

#include <string>

namespace briarhub
{

struct header_names
{
    std::string m_request_id;         ///< of one attempt of a caller
    std::string m_deadline_remaining; ///< milliseconds that the caller waits
    std::string m_caller_key;         ///< never passed to an upstream
    std::string m_account;            ///< the account, set for the upstream
    std::string m_target_upstream;    ///< the upstream that is meant
    std::string m_response_seal;      ///< marks an upstream's own answer
    std::string m_not_executed;       ///< the upstream did not run the request
};

} // namespace briarhub

#endif
