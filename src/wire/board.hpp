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
#include "wire/loop.hpp"

namespace irismux {

// Who is told what the board says.
class Told {
public:
    virtual ~Told() = default;
    // Each line with its address.
    virtual void list_told(const std::vector<std::pair<Listing, std::string>>& lines, bool complete) = 0;
    virtual void purge_told(Instant at, GroupNo group, const std::optional<ObjectName>& object) = 0;
};

class BoardLink;

class Board {
public:
    // After a failed poll the board is left alone for `pause`.
    Board(Loop& loop, Told& told, std::string address, Span pause);
    ~Board();

    // {"rev": ..., "notices": [...]}; throws on what is neither that nor harmless to leave out.
    void tell(const nlohmann::json& notices);
    void poll();

private:
    friend class BoardLink;
    void answered(int status, const std::string& body);
    void failed(const char* why);
    void poll_after_pause();

    Loop& loop_;
    Told& told_;
    std::string address_;
    Span pause_;
    std::int64_t rev_ = 0;
    std::shared_ptr<BoardLink> link_;
};

}  // namespace irismux
