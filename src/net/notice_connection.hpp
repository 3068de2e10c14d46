// One connection to the notice board, with one poll at a time. Events take effect as they arrive.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "codec/http.hpp"
#include "codec/notice_reader.hpp"
#include "net/connection.hpp"

namespace irismux {

/// Why a poll brought no answer, or no whole one.
enum class PollError {
    connect_failed,   ///< no connection could be begun
    connection_lost,  ///< it did not come up, or broke
    timeout,          ///< nothing came for too long, or the answer took too long
    not_http,
    unexpected_status,  ///< another HTTP status than 200
    unknown_length,     ///< the answer's end could not be told from a break
    incomplete_json,
    invalid_answer,  ///< NoticeReader::error()
    missing_revision,
    unreadable_event  ///< an event that is to be asked for once more
};
/// For logs, in snake_case.
[[nodiscard]] std::string_view to_string(PollError error);

/// Who is told what a poll brings. May start the next poll, or stop the connection, from within each call.
class PollHandler {
public:
    virtual ~PollHandler() = default;
    /// False: the event can't be read now. The poll fails.
    [[nodiscard]] virtual bool on_notice(const Notice& notice) = 0;
    /// The answer has come whole, and each of its events has taken effect.
    virtual void on_poll_response(std::int64_t revision) = 0;
    /// The connection is closed.
    virtual void on_poll_error(PollError error, std::string_view detail) = 0;
};

/// How much of an answer has been read.
struct PartialResponse {
    std::optional<http::Head> head;
    std::optional<http::BodyReader> body;
    bool body_ended = false;
    NoticeReader notices;
};

class NoticeConnection final : public Connection {
public:
    /// @param max_silence a poll fails if nothing arrives for so long.
    NoticeConnection(EventLoop& loop, PollHandler& handler, Duration max_silence);

    /// False: no connection could be begun. May throw Poco::Exception for an address that can't be read.
    [[nodiscard]] bool start(const std::string& address);
    /// Not before the poll before has been answered.
    void poll(const std::string& host, const std::string& target);
    /// Closes without telling the handler.
    void stop();

protected:
    void on_open() override { schedule_write(); }
    void on_data() override;
    void on_closed() override { fail(PollError::connection_lost); }

private:
    // Whether more can be read now.
    enum class Step { more, wait };
    // The work of one iteration of the loop.
    enum class Batch {
        none,
        running,
        cut_short  // by the time that it may take
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
    std::optional<PartialResponse> response_;  // none: no poll is under way
    TimePoint polled_at_, batch_began_at_;
    Batch batch_ = Batch::none;
    ScopedTimer response_timer_;
};

}  // namespace irismux
