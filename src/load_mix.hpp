#ifndef BRIARHUB_LOAD_MIX_HPP
#define BRIARHUB_LOAD_MIX_HPP

/// What briar-load sends: classes of requests and client accounts.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhub
{

/// A class of requests and its share of the load.
struct load_class
{
    std::string m_name;
    std::string m_method = "GET";
    /// `{n}` stands for a number that no other request of the run has,
    /// `{account}` for the account, `{month}` for 1 to 12.
    std::string m_path;
    double m_weight = 1.0;
    std::chrono::milliseconds m_latency_target{500};
    bool m_idempotent = true;
    bool m_archive = false;
    std::size_t m_body_bytes = 0;
    /// Accounts that send it; empty: all.
    std::vector<std::string> m_accounts;
};

struct load_account
{
    std::string m_name;
    std::string m_key;
    double m_weight = 1.0;
};

/// Why a mix or a list of accounts is refused.
struct load_error
{
    std::string m_message;
};

using load_classes = std::vector<load_class>;
using load_accounts = std::vector<load_account>;

/// The mix of a deployment, `kolamba` or `kairouan`; empty if unknown.
load_classes builtin_mix(std::string_view name);

/// Reads `{"classes":[{"name":...,"path":...}, ...]}`.
std::variant<load_classes, load_error> parse_mix(std::string_view text);

/// Reads `name=key:weight,...`; the weight may be left out.
std::variant<load_accounts, load_error> parse_accounts(std::string_view text);

bool is_open_to(load_class const& work, std::string_view account);

/// The path of one request.
std::string make_path(
    load_class const& work, std::string_view account, std::uint64_t number);

} // namespace briarhub

#endif
