#ifndef BRIARHUB_REQUEST_HPP
#define BRIARHUB_REQUEST_HPP

/// The state of one request, shared by the filter chain, the attempts at
/// upstreams and the caller session, and the results that it can have.

#include "buffer_budget.hpp"
#include "claim_table.hpp"
#include "config.hpp"
#include "result_code.hpp"
#include "types.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace briarhub
{

/// Tracks whether the caller is still connected and whether the process ends
/// its request early. One handler can be set to run when either happens.
class disconnect_monitor
{
public:
    [[nodiscard]] bool is_disconnected() const
    {
        return m_is_disconnected;
    }

    /// True if the request has to end now, with a response to the caller.
    [[nodiscard]] bool is_interrupted() const
    {
        return m_is_interrupted;
    }

    /// Records the disconnect and runs the handler, if any, once.
    void notify_disconnect()
    {
        m_is_disconnected = true;
        run_handler();
    }

    /// Records the interruption and runs the handler, if any, once.
    void interrupt()
    {
        m_is_interrupted = true;
        run_handler();
    }

    void set_handler(std::function<void()> on_end)
    {
        m_on_end = std::move(on_end);
    }

private:
    void run_handler()
    {
        if (m_on_end)
        {
            std::exchange(m_on_end, nullptr)();
        }
    }

    bool m_is_disconnected = false;
    bool m_is_interrupted = false;
    std::function<void()> m_on_end;
};

/// Sets a handler of disconnects and interruptions for the lifetime of this
/// object.
class scoped_disconnect_handler
{
public:
    scoped_disconnect_handler(
        disconnect_monitor& caller, std::function<void()> on_end)
        : m_caller(caller)
    {
        m_caller.set_handler(std::move(on_end));
    }

    ~scoped_disconnect_handler()
    {
        m_caller.set_handler(nullptr);
    }

    scoped_disconnect_handler(scoped_disconnect_handler const&) = delete;
    scoped_disconnect_handler&
    operator=(scoped_disconnect_handler const&) = delete;

private:
    disconnect_monitor& m_caller;
};

/// Input, metadata and filter results of one request.
struct request_context
{
    request_ticket m_ticket = 0;
    std::string m_request_id; ///< unique in the fleet
    boost::beast::http::request_header<> m_head;
    std::string m_body;
    std::size_t m_head_bytes = 0; ///< length of the head as received
    buffer_reservation m_buffer;  ///< space of head and body
    time_point m_received{};      ///< when the request had been read completely
    disconnect_monitor* m_caller = nullptr;

    // Set by the filters. Copies, since the configuration may change while the
    // request runs.
    std::string m_caller_key;
    key_config m_key;
    work_class_config m_work_class;
    time_point m_deadline{};
    /// Target without credentials, as sent to the upstream.
    std::string m_target;
    /// SHA-256 of method, target and body.
    std::string m_request_digest;
    /// SHA-256 of account, method, target and body.
    std::string m_suspect_digest;
    std::string m_idempotency_key;
    /// The claim that this VM won. An outcome has to be recorded for it, or it
    /// has to be released.
    std::optional<claim_id> m_claim;

    /// Time spent in attempts at upstreams.
    duration m_upstream_time{};
};

/// The request is refused. The code tells whether an upstream may have run it.
struct refusal
{
    result_code m_code = result_code::internal_error;
    std::optional<duration> m_retry_after;
};

/// A complete response, to be written to the caller.
struct buffered_response
{
    boost::beast::http::response<boost::beast::http::string_body> m_response;
};

/// The complete response has already been streamed to the caller.
struct streamed_response
{
};

/// The caller disconnected or its streamed response cannot be completed: its
/// connection has to be closed.
struct aborted_response
{
};

using request_result = std::
    variant<buffered_response, refusal, streamed_response, aborted_response>;

} // namespace briarhub

#endif
