#ifndef BRIARHUB_PLATFORM_CLIENT_HPP
#define BRIARHUB_PLATFORM_CLIENT_HPP

/// The platform's log and VM list over HTTP/1.1 and JSON. The only module that
/// knows the platform's wire format.

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

/// `log_unavailable` and `log_rate_limited`: the operation had no effect.
/// `log_append_unknown`: an append may have taken effect.
struct platform_error
{
    result_code m_code = result_code::log_unavailable;
    std::string m_message;
};

template <class Value>
using platform_result = std::variant<Value, platform_error>;

struct log_read_result
{
    log_offset m_first = 0; ///< oldest offset kept
    log_offset m_next = 0;  ///< offset that the next append gets
    std::vector<log_record> m_records;
};

/// Operations may outlive the client; they then end with an error. Used on the
/// one thread that runs `io`.
class platform_client
{
public:
    /// `timeout` limits each exchange, for long polls in addition to the wait.
    /// `vm` names the sender in the header Briarhub-Vm, if given.
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

    /// `wait` above zero waits for a record at or after `from`.
    boost::asio::awaitable<platform_result<log_read_result>> read(
        std::string stream,
        log_offset from,
        std::size_t limit,
        std::chrono::milliseconds wait);

    boost::asio::awaitable<platform_result<vm_list>> list_vms();

    /// Ends the operations in progress with an error and refuses new ones.
    void close();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
