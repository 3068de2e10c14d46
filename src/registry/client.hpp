// Carries what a Watch asks to a registry's members and back, on the loop. Decides nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "registry/etcd.hpp"
#include "registry/watch.hpp"
#include "wire/loop.hpp"

namespace irismux::registry {

// Where the list lies and who may read it.
struct Shelf {
    std::vector<std::string>
        members;         // address and port of each; names are not looked up: that would hold the loop
    std::string prefix;  // of the keys; what follows it is a cache's id
    std::string user, password;  // empty: without
    std::size_t page = 500;      // records a page of a full read
    std::string keep_in;         // folder of the store that keeps the list for the next start; empty: none
    Span keep_for = Span::micros(3'600'000'000);  // an older one is no start
    Pace pace;
    bool operator==(const Shelf&) const = default;
};

class ClientLink;

class Client final : private Asks {
public:
    Client(Loop& loop, Knows& knows, Shelf shelf, std::uint64_t seed);
    ~Client() override;

    void start() { watch_.start(loop_.now()); }
    // As Watch::start_from; before start().
    void start_from(const ClusterId& cluster, Revision at, const std::vector<Record>& records,
                    Instant as_of) {
        watch_.start_from(loop_.now(), cluster, at, records, as_of);
    }
    const Watch& watch() const { return watch_; }
    const std::string& prefix() const { return shelf_.prefix; }

private:
    friend class ClientLink;
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
    void say();
    etcd::Request request() const;
    void answered(int status, const std::string& body);
    void streamed(std::string_view message);
    void went_wrong(const etcd::Problem& problem);
    void broke(const char* why);

    Loop& loop_;
    Shelf shelf_;
    Watch watch_;
    Ask ask_;
    std::string token_;
    bool authenticating_ = false;
    bool token_tried_ = false;  // the ask at hand was refused with a new token already
    Loop::Alarm wake_{}, no_attempt_{};
    std::shared_ptr<ClientLink> link_;
};

}  // namespace irismux::registry
