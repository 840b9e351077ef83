#ifndef BRIARHUB_RETRY_BUDGET_HPP
#define BRIARHUB_RETRY_BUDGET_HPP

/// Bounds the retries of each service, so that retries cannot amplify an
/// overload. Pure: no I/O, reads no clock.

#include "types.hpp"

#include <cstddef>
#include <map>

namespace briarhub
{

/// Share of the service's requests that may be retries.
inline constexpr double retries_per_request = 0.1;

/// Retries per second that the whole fleet may make besides, so that a service
/// with little traffic can retry at all.
inline constexpr double retries_per_second = 3.0;

/// Most retries that this VM may make at once after a quiet time.
inline constexpr double retry_burst = 10.0;

class retry_budget
{
public:
    /// Number of VMs that share `retries_per_second`; 1 until set.
    void set_members(std::size_t members);

    /// A first attempt; earns a tenth of a retry.
    void request_started(time_point now, service_name const& service);

    /// Takes one retry from the budget; false if it is spent.
    bool try_retry(time_point now, service_name const& service);

private:
    struct bucket
    {
        double m_tokens = 0.0;
        time_point m_updated{};
        bool m_started = false;
    };

    bucket& refill(time_point now, service_name const& service);

    std::map<service_name, bucket> m_buckets;
    std::size_t m_members = 1;
};

} // namespace briarhub

#endif
