#ifndef BRIARHUB_CONTENT_DIGEST_HPP
#define BRIARHUB_CONTENT_DIGEST_HPP

/// SHA-256 digests of message bodies and the `Digest` field (RFC 3230).

#include <array>
#include <optional>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace briarhub
{

/// Incremental SHA-256.
class sha256_hasher
{
public:
    sha256_hasher();
    ~sha256_hasher();
    sha256_hasher(sha256_hasher const& other);
    sha256_hasher(sha256_hasher&& other) noexcept;
    sha256_hasher& operator=(sha256_hasher other) noexcept;

    void update(std::string_view data);

    /// Digests of the data so far; `update` may be called afterwards.
    [[nodiscard]] std::string hex() const;
    [[nodiscard]] std::string base64() const;

private:
    using digest = std::array<unsigned char, 32>;
    [[nodiscard]] digest value() const;

    evp_md_ctx_st* m_context;
};

/// SHA-256 of `data` in base64, the encoding of the `Digest` field.
std::string sha256_base64(std::string_view data);

/// Base64 value of `sha-256` in a `Digest` field; nullopt if it has none.
std::optional<std::string> parse_sha256_digest(std::string_view field);

} // namespace briarhub

#endif
