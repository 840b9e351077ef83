#ifndef BRIARHUB_IDEMPOTENCY_KEY_HPP
#define BRIARHUB_IDEMPOTENCY_KEY_HPP

/// Validation of the Idempotency-Key header, which must hold a UUIDv7 (RFC
/// 9562). The time in the UUID tells whether the key can still be deduplicated.

#include "clock.hpp"
#include "result_code.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

/// Maximum accepted lead of a caller's clock over this VM's clock.
inline constexpr std::chrono::seconds idempotency_key_skew{60};

using uuid_bytes = std::array<unsigned char, 16>;

/// Parses a UUIDv7 in upper or lower case; nullopt if the text is not a UUIDv7.
std::optional<uuid_bytes> parse_uuid_v7(std::string_view text);

/// The canonical text: lower case, so that equal UUIDs have equal texts.
std::string to_text(uuid_bytes const& uuid);

/// The Unix time that a UUIDv7 starts with.
wall_time uuid_time(uuid_bytes const& uuid);

/// The Unix time of a UUIDv7 text (36 characters); nullopt if the text is not a
/// UUIDv7.
std::optional<wall_time> uuid_v7_time(std::string_view text);

/// `ok`, or the reason for which the key is rejected. Claims are known only for
/// keys with a time at or after `covered_since`.
result_code check_idempotency_key(
    std::string_view key, wall_time now, wall_time covered_since);

/// Generates a UUIDv7 in lower case.
std::string make_uuid_v7(wall_time now);

} // namespace briarhub

#endif
