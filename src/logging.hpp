#ifndef BRIARHUB_LOGGING_HPP
#define BRIARHUB_LOGGING_HPP

/// Set-up of the asynchronous logger. Log lines report state changes and never
/// contain a caller's key.

#include "settings.hpp"

namespace briarhub
{

/// Installs a default logger that writes to standard error from its own thread.
/// A full queue drops its oldest lines, so that logging never blocks.
void start_logging(log_format format, std::string const& level);

/// Flushes queued lines and stops the writer thread.
void stop_logging();

} // namespace briarhub

#endif
