#ifndef BRIARHUB_CONTENT_DIGEST_HPP
#define BRIARHUB_CONTENT_DIGEST_HPP

/// SHA-256 of bodies and the `Digest` field (RFC 3230).

#include <array>
#include <optional>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace briarhub
{

/// SHA-256 of data that arrives in parts.
class sha256_hasher
{
public:
    sha256_hasher();
    ~sha256_hasher();
    sha256_hasher(sha256_hasher const& other);
    sha256_hasher(sha256_hasher&& other) noexcept;
    sha256_hasher& operator=(sha256_hasher other) noexcept;

    void update(std::string_view data);

    /// Digests of the data so far; more data may follow.
    [[nodiscard]] std::string hex() const;
    [[nodiscard]] std::string base64() const;

private:
    using digest = std::array<unsigned char, 32>;
    [[nodiscard]] digest value() const;

    evp_md_ctx_st* m_context;
};

/// Base64 SHA-256 of `data`, as the `Digest` field has it.
std::string sha256_base64(std::string_view data);

/// The base64 value of `sha-256` in a `Digest` field, if it has one.
std::optional<std::string> parse_sha256_digest(std::string_view field);

} // namespace briarhub

#endif
