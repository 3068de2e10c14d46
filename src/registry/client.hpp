// Carries what a Watch asks to a registry's members and back, on the loop. Decides nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "registry/etcd.hpp"
#include "registry/registry_connection.hpp"
#include "registry/settings.hpp"
#include "registry/watch.hpp"

namespace irismux::registry {

class Client final : private Asks, private Replies {
public:
    Client(Loop& loop, Knows& knows, Settings settings, std::uint64_t seed, Sort sort = Sort::caches);
    ~Client() override;

    void start() { watch_.start(loop_.now()); }
    // As Watch::start_from; before start().
    void start_from(const ClusterId& cluster, Revision at, const std::vector<Record>& records,
                    Instant as_of) {
        watch_.start_from(loop_.now(), cluster, at, records, as_of);
    }
    const Watch& watch() const { return watch_; }
    const std::string& prefix() const { return settings_.prefix; }

private:
    enum class Kind { none, read, check, follow };
    struct Ask {
        Kind kind = Kind::none;
        MemberNo member;
        std::optional<RecordKey> after;
        Revision at;
    };

    void read(MemberNo, const std::optional<RecordKey>& after, Revision at) override;
    void check(MemberNo, Revision at) override;
    void follow(MemberNo, Revision from) override;
    void hang_up() override;
    void wake(Instant at) override;

    void go(Ask ask);
    etcd::Request request() const;
    void take_page(const Page& page, std::size_t bytes);
    void replied(int status, const std::string& body) override;
    void streamed(std::string_view message) override;
    void too_long() override;
    void answer_too_long() override;
    void broke(const char* why) override;
    void went_wrong(const etcd::Problem& problem);

    Loop& loop_;
    Settings settings_;
    Watch watch_;
    Ask ask_;
    std::size_t page_;  // records a page, as many as fit into an answer
    Asker asker_;
    Loop::Alarm wake_{};
};

}  // namespace irismux::registry
