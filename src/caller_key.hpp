#ifndef BRIARHUB_CALLER_KEY_HPP
#define BRIARHUB_CALLER_KEY_HPP

/// Authentication by caller key: extracts the key from a request, looks it up
/// by its digest, and removes credentials before the request is forwarded to an
/// upstream.

#include "config.hpp"
#include "result_code.hpp"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace briarhub
{

/// The SHA-256 digest of the data in lower-case hex.
std::string sha256_hex(std::string_view data);

/// The keys of the configuration, indexed by digest. The final comparison of
/// digests takes constant time.
class key_index
{
public:
    void assign(config const& configuration);
    void put(key_config const& key);
    void withdraw(std::string const& key_id);

    [[nodiscard]] key_config const* find(std::string_view caller_key) const;
    [[nodiscard]] bool is_current(std::string const& key_id) const;

    /// True if the key has not been withdrawn or changed.
    [[nodiscard]] bool is_current(key_config const& key) const;

private:
    std::unordered_map<std::string, key_config> m_by_digest;
    std::unordered_map<std::string, std::string> m_digest_by_id;
};

/// True if the text contains the caller's key. A short key has to equal the
/// whole text.
bool contains_key(std::string_view text, std::string_view caller_key);

/// Reads the key from `Authorization: Bearer <key>` or `X-Api-Key: <key>`. More
/// than one such field is refused with `duplicate_header`.
std::variant<std::string, result_code>
extract_caller_key(boost::beast::http::fields const& fields);

/// Removes from a request: header fields, cookies and query parameters that are
/// meant for credentials, all others that contain the caller's key, hop-by-hop
/// fields, and identity fields that only this fleet may set.
void remove_credentials(
    boost::beast::http::fields& fields,
    std::string& target,
    std::string_view caller_key);

} // namespace briarhub

#endif
