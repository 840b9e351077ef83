#ifndef BRIARHUB_CALLER_KEY_HPP
#define BRIARHUB_CALLER_KEY_HPP

/// Callers' keys: where a request carries them, their digests, and their
/// removal before a request goes to an upstream.

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

/// Lower-case hex SHA-256.
std::string sha256_hex(std::string_view data);

/// Finds keys by digest. The final comparison takes constant time.
class key_index
{
public:
    void assign(config const& configuration);
    void put(key_config const& key);
    void withdraw(std::string const& key_id);

    [[nodiscard]] key_config const* find(std::string_view caller_key) const;
    [[nodiscard]] bool is_current(std::string const& key_id) const;

    /// The key with this id, digest and account is still in force.
    [[nodiscard]] bool is_current(key_config const& key) const;

private:
    std::unordered_map<std::string, key_config> m_by_digest;
    std::unordered_map<std::string, std::string> m_digest_by_id;
};

/// The text holds a caller's key. Short keys are compared as whole values.
bool contains_key(std::string_view text, std::string_view caller_key);

/// The key of a request, from `Authorization: Bearer <key>` or
/// `X-Api-Key: <key>`. More than one place or value is `duplicate_header`.
std::variant<std::string, result_code>
extract_caller_key(boost::beast::http::fields const& fields);

/// Removes every header field, query parameter and cookie that may hold a
/// caller's key, wherever else the caller put the same text, and identity
/// fields that only this fleet may set.
void remove_credentials(
    boost::beast::http::fields& fields,
    std::string& target,
    std::string_view caller_key);

} // namespace briarhub

#endif
