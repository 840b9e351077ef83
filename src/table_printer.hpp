#ifndef BRIARHUB_TABLE_PRINTER_HPP
#define BRIARHUB_TABLE_PRINTER_HPP

/// Formats JSON responses of the admin API as text tables for the terminal.

#include <boost/json/value.hpp>

#include <string>

namespace briarhub
{

/// Formats a list of objects as rows below a header line. For an object, prints
/// its scalar fields first and then each of its lists as a table.
std::string format_table(boost::json::value const& value);

} // namespace briarhub

#endif
