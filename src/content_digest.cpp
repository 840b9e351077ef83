#include "content_digest.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <fmt/format.h>
#include <openssl/evp.h>

#include <new>
#include <utility>

namespace briarhub
{
namespace
{

EVP_MD_CTX* make_context()
{
    EVP_MD_CTX* context = EVP_MD_CTX_new();
    if (context == nullptr)
    {
        throw std::bad_alloc{};
    }
    return context;
}

} // namespace

sha256_hasher::sha256_hasher() : m_context(make_context())
{
    EVP_DigestInit_ex(m_context, EVP_sha256(), nullptr);
}

sha256_hasher::~sha256_hasher()
{
    EVP_MD_CTX_free(m_context);
}

sha256_hasher::sha256_hasher(sha256_hasher const& other)
    : m_context(make_context())
{
    EVP_MD_CTX_copy_ex(m_context, other.m_context);
}

sha256_hasher::sha256_hasher(sha256_hasher&& other) noexcept
    : m_context(std::exchange(other.m_context, nullptr))
{
}

sha256_hasher& sha256_hasher::operator=(sha256_hasher other) noexcept
{
    std::swap(m_context, other.m_context);
    return *this;
}

void sha256_hasher::update(std::string_view data)
{
    EVP_DigestUpdate(m_context, data.data(), data.size());
}

sha256_hasher::digest sha256_hasher::value() const
{
    // Finalizes a copy, so that more data can be added.
    sha256_hasher const copy{*this};
    digest result{};
    EVP_DigestFinal_ex(copy.m_context, result.data(), nullptr);
    return result;
}

std::string sha256_hasher::hex() const
{
    std::string text;
    for (unsigned const byte : value())
    {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

std::string sha256_hasher::base64() const
{
    constexpr std::size_t encoded_size = 44;
    digest const bytes = value();
    // EVP_EncodeBlock appends a terminating zero.
    std::string text(encoded_size + 1, '\0');
    EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        bytes.data(),
        static_cast<int>(bytes.size()));
    text.resize(encoded_size);
    return text;
}

std::string sha256_base64(std::string_view data)
{
    sha256_hasher hasher;
    hasher.update(data);
    return hasher.base64();
}

std::optional<std::string> parse_sha256_digest(std::string_view field)
{
    constexpr std::string_view prefix = "sha-256=";
    while (!field.empty())
    {
        auto const end = field.find(',');
        std::string item{field.substr(0, end)};
        boost::algorithm::trim(item);
        if (boost::algorithm::istarts_with(item, prefix))
        {
            return item.substr(prefix.size());
        }
        field = end == std::string_view::npos ? "" : field.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace briarhub
