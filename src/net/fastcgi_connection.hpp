// One client's connection: FastCGI requests in, responses out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "codec/client_protocol.hpp"
#include "codec/fastcgi.hpp"
#include "net/connection.hpp"
#include "net/request_handler.hpp"

namespace irismux {

struct FastCgiServerLimits {
    std::size_t connections = 0;  ///< at once
    /// Of requests without a response, and as much again of responses that clients have not read, both on all
    /// connections together.
    std::size_t request_bytes = 0;
    Duration accept_pause;  ///< once descriptors have run out; also how long a closing connection lingers
};

/// What the connections of a server share. Owned by the server; must outlive them.
struct FastCgiContext {
    EventLoop& event_loop;
    RequestHandler& request_handler;
    ServedKinds kinds;
    FastCgiServerLimits limits;
    /// Called last, once a connection has closed.
    std::function<void(std::uint64_t connection)> on_connection_closed;
    std::size_t request_bytes = 0;  ///< of requests without a response, on all connections
};

class FastCgiConnection final : public Connection {
public:
    /// @param number the connection's, never given twice.
    FastCgiConnection(FastCgiContext& context, std::uint64_t number, const Poco::Net::StreamSocket& socket);

    void start();

    /// Bytes of responses that wait for room in the socket.
    [[nodiscard]] std::size_t unsent_response_bytes() const { return output_.size(); }
    /// Whether nothing is open or waits to be written. Input that has not been read does not count.
    [[nodiscard]] bool idle() const;
    /// Whether part of a request has come, or input that has not been read.
    [[nodiscard]] bool has_incomplete_request() const;
    /// Of two idle connections the one of lower rank is closed first: those that never sent a request, then
    /// those that have been idle longest.
    [[nodiscard]] std::pair<bool, TimePoint> eviction_rank() const { return {has_dispatched_, idle_since_}; }

    /// Answers requests that have been incomplete for too long and closes the connection if it is idle for
    /// too long.
    void check_timeouts(TimePoint now);
    /// Does nothing if the request has been answered or aborted, also if its FastCGI id is in use again.
    void write_response(const ClientStream& stream, std::string_view head, std::string_view body);
    /// Abandons the open requests, writes what waits, and reads until the client closes too.
    void close_gracefully();
    /// Closes at once; responses that wait are lost.
    void close_now();

protected:
    void on_data() override;
    void on_write_ready() override;
    void on_closed() override;

private:
    enum class RequestState {
        receiving_parameters,
        receiving_body,
        dispatched  ///< has come whole
    };
    struct IncomingRequest {
        RequestState state = RequestState::receiving_parameters;
        std::uint64_t sequence = 0;  // among all requests of the connection
        bool keep_connection = true;
        std::string parameters, body;
        std::size_t buffered_bytes = 0;  // counted against the memory for requests until it has a response
        TimePoint begun_at;
    };
    using OpenRequests = std::map<std::uint16_t, IncomingRequest>;  // by FastCGI request id

    // What happens to input. Once discarding it stays so.
    enum class InputMode {
        parsing,
        paused,     // the client has to read its responses first
        discarding  // input can't be split into records any more; it is read to notice the end
    };
    enum class Lifecycle {
        serving,
        closing,   // closes once every open request has its response
        abandoned  // the open requests have been given to on_client_closed()
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
    void admit(std::uint16_t request_id, std::uint64_t sequence, ClientRequest client_request);

    void respond(std::uint16_t request_id, std::string_view head, std::string_view body);
    void refuse(std::uint16_t request_id, client_protocol::RequestError error,
                const ClientRequestId& id = {});
    void refuse_and_discard_input(std::uint16_t request_id, client_protocol::RequestError error);
    void end_request(std::uint16_t request_id, fastcgi::ProtocolStatus status, bool keep_connection);
    void erase_request(OpenRequests::iterator request);
    void abandon_requests();

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
    bool has_dispatched_ = false;    // a whole request has come
    TimePoint idle_since_;           // since when no request has been open
    std::size_t request_bytes_ = 0;  // of its open requests
    std::size_t scanned_bytes_ = 0;  // of the paused input
};

}  // namespace irismux
