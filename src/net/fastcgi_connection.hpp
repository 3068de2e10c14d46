// The connection of one client: reads FastCGI requests and writes responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "codec/client_protocol.hpp"
#include "codec/fastcgi.hpp"
#include "net/connection.hpp"
#include "net/request_handler.hpp"
#include "net/slow_reader_detector.hpp"

namespace irismux {

struct FastCgiServerLimits {
    std::size_t connections = 0;  ///< maximum number of simultaneous connections
    /// Limit of the memory for requests without a response and for unparsed input, on all connections
    /// together. The same limit applies separately to responses that clients have not read.
    std::size_t request_bytes = 0;
    /// Time for which accepting pauses when no descriptor is left, and maximum time for which a closing
    /// connection lingers.
    Duration accept_pause;
    /// While memory is short, a client that would need longer than this to read its responses is closed.
    Duration max_read_time;
};

class FastCgiConnection;

/// The state that the connections of a server share. Owned by the server; must outlive the connections.
struct FastCgiContext {
    EventLoop& event_loop;
    RequestHandler& request_handler;
    ServedKinds kinds;
    FastCgiServerLimits limits;
    /// A connection calls this function last, after it has closed.
    std::function<void(std::uint64_t connection)> on_connection_closed;
    /// Refuses incomplete requests of other connections until `bytes` more fit into the memory for requests.
    /// @return false if they do not fit all the same.
    std::function<bool(const FastCgiConnection& connection, std::size_t bytes)> make_room;
    /// Memory for requests without a response and for unparsed input, on all connections.
    std::size_t request_bytes = 0;
    std::size_t unsent_bytes = 0;      ///< responses that clients have not read, on all connections
    std::size_t connection_count = 0;  ///< connections that are not closed
};

class FastCgiConnection final : public Connection {
public:
    /// @param number identifies the connection; never reused.
    FastCgiConnection(FastCgiContext& context, std::uint64_t number, const Poco::Net::StreamSocket& socket);

    void start();

    /// Number of bytes of responses that wait for room in the socket.
    [[nodiscard]] std::size_t unsent_response_bytes() const { return output_.size(); }
    [[nodiscard]] PendingOutput pending_output() const;
    /// Writes as much output as the socket takes now, without waiting for the event loop.
    void flush();
    /// Whether the connection may be closed for a new one: no output is pending, and each open request is
    /// incomplete. If the client has ever sent a complete request, an incomplete one must also have been so
    /// for a while. Unread input is not considered.
    [[nodiscard]] bool evictable(TimePoint now) const;
    /// Whether a request has been received in part, or there is unread input.
    [[nodiscard]] bool has_incomplete_request() const;
    /// The evictable connection with the lowest rank is closed first. Connections that never sent a complete
    /// request rank below all other connections; within each of these two groups, the one that has been idle,
    /// or has had an incomplete request, for the longest time ranks lowest.
    [[nodiscard]] std::pair<bool, TimePoint> eviction_rank() const;
    /// Since when the connection has had an incomplete request, or the first part of one. std::nullopt if it
    /// has none.
    [[nodiscard]] std::optional<TimePoint> incomplete_since() const;
    /// Whether the incomplete requests may be refused to make room for others.
    [[nodiscard]] bool may_be_refused_for_others(TimePoint now) const;
    /// Memory for the requests without a response and the unparsed input of this connection.
    [[nodiscard]] std::size_t request_bytes() const { return request_bytes_ + input_bytes_; }
    /// Refuses the incomplete requests and frees their memory. The input that is still to arrive for them is
    /// skipped; the other requests of the connection are not affected.
    void refuse_incomplete(client_protocol::RequestError error);

    /// Refuses requests that have been incomplete for too long, and closes the connection if it has been idle
    /// for too long.
    void check_timeouts(TimePoint now);
    /// Writes the response to a request. Does nothing if the request already has a response or was aborted,
    /// even if its FastCGI id is in use again.
    void write_response(const ClientStream& stream, std::string_view head, std::string_view body);
    /// Abandons the open requests, writes pending output, and discards input until the client closes too.
    void close_gracefully();
    /// Closes the connection at once. Pending responses are lost.
    void close_now();

protected:
    void on_data() override;
    void on_write_ready() override;
    void on_closed() override;

private:
    // Maximum size of the responses that the system buffers for a slow client. Further responses stay in the
    // output buffer, where their size is counted.
    static constexpr int max_send_buffer_bytes = 65'536;

    enum class RequestState {
        receiving_parameters,
        receiving_body,
        dispatched  ///< the request has been received completely
    };
    struct IncomingRequest {
        RequestState state = RequestState::receiving_parameters;
        std::uint64_t sequence = 0;  // position among all requests of the connection
        bool keep_connection = true;
        std::string parameters, body;
        // Number of bytes that count towards the memory limit for requests until the request has a response.
        std::size_t buffered_bytes = 0;
        TimePoint begun_at;
    };
    using OpenRequests = std::map<std::uint16_t, IncomingRequest>;  // keyed by FastCGI request id

    // How input is handled. After the mode has become `discarding`, it never changes again.
    enum class InputMode {
        parsing,
        paused,  // parsing waits until the client has read its responses
        // The input can't be split into records any more. It is read only to detect the end of the
        // connection.
        discarding
    };
    enum class Lifecycle {
        serving,
        closing,   // the connection closes as soon as every open request has a response
        abandoned  // the open requests have been reported to on_client_closed()
    };

    void on_record(const fastcgi::Record& record);
    void on_begin_request(const fastcgi::Record& record);
    void on_abort_request(std::uint16_t request_id);
    void on_parameters(const fastcgi::Record& record, IncomingRequest& request);
    void on_body(const fastcgi::Record& record, IncomingRequest& request);
    void on_get_values(std::string_view requested);
    void buffer_content(std::uint16_t request_id, IncomingRequest& request, std::string& destination,
                        std::string_view content);
    void dispatch(std::uint16_t request_id, IncomingRequest& request);
    void abandon_input();
    void admit(std::uint16_t request_id, std::uint64_t sequence, ClientRequest client_request);

    void respond(std::uint16_t request_id, std::string_view head, std::string_view body);
    void refuse(std::uint16_t request_id, client_protocol::RequestError error,
                const ClientRequestId& id = {});
    void parse_input();
    void check_incomplete_record();
    void refuse_incomplete_before(TimePoint due, client_protocol::RequestError error);
    void skip_unwanted_input();
    [[nodiscard]] bool is_unwanted(const fastcgi::RecordHeader& header) const;
    [[nodiscard]] bool fits_into_memory(std::size_t bytes);
    void count_memory();
    [[nodiscard]] std::size_t share_of(std::size_t limit, std::size_t used, std::size_t most) const;
    [[nodiscard]] std::size_t max_unread_bytes() const;
    void refuse_and_discard_input(std::uint16_t request_id, client_protocol::RequestError error);
    void end_request(std::uint16_t request_id, fastcgi::ProtocolStatus status, bool keep_connection);
    void erase_request(OpenRequests::iterator request);
    void abandon_requests();

    void write_output();
    void pause_if_responses_pile_up();
    void scan_paused_input();
    void begin_closing();
    void close_when_idle();
    void close_for_protocol_error(std::string_view reason);

    FastCgiContext& context_;
    std::uint64_t number_;
    InputMode input_mode_ = InputMode::parsing;
    Lifecycle lifecycle_ = Lifecycle::serving;
    OpenRequests open_requests_;
    std::uint64_t begun_requests_ = 0;
    bool has_dispatched_ = false;    // whether a complete request has been received
    TimePoint idle_since_;           // time at which the last open request ended or the connection began
    std::size_t request_bytes_ = 0;  // size of the open requests
    std::size_t input_bytes_ = 0;    // counted memory of the input buffer
    std::size_t unsent_bytes_ = 0;   // counted responses that the client has not read
    std::size_t bytes_to_skip_ = 0;  // rest of a record that nothing waits for
    std::size_t scanned_bytes_ = 0;  // number of bytes of the paused input that have been scanned
    // Since when the socket has not taken all of the output, as in PendingOutput.
    std::optional<WriteProgress> blocked_from_;
    TimePoint blocked_since_;
};

}  // namespace irismux
