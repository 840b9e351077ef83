#ifndef BRIARHUB_TAGS_HPP
#define BRIARHUB_TAGS_HPP

/// Compact identifiers that save space in gossip datagrams.

#include <cstdint>
#include <string_view>

namespace briarhub
{

/// A VM: its IPv4 address in host order.
using vm_tag = std::uint32_t;

/// A failure domain: the short hash of its name. Two domains with one hash
/// would share a reader of the store and send each other more messages.
using domain_tag = std::uint32_t;

/// One incarnation of an upstream: the wide hash of its id and start time.
using upstream_tag = std::uint64_t;

/// A client account: the wide hash of its name.
using account_tag = std::uint64_t;

/// 32 bits of FNV-1a, the same on every VM. Too short to identify one of many:
/// among 60,000 texts, 0.4 pairs are expected to share a hash.
constexpr std::uint32_t short_hash(std::string_view text)
{
    constexpr std::uint32_t offset_basis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t hash = offset_basis;
    for (char const c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    return hash;
}

/// SplitMix64 finalizer, which mixes the bits of combined hashes.
constexpr std::uint64_t mix_bits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111eb;
    return value ^ (value >> 31U);
}

/// A wide hash has the short hash in its upper half, so that in an ordered map
/// those with one short hash follow each other.
inline constexpr unsigned short_hash_shift = 32;

/// Joins a short hash and the check that complements it. Processes of earlier
/// versions send no check, which reads as 0.
constexpr std::uint64_t join_hash(std::uint32_t hash, std::uint32_t check)
{
    return (std::uint64_t{hash} << short_hash_shift) | check;
}

constexpr std::uint32_t short_part(std::uint64_t wide)
{
    return static_cast<std::uint32_t>(wide >> short_hash_shift);
}

constexpr std::uint32_t check_part(std::uint64_t wide)
{
    return static_cast<std::uint32_t>(wide);
}

/// True if only the short hash is known, so that the value stands for all wide
/// hashes that begin with it.
constexpr bool is_short(std::uint64_t wide)
{
    return check_part(wide) == 0;
}

/// The short hash and 32 bits of a mixed 64-bit FNV-1a, the same on every VM.
/// Among 60,000 texts, 10^-10 pairs are expected to share a wide hash.
constexpr std::uint64_t wide_hash(std::string_view text)
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    std::uint64_t hash = offset_basis;
    for (char const c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    auto const check = check_part(mix_bits(hash));
    return join_hash(short_hash(text), check == 0 ? 1 : check);
}

} // namespace briarhub

#endif
