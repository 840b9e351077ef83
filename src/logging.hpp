#ifndef BRIARHUB_LOGGING_HPP
#define BRIARHUB_LOGGING_HPP

/// Set-up of the asynchronous logger. Log lines report changes of state and
/// never hold a caller's key.

#include "settings.hpp"

namespace briarhub
{

/// Installs the default logger on standard error, with a writer thread of its
/// own. A full queue drops the oldest lines, so that logging never blocks.
void start_logging(log_format format, std::string const& level);

/// Writes what is queued and ends the writer thread.
void stop_logging();

} // namespace briarhub

#endif
