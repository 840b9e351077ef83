#ifndef BRIARHUB_PLATFORM_CLIENT_HPP
#define BRIARHUB_PLATFORM_CLIENT_HPP

/// Client of the platform's API: append to and read from its log streams, and
/// list the VMs. Uses HTTP/1.1 and JSON; no other module knows this wire
/// format.

#include "result_code.hpp"
#include "types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhub
{

/// A failed operation. With `log_unavailable` and `log_rate_limited` it had no
/// effect; with `log_append_unknown` an append may have taken effect.
struct platform_error
{
    result_code m_code = result_code::log_unavailable;
    std::string m_message;
};

template <class Value>
using platform_result = std::variant<Value, platform_error>;

/// One page of records of a log stream.
struct log_read_result
{
    log_offset m_first = 0; ///< oldest retained offset
    log_offset m_next = 0;  ///< offset of the next append
    std::vector<log_record> m_records;
};

/// Not thread-safe: use it only on the thread that runs `io`. Operations that
/// outlive the client end with an error.
class platform_client
{
public:
    /// `timeout` applies to each exchange; a long poll adds its `wait` to it.
    /// `vm`, if not empty, is sent as the header Briarhub-Vm.
    platform_client(
        boost::asio::io_context& io,
        endpoint_address address,
        std::chrono::milliseconds timeout,
        vm_id vm = {});
    ~platform_client();
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    boost::asio::awaitable<platform_result<log_offset>>
    append(std::string stream, std::string record);

    /// Reads up to `limit` records at or after `from`. If there are none, a
    /// `wait` above zero makes this a long poll.
    boost::asio::awaitable<platform_result<log_read_result>> read(
        std::string stream,
        log_offset from,
        std::size_t limit,
        std::chrono::milliseconds wait);

    boost::asio::awaitable<platform_result<vm_list>> list_vms();

    /// Ends operations in progress with an error. Later operations fail.
    void close();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
