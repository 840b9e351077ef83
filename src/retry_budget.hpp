#ifndef BRIARHUB_RETRY_BUDGET_HPP
#define BRIARHUB_RETRY_BUDGET_HPP

/// Bounds the retries of each service, so that retries cannot amplify an
/// overload. Pure: no I/O, reads no clock.

#include "types.hpp"

#include <map>

namespace briarhub
{

class retry_budget
{
public:
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
};

} // namespace briarhub

#endif
