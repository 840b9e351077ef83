#include "caller_key.hpp"

#include "http_fields.hpp"
#include "request_validation.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>
#include <vector>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view api_key_field = "X-Api-Key";

/// Shorter keys are only compared with whole values: as substrings they would
/// match by chance and remove fields that contain no key.
constexpr std::size_t min_substring_key_bytes = 8;

constexpr auto credential_parameters = std::to_array<std::string_view>(
    {"key", "api_key", "apikey", "api-key", "access_token"});

/// Fields with credentials or caller identity, and hop-by-hop fields.
constexpr auto removed_fields = std::to_array<std::string_view>(
    {"authorization",
     "proxy-authorization",
     "proxy-authenticate",
     "x-api-key",
     "cookie",
     "cookie2",
     "forwarded",
     "x-real-ip",
     "connection",
     "proxy-connection",
     "keep-alive",
     "te",
     "trailer",
     "transfer-encoding",
     "upgrade",
     "expect",
     "content-length",
     "host"});

constexpr auto removed_prefixes =
    std::to_array<std::string_view>({"briarhub-", "upstream-", "x-forwarded-"});

/// Converts to lower case and "_" to "-": some servers treat both the same in
/// field names.
std::string normalize_name(std::string_view name)
{
    std::string normalized{name};
    std::ranges::transform(
        normalized,
        normalized.begin(),
        [](char c)
        {
            if (c == '_')
            {
                return '-';
            }
            return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        });
    return normalized;
}

bool is_removed_name(std::string const& normalized)
{
    bool const has_prefix = std::ranges::any_of(
        removed_prefixes,
        [&](std::string_view prefix)
        {
            return normalized.starts_with(prefix);
        });
    return has_prefix || std::ranges::find(removed_fields, normalized) !=
                             removed_fields.end();
}

/// Field names that the `Connection` fields declare as hop-by-hop.
std::vector<std::string> hop_by_hop_names(http::fields const& fields)
{
    std::vector<std::string> names;
    auto const [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field)
    {
        for (auto const& token : http::token_list{field->value()})
        {
            names.push_back(normalize_name(to_view(token)));
        }
    }
    return names;
}

bool contains_key_decoded(std::string_view text, std::string_view caller_key)
{
    auto const decoded = percent_decode(text);
    return contains_key(text, caller_key) ||
           (decoded && contains_key(*decoded, caller_key));
}

bool is_credential_parameter(
    std::string_view parameter, std::string_view caller_key)
{
    auto const name = parameter.substr(0, parameter.find('='));
    auto const decoded_name = percent_decode(name).value_or(std::string{name});
    bool const has_credential_name = std::ranges::any_of(
        credential_parameters,
        [&](std::string_view credential)
        {
            return iequals(decoded_name, credential);
        });
    auto const value =
        parameter.substr(std::min(name.size() + 1, parameter.size()));
    return has_credential_name || contains_key_decoded(name, caller_key) ||
           contains_key_decoded(value, caller_key);
}

void remove_credential_parameters(
    std::string& target, std::string_view caller_key)
{
    auto const query_start = target.find('?');
    if (query_start == std::string::npos)
    {
        return;
    }
    std::string_view rest{target};
    rest.remove_prefix(query_start + 1);
    std::string remaining_query;
    while (!rest.empty())
    {
        // Some servers accept a semicolon as a parameter separator.
        auto const end = std::min(rest.find_first_of("&;"), rest.size());
        auto const parameter = rest.substr(0, end);
        if (!parameter.empty() &&
            !is_credential_parameter(parameter, caller_key))
        {
            remaining_query += remaining_query.empty() ? '?' : '&';
            remaining_query += parameter;
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    target.resize(query_start);
    target += remaining_query;
}

} // namespace

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    int const done = EVP_Digest(
        data.data(),
        data.size(),
        digest.data(),
        &length,
        EVP_sha256(),
        nullptr);
    if (done != 1)
    {
        throw std::runtime_error("SHA-256 is not available");
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t{length} * 2);
    for (unsigned i = 0; i < length; ++i)
    {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xfU];
    }
    return text;
}

bool contains_key(std::string_view text, std::string_view caller_key)
{
    if (caller_key.empty())
    {
        return false;
    }
    if (caller_key.size() < min_substring_key_bytes)
    {
        return text == caller_key;
    }
    return text.find(caller_key) != std::string_view::npos;
}

void key_index::assign(config const& configuration)
{
    m_by_digest.clear();
    m_digest_by_id.clear();
    for (auto const& [id, key] : configuration.m_keys)
    {
        put(key);
    }
}

void key_index::put(key_config const& key)
{
    withdraw(key.m_id);
    m_by_digest[key.m_digest] = key;
    m_digest_by_id[key.m_id] = key.m_digest;
}

void key_index::withdraw(std::string const& key_id)
{
    auto const digest = m_digest_by_id.find(key_id);
    if (digest == m_digest_by_id.end())
    {
        return;
    }
    m_by_digest.erase(digest->second);
    m_digest_by_id.erase(digest);
}

key_config const* key_index::find(std::string_view caller_key) const
{
    std::string const digest = sha256_hex(caller_key);
    auto const found = m_by_digest.find(digest);
    if (found == m_by_digest.end())
    {
        return nullptr;
    }
    std::string const& stored = found->second.m_digest;
    bool const is_equal =
        stored.size() == digest.size() &&
        CRYPTO_memcmp(stored.data(), digest.data(), digest.size()) == 0;
    return is_equal ? &found->second : nullptr;
}

bool key_index::is_current(std::string const& key_id) const
{
    return m_digest_by_id.contains(key_id);
}

bool key_index::is_current(key_config const& key) const
{
    auto const found = m_by_digest.find(key.m_digest);
    return found != m_by_digest.end() && found->second == key;
}

std::variant<std::string, result_code>
extract_caller_key(http::fields const& fields)
{
    auto const bearers = fields.count(http::field::authorization);
    auto const api_keys = fields.count(api_key_field);
    if (bearers + api_keys > 1)
    {
        return result_code::duplicate_header;
    }
    std::string_view key;
    if (bearers == 1)
    {
        auto const value = to_view(fields[http::field::authorization]);
        auto const scheme = value.substr(0, bearer_prefix.size());
        if (!iequals(scheme, bearer_prefix))
        {
            return result_code::missing_key;
        }
        key = value.substr(bearer_prefix.size());
    }
    if (api_keys == 1)
    {
        key = to_view(fields[api_key_field]);
    }
    if (key.empty())
    {
        return result_code::missing_key;
    }
    return std::string{key};
}

void remove_credentials(
    http::fields& fields, std::string& target, std::string_view caller_key)
{
    auto const hop_by_hop = hop_by_hop_names(fields);
    for (auto field = fields.begin(); field != fields.end();)
    {
        std::string const name = normalize_name(to_view(field->name_string()));
        bool const is_removed =
            is_removed_name(name) ||
            std::ranges::find(hop_by_hop, name) != hop_by_hop.end() ||
            contains_key_decoded(to_view(field->name_string()), caller_key) ||
            contains_key_decoded(to_view(field->value()), caller_key);
        field = is_removed ? fields.erase(field) : std::next(field);
    }
    remove_credential_parameters(target, caller_key);
}

} // namespace briarhub
