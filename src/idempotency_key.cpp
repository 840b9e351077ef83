#include "idempotency_key.hpp"

#include <openssl/rand.h>

#include <stdexcept>

namespace briarhub
{
namespace
{

constexpr std::size_t uuid_text_size = 36;

/// A UUIDv7 starts with the Unix time in milliseconds.
constexpr std::size_t uuid_time_bytes = 6;

constexpr unsigned invalid_hex_digit = 16;

unsigned hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
    {
        return static_cast<unsigned>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f')
    {
        return static_cast<unsigned>(digit - 'a') + 10;
    }
    if (digit >= 'A' && digit <= 'F')
    {
        return static_cast<unsigned>(digit - 'A') + 10;
    }
    return invalid_hex_digit;
}

bool is_hyphen_position(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

bool is_version_7(uuid_bytes const& uuid)
{
    return uuid[6] >> 4U == 7 && uuid[8] >> 6U == 2;
}

} // namespace

std::optional<uuid_bytes> parse_uuid_v7(std::string_view text)
{
    if (text.size() != uuid_text_size)
    {
        return std::nullopt;
    }
    uuid_bytes uuid{};
    std::size_t digits = 0;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (is_hyphen_position(i))
        {
            if (text[i] != '-')
            {
                return std::nullopt;
            }
            continue;
        }
        unsigned const value = hex_value(text[i]);
        if (value == invalid_hex_digit)
        {
            return std::nullopt;
        }
        unsigned const shift = digits % 2 == 0 ? 4 : 0;
        uuid[digits / 2] |= static_cast<unsigned char>(value << shift);
        ++digits;
    }
    return is_version_7(uuid) ? std::optional{uuid} : std::nullopt;
}

std::string to_text(uuid_bytes const& uuid)
{
    constexpr std::string_view hex = "0123456789abcdef";
    std::string text;
    text.reserve(uuid_text_size);
    for (unsigned char const byte : uuid)
    {
        if (is_hyphen_position(text.size()))
        {
            text.push_back('-');
        }
        text.push_back(hex[byte >> 4U]);
        text.push_back(hex[byte & 15U]);
    }
    return text;
}

wall_time uuid_time(uuid_bytes const& uuid)
{
    std::int64_t value = 0;
    for (std::size_t i = 0; i < uuid_time_bytes; ++i)
    {
        value = value << 8 | uuid[i];
    }
    return wall_time{std::chrono::milliseconds{value}};
}

std::optional<wall_time> uuid_v7_time(std::string_view text)
{
    auto const uuid = parse_uuid_v7(text);
    return uuid ? std::optional{uuid_time(*uuid)} : std::nullopt;
}

result_code check_idempotency_key(
    std::string_view key, wall_time now, wall_time covered_since)
{
    auto const time = uuid_v7_time(key);
    if (!time)
    {
        return result_code::idempotency_key_invalid;
    }
    if (*time > now + idempotency_key_skew)
    {
        return result_code::idempotency_key_in_future;
    }
    if (*time < covered_since)
    {
        return result_code::idempotency_key_expired;
    }
    return result_code::ok;
}

std::string make_uuid_v7(wall_time now)
{
    uuid_bytes uuid{};
    if (RAND_bytes(uuid.data(), static_cast<int>(uuid.size())) != 1)
    {
        throw std::runtime_error(
            "OpenSSL could not generate random bytes for a UUID");
    }
    auto value = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (std::size_t i = uuid_time_bytes; i > 0; --i)
    {
        uuid[i - 1] = static_cast<unsigned char>(value & 0xffU);
        value >>= 8U;
    }
    uuid[6] = static_cast<unsigned char>((uuid[6] & 0x0fU) | 0x70U);
    uuid[8] = static_cast<unsigned char>((uuid[8] & 0x3fU) | 0x80U);
    return to_text(uuid);
}

} // namespace briarhub
