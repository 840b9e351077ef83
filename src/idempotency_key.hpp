#ifndef BRIARHUB_IDEMPOTENCY_KEY_HPP
#define BRIARHUB_IDEMPOTENCY_KEY_HPP

/// Checks of the Idempotency-Key header: a UUIDv7 (RFC 9562).

#include "clock.hpp"
#include "result_code.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

/// Tolerated difference between a caller's clock and ours.
inline constexpr std::chrono::seconds idempotency_key_skew{60};

using uuid_bytes = std::array<unsigned char, 16>;

/// Reads a UUIDv7 in either case; nullopt if the text is not one.
std::optional<uuid_bytes> parse_uuid_v7(std::string_view text);

/// Lower-case text, so that one UUID has one text.
std::string to_text(uuid_bytes const& uuid);

/// The time in a UUIDv7.
wall_time uuid_time(uuid_bytes const& uuid);

/// The time in a UUIDv7, nullopt if the text is not one (36 characters).
std::optional<wall_time> uuid_v7_time(std::string_view text);

/// `ok`, or why the key is refused. `covered_since` is the oldest claim time
/// that is still known.
result_code check_idempotency_key(
    std::string_view key, wall_time now, wall_time covered_since);

/// A new UUIDv7 in lower case.
std::string make_uuid_v7(wall_time now);

} // namespace briarhub

#endif
