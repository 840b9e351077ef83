#ifndef BRIARHUB_RANDOM_SEED_HPP
#define BRIARHUB_RANDOM_SEED_HPP

/// Seeds for pseudo-random generators whose sequences must differ between VMs.

#include <cstdint>
#include <random>

namespace briarhub
{

[[nodiscard]] inline std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

} // namespace briarhub

#endif
