#include "compression.hpp"

#include <zlib.h>

#include <new>

namespace briarhub
{
namespace
{

/// Configurations are so repetitive that the fastest level suffices.
constexpr int compression_level = Z_BEST_SPEED;

Bytef const* to_bytes(std::string_view text)
{
    return reinterpret_cast<Bytef const*>(text.data());
}

Bytef* to_bytes(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data());
}

} // namespace

std::string compress(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    int const code = compress2(
        to_bytes(bytes), &size, to_bytes(text), text.size(), compression_level);
    if (code != Z_OK)
    {
        throw std::bad_alloc{};
    }
    bytes.resize(size);
    return bytes;
}

std::optional<std::string>
decompress(std::string_view bytes, std::size_t text_size)
{
    std::string text(text_size, '\0');
    uLongf size = text_size;
    int const code =
        uncompress(to_bytes(text), &size, to_bytes(bytes), bytes.size());
    if (code != Z_OK || size != text_size)
    {
        return std::nullopt;
    }
    return text;
}

} // namespace briarhub
