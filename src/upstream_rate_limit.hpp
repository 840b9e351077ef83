#ifndef BRIARHUB_UPSTREAM_RATE_LIMIT_HPP
#define BRIARHUB_UPSTREAM_RATE_LIMIT_HPP

/// The rate limit that an upstream states in its responses. It holds for the
/// requests of all VMs together, for as long as the responses state it.

#include "shared_bucket.hpp"

#include <optional>
#include <string_view>

namespace briarhub
{

/// Parses the value of the header field, a decimal number of requests/s;
/// nullopt if it is not a finite number or is negative.
[[nodiscard]] std::optional<double> parse_rate_limit(std::string_view text);

/// What a response says about the upstream's rate limit.
struct rate_limit_notice
{
    std::optional<double> m_requests_per_second; ///< nullopt: no limit

    friend bool
    operator==(rate_limit_notice const&, rate_limit_notice const&) = default;
};

/// Keeps the requests of the fleet to one upstream within its limit. VMs learn
/// of each other's requests with a delay, so each needs a random number of
/// tokens, from one to two, for its next request: they then do not all send one
/// at the same time. Takes the time as an argument.
class upstream_rate_limiter
{
public:
    /// `extra_tokens`, from 0 to 1, are needed beyond one for the first
    /// request.
    explicit upstream_rate_limiter(double extra_tokens = 0.0)
        : m_needed_tokens(1.0 + extra_tokens)
    {
    }

    /// True if the limit changed. `share` is the part of the limit that the
    /// reachable part of the fleet may use.
    bool set(time_point now, rate_limit_notice const& notice, double share);
    void set_share(time_point now, double share);

    /// Records a request of this VM and sets the tokens beyond one, from 0 to
    /// 1, that its next request needs.
    void record_own_request(time_point now, double extra_tokens);

    /// Records requests that peers sent to the upstream.
    void record_remote_requests(time_point now, unsigned count);

    /// Time until the limit allows a request; zero if it allows one now.
    [[nodiscard]] duration wait(time_point now) const;

    /// The stated limit in requests/s.
    [[nodiscard]] std::optional<double> limit() const
    {
        return m_limit;
    }

private:
    std::optional<double> m_limit;
    std::optional<shared_bucket> m_bucket;
    double m_needed_tokens;
};

} // namespace briarhub

#endif
