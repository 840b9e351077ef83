#include "table_printer.hpp"

#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <vector>

namespace briarhub
{
namespace
{

namespace json = boost::json;

using row = std::vector<std::string>;

std::string cell_text(json::value const& value)
{
    if (auto const* text = value.if_string())
    {
        return std::string{text->data(), text->size()};
    }
    if (auto const* number = value.if_double())
    {
        return fmt::format("{:.4g}", *number);
    }
    return json::serialize(value);
}

/// Returns the field names of all objects in order of first appearance.
row column_names(json::array const& list)
{
    row names;
    for (auto const& item : list)
    {
        auto const* const fields = item.if_object();
        if (fields == nullptr)
        {
            continue;
        }
        for (auto const& field : *fields)
        {
            std::string name{field.key()};
            if (std::ranges::find(names, name) == names.end())
            {
                names.push_back(std::move(name));
            }
        }
    }
    return names;
}

row make_row(json::value const& item, row const& names)
{
    row cells;
    for (auto const& name : names)
    {
        auto const* const value = item.as_object().if_contains(name);
        cells.push_back(value != nullptr ? cell_text(*value) : std::string{});
    }
    return cells;
}

std::vector<std::size_t> column_widths(std::vector<row> const& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (auto const& cells : rows)
    {
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    return widths;
}

std::string format_rows(std::vector<row> const& rows)
{
    auto const widths = column_widths(rows);
    std::string text;
    for (auto const& cells : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            line += fmt::format("{:<{}}  ", cells[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string format_list(json::array const& list)
{
    row const names = column_names(list);
    if (names.empty())
    {
        return "none\n";
    }
    std::vector<row> rows{names};
    for (auto const& item : list)
    {
        if (item.is_object())
        {
            rows.push_back(make_row(item, names));
        }
    }
    return format_rows(rows);
}

std::string format_object(json::object const& fields)
{
    std::string text;
    std::string tables;
    for (auto const& field : fields)
    {
        if (auto const* list = field.value().if_array())
        {
            tables += format_list(*list);
            continue;
        }
        fmt::format_to(
            std::back_inserter(text),
            "{}: {}\n",
            std::string_view{field.key().data(), field.key().size()},
            cell_text(field.value()));
    }
    return text + tables;
}

} // namespace

std::string format_table(json::value const& value)
{
    if (auto const* list = value.if_array())
    {
        return format_list(*list);
    }
    if (auto const* fields = value.if_object())
    {
        return format_object(*fields);
    }
    return cell_text(value) + '\n';
}

} // namespace briarhub
