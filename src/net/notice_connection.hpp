// A connection to the notice board that carries one poll at a time. Events take effect as they arrive.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "codec/http.hpp"
#include "codec/notice_reader.hpp"
#include "net/connection.hpp"

namespace irismux {

/// Why a poll got no response or an incomplete response.
enum class PollError {
    connect_failed,   ///< connecting could not be started
    connection_lost,  ///< the connection could not be established, or it broke
    timeout,          ///< no data arrived for too long, or the response took too long
    not_http,
    unexpected_status,  ///< an HTTP status other than 200
    unknown_length,     ///< the end of the response could not be distinguished from a broken connection
    incomplete_json,
    invalid_answer,  ///< the response can't be read; see NoticeReader::error()
    missing_revision,
    unreadable_event  ///< an event could not be read and is to be requested once more
};
/// Returns the name of the error for logs, in snake_case.
[[nodiscard]] std::string_view to_string(PollError error);

/// Receives the results of polls. May start the next poll or stop the connection from within each call.
class PollHandler {
public:
    virtual ~PollHandler() = default;
    /// @return false if the event can't be read now, which fails the poll.
    [[nodiscard]] virtual bool on_notice(const Notice& notice) = 0;
    /// Called when the complete response has arrived and each of its events has taken effect.
    virtual void on_poll_response(std::int64_t revision) = 0;
    /// Called when the poll has failed and the connection is closed.
    virtual void on_poll_error(PollError error, std::string_view detail) = 0;
};

/// The state of a response that is being read.
struct PartialResponse {
    std::optional<http::Head> head;
    std::optional<http::BodyReader> body;
    bool body_ended = false;
    NoticeReader notices;
};

class NoticeConnection final : public Connection {
public:
    /// @param max_silence a poll fails if no data arrives for this time.
    NoticeConnection(EventLoop& loop, PollHandler& handler, Duration max_silence);

    /// @return false if connecting could not be started. May throw Poco::Exception for an address that can't
    /// be parsed.
    [[nodiscard]] bool start(const std::string& address);
    /// Starts a poll. Must not be called before the previous poll has ended.
    void poll(const std::string& host, const std::string& target);
    /// Closes the connection without calling the handler.
    void stop();

protected:
    void on_open() override { schedule_write(); }
    void on_data() override;
    void on_closed() override { fail(PollError::connection_lost); }

private:
    // Whether reading can continue now or has to wait for more data.
    enum class Step { more, wait };
    // The state of the work in one iteration of the loop.
    enum class Batch {
        none,
        running,
        cut_short  // the batch exceeded the time limit of an iteration
    };

    void restart_response_timer();
    void read_response();
    void begin_batch();
    void end_batch();
    Step read_step();
    Step read_head();
    Step read_body();
    Step finish();
    Step fail(PollError error, std::string_view detail = {});

    PollHandler& handler_;
    Duration max_silence_;
    std::optional<PartialResponse> response_;  // std::nullopt if no poll is in progress
    TimePoint polled_at_, batch_began_at_;
    Batch batch_ = Batch::none;
    ScopedTimer response_timer_;
};

}  // namespace irismux
