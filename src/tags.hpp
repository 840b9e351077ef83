#ifndef BRIARHUB_TAGS_HPP
#define BRIARHUB_TAGS_HPP

/// Compact 32-bit identifiers that save space in gossip datagrams.

#include <cstdint>
#include <string_view>

namespace briarhub
{

/// A VM: its IPv4 address in host order.
using vm_tag = std::uint32_t;

/// A failure domain: the short hash of its name.
using domain_tag = std::uint32_t;

/// One incarnation of an upstream.
using upstream_tag = std::uint32_t;

/// A client account.
using account_tag = std::uint32_t;

/// 32 bits of FNV-1a, the same on every VM.
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

} // namespace briarhub

#endif
