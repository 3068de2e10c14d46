// The notice board: polled over HTTP/1.1 for changes of the list and for purges.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "irismux/rules.hpp"
#include "state/list_line.hpp"
#include "wire/loop.hpp"

namespace irismux {

// Who is told what the board says.
class Told {
public:
    virtual ~Told() = default;
    // Each line with its address.
    virtual void list_told(const std::vector<ListLine>& lines, bool complete) = 0;
    virtual void purge_told(Instant at, GroupNo group, const std::optional<ObjectName>& object) = 0;
};

class BoardLink;

class Board {
public:
    // After a failed poll the board is left alone for `pause`.
    Board(Loop& loop, Told& told, std::string address, Span pause);
    ~Board();

    // {"rev": ..., "notices": [...]}; throws on what is not that. An event that can't be read is left out, or
    // throws where it may be asked for once more.
    void tell(const nlohmann::json& notices, bool ask_again);
    void poll();
    // The board is somewhere else from now on; its numbers go on.
    void move(const std::string& address);

private:
    friend class BoardLink;
    void answered(int status, const std::string& body);
    void failed(const char* why);
    Loop& loop_;
    Told& told_;
    std::string address_;
    Span pause_;
    std::int64_t rev_ = 0;         // of the last event told
    std::int64_t unreadable_ = 0;  // of the event that could not be read when it was last asked for
    bool failing_ = false;         // the last poll failed
    Instant asked_at_;
    Loop::Alarm again_{};
    std::shared_ptr<BoardLink> link_;
};

}  // namespace irismux
