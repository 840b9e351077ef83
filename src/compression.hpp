#ifndef BRIARHUB_COMPRESSION_HPP
#define BRIARHUB_COMPRESSION_HPP

/// Compression of large texts between VMs, by zlib. Pure: no I/O, reads no
/// clock.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

/// The text in zlib's format. Throws std::bad_alloc without memory.
std::string compress(std::string_view text);

/// Nullopt if the bytes are not a compressed text of this size.
std::optional<std::string>
decompress(std::string_view bytes, std::size_t text_size);

} // namespace briarhub

#endif
