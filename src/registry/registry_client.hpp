// Runs a Watch against a registry: sends the requests of the Watch as etcd requests, and passes the parsed
// replies to the Watch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.hpp"
#include "registry/etcd_codec.hpp"
#include "registry/registry_connection.hpp"
#include "registry/settings.hpp"
#include "registry/watch.hpp"

namespace irismux::registry {

class RegistryClient final : private WatchTransport, private ReplyHandler {
public:
    /// The loop and the observer must outlive the client.
    RegistryClient(EventLoop& loop, WatchObserver& observer, Settings settings, std::uint64_t seed,
                   RecordKind kind = RecordKind::endpoints);

    void start() { watch_.start(event_loop_.now()); }
    /// Restores a stored view, see Watch::start_from().
    void start_from(const ClusterId& cluster, Revision at, const std::vector<Record>& records,
                    TimePoint as_of) {
        watch_.start_from(event_loop_.now(), cluster, at, records, as_of);
    }
    const Watch& watch() const { return watch_; }
    const std::string& prefix() const { return settings_.prefix; }

private:
    enum class Operation { none, read_page, check_revision, watch };
    struct PendingRequest {
        Operation operation = Operation::none;
        MemberIndex member;
        std::optional<RecordKey> after;
        Revision at;
    };

    // Functions of WatchTransport:
    void read_page(MemberIndex member, const std::optional<RecordKey>& after, Revision at) override;
    void check_revision(MemberIndex member, Revision at) override;
    void open_watch(MemberIndex member, Revision from) override;
    void close() override;
    void schedule_wake(TimePoint at) override;

    // Functions of ReplyHandler:
    void on_reply(int status, const std::string& body) override;
    void on_stream_message(std::string_view message) override;
    void on_message_too_long() override;
    void on_reply_too_long() override;
    void on_request_failed(const RequestFailure& failure) override;

    void send(PendingRequest request);
    etcd::Request encode(const PendingRequest& request) const;
    void on_watch_refused(const std::string& body);
    void on_range(const etcd::Range& range, std::size_t reply_bytes);
    void on_error(const etcd::Error& error);

    EventLoop& event_loop_;
    Settings settings_;
    Watch watch_;
    PendingRequest pending_request_;
    std::size_t page_size_;  // records per page, reduced if a reply is too long
    RegistryConnection connection_;
    ScopedTimer wake_timer_;
};

}  // namespace irismux::registry
