#ifndef BRIARHUB_COMPRESSION_HPP
#define BRIARHUB_COMPRESSION_HPP

/// zlib compression of large texts that VMs send to each other. Pure: no I/O,
/// reads no clock.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

/// Returns the text in zlib format. Throws std::bad_alloc if out of memory.
std::string compress(std::string_view text);

/// Nullopt if the bytes are not zlib data that expands to exactly `text_size`
/// bytes.
std::optional<std::string>
decompress(std::string_view bytes, std::size_t text_size);

} // namespace briarhub

#endif
