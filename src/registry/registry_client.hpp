// Carries what a Watch asks to a registry's members and back, on the loop. Decides nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "registry/etcd_codec.hpp"
#include "registry/registry_connection.hpp"
#include "registry/settings.hpp"
#include "registry/watch.hpp"

namespace irismux::registry {

class RegistryClient final : private WatchTransport, private ReplyHandler {
public:
    RegistryClient(EventLoop& loop, WatchObserver& knows, Settings settings, std::uint64_t seed,
                   RecordKind sort = RecordKind::endpoints);
    ~RegistryClient() override;

    void start() { watch_.start(event_loop_.now()); }
    // As Watch::start_from; before start().
    void start_from(const ClusterId& cluster, Revision at, const std::vector<Record>& records,
                    TimePoint as_of) {
        watch_.start_from(event_loop_.now(), cluster, at, records, as_of);
    }
    const Watch& watch() const { return watch_; }
    const std::string& prefix() const { return settings_.prefix; }

private:
    enum class Kind { none, read, check, follow };
    struct PendingRequest {
        Kind kind = Kind::none;
        MemberIndex member;
        std::optional<RecordKey> after;
        Revision at;
    };

    void read_page(MemberIndex, const std::optional<RecordKey>& after, Revision at) override;
    void check_revision(MemberIndex, Revision at) override;
    void open_watch(MemberIndex, Revision from) override;
    void close() override;
    void schedule_wake(TimePoint at) override;

    void send(PendingRequest ask);
    etcd::Request request() const;
    void take_page(const Page& page, std::size_t bytes);
    void on_reply(int status, const std::string& body) override;
    void on_stream_message(std::string_view message) override;
    void on_message_too_long() override;
    void on_reply_too_long() override;
    void on_connection_lost(const char* why) override;
    void on_error(const etcd::Error& problem);

    EventLoop& event_loop_;
    Settings settings_;
    Watch watch_;
    PendingRequest pending_;
    std::size_t page_size_;  // records a page, as many as fit into an answer
    RegistryConnection connection_;
    EventLoop::Timer wake_timer_{};
};

}  // namespace irismux::registry
