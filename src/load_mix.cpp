#include "load_mix.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace briarhub
{
namespace
{

using std::chrono::milliseconds;

/// The classes of examples/kairouan.json.
load_classes kairouan_mix()
{
    load_class balance;
    balance.m_name = "balance-lookup";
    balance.m_path = "/balances/{n}";
    balance.m_weight = 70;
    balance.m_latency_target = milliseconds{300};

    load_class repayment;
    repayment.m_name = "repayment";
    repayment.m_method = "POST";
    repayment.m_path = "/repayments";
    repayment.m_weight = 20;
    repayment.m_latency_target = milliseconds{800};
    repayment.m_idempotent = false;
    repayment.m_body_bytes = 200;

    load_class waiver = repayment;
    waiver.m_name = "fee-waiver";
    waiver.m_path = "/fee-waivers";
    waiver.m_weight = 5;
    waiver.m_accounts = {"agents-kairouan", "agents-sousse"};

    load_class archive;
    archive.m_name = "statement-archive";
    archive.m_path = "/statements/archive/{account}/{month}";
    archive.m_weight = 5;
    archive.m_latency_target = milliseconds{3000};
    archive.m_archive = true;
    return {balance, repayment, waiver, archive};
}

/// The classes of examples/kolamba.json.
load_classes kolamba_mix()
{
    load_class preview;
    preview.m_name = "preview";
    preview.m_path = "/previews/{n}";
    preview.m_weight = 70;
    preview.m_latency_target = milliseconds{250};

    load_class order;
    order.m_name = "engraving-order";
    order.m_method = "POST";
    order.m_path = "/engraving-orders";
    order.m_weight = 25;
    order.m_latency_target = milliseconds{600};
    order.m_idempotent = false;
    order.m_body_bytes = 400;

    load_class archive;
    archive.m_name = "proof-archive";
    archive.m_path = "/proof-sheets/{account}/{month}";
    archive.m_weight = 5;
    archive.m_latency_target = milliseconds{3000};
    archive.m_archive = true;
    return {preview, order, archive};
}

/// Reads one field of a class. Throws for a wrong type or an unknown name.
void read_field(
    load_class& work, std::string_view name, boost::json::value const& value)
{
    if (name == "name")
    {
        work.m_name = value.as_string().c_str();
    }
    else if (name == "method")
    {
        work.m_method = value.as_string().c_str();
    }
    else if (name == "path")
    {
        work.m_path = value.as_string().c_str();
    }
    else if (name == "weight")
    {
        work.m_weight = value.to_number<double>();
    }
    else if (name == "latency_target_ms")
    {
        work.m_latency_target = milliseconds{value.to_number<int>()};
    }
    else if (name == "idempotent")
    {
        work.m_idempotent = value.as_bool();
    }
    else if (name == "archive")
    {
        work.m_archive = value.as_bool();
    }
    else if (name == "body_bytes")
    {
        work.m_body_bytes = value.to_number<std::size_t>();
    }
    else if (name == "accounts")
    {
        work.m_accounts =
            boost::json::value_to<std::vector<std::string>>(value);
    }
    else
    {
        throw std::invalid_argument("unknown field " + std::string{name});
    }
}

load_class read_class(boost::json::object const& object)
{
    load_class work;
    for (auto const& [name, value] : object)
    {
        read_field(work, name, value);
    }
    if (work.m_name.empty() || !work.m_path.starts_with('/') ||
        work.m_weight <= 0)
    {
        throw std::invalid_argument(
            "a class needs a name, a path and a positive weight");
    }
    return work;
}

} // namespace

load_classes builtin_mix(std::string_view name)
{
    if (name == "kairouan")
    {
        return kairouan_mix();
    }
    if (name == "kolamba")
    {
        return kolamba_mix();
    }
    return {};
}

std::variant<load_classes, load_error> parse_mix(std::string_view text)
{
    try
    {
        auto const root = boost::json::parse({text.data(), text.size()});
        load_classes classes;
        for (auto const& item : root.as_object().at("classes").as_array())
        {
            classes.push_back(read_class(item.as_object()));
        }
        if (classes.empty())
        {
            return load_error{"the mix has no classes"};
        }
        return classes;
    }
    catch (std::exception const& error)
    {
        return load_error{error.what()};
    }
}

std::variant<load_accounts, load_error> parse_accounts(std::string_view text)
{
    std::vector<std::string> items;
    boost::algorithm::split(items, text, boost::algorithm::is_any_of(","));
    load_accounts accounts;
    for (std::string const& item : items)
    {
        auto const equals = item.find('=');
        if (equals == std::string::npos || equals == 0)
        {
            return load_error{fmt::format("'{}' is not name=key:weight", item)};
        }
        auto const colon = item.rfind(':');
        bool const weighted = colon != std::string::npos && colon > equals;
        load_account account;
        account.m_name = item.substr(0, equals);
        account.m_key = item.substr(
            equals + 1, weighted ? colon - equals - 1 : std::string::npos);
        if (weighted)
        {
            account.m_weight = std::strtod(item.c_str() + colon + 1, nullptr);
        }
        if (account.m_weight <= 0)
        {
            return load_error{
                fmt::format("the weight of '{}' must be positive", item)};
        }
        accounts.push_back(std::move(account));
    }
    return accounts;
}

bool is_open_to(load_class const& work, std::string_view account)
{
    return work.m_accounts.empty() ||
           std::ranges::find(work.m_accounts, account) != work.m_accounts.end();
}

std::string make_path(
    load_class const& work, std::string_view account, std::uint64_t number)
{
    constexpr std::uint64_t months = 12;
    std::string path = work.m_path;
    using boost::algorithm::replace_all;
    replace_all(path, "{n}", std::to_string(number));
    replace_all(path, "{account}", std::string{account});
    replace_all(path, "{month}", std::to_string(number % months + 1));
    return path;
}

} // namespace briarhub
