#ifndef BRIARHUB_TABLE_PRINTER_HPP
#define BRIARHUB_TABLE_PRINTER_HPP

/// Text tables from JSON answers.

#include <boost/json/value.hpp>

#include <string>

namespace briarhub
{

/// Objects in a list become rows with a header line. The first list in an
/// object is printed as a table after the object's scalar fields.
std::string format_table(boost::json::value const& value);

} // namespace briarhub

#endif
