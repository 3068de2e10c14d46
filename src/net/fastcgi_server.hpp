// The server side: web servers speak FastCGI to us. Knows nothing of caches.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "codec/fastcgi.hpp"
#include "net/connection.hpp"
#include "request/active_request.hpp"

namespace irismux {

// Who takes the lookups that clients send.
class Lookups {
public:
    virtual ~Lookups() = default;
    enum class Verdict { taken, id_in_use, sent_twice };
    virtual Verdict taken(const Caller&, Asked) = 0;
    virtual void left(const Caller&) = 0;
};

struct FrontLimits {
    std::size_t links = 0;  // connections at once
    std::size_t held_bytes =
        0;              // requests, and as much again of answers not read yet, of all clients together
    Span accept_pause;  // after the descriptors have run out
};

// An object kind as clients may ask for it.
struct ServedKind {
    KindNo number;
    Span deadline;
    bool write = false;
};
using ServedKinds = std::map<std::string, ServedKind>;

class FrontLink;

class Front final : public Clients {
public:
    Front(Loop& loop, Lookups& lookups, ServedKinds kinds, FrontLimits limits);
    ~Front() override;

    // Why that is not possible for now; none: it listens.
    std::optional<std::string> listen(const Poco::Net::SocketAddress& at);
    // Whether all answers have left and no request is on its way.
    bool drained() const;
    // No connection is accepted any more; those that wait to be are.
    void stop_listening();
    // Ends every connection; on none a request is heard any more.
    void end_all();
    std::size_t links() const { return links_.size(); }
    bool listening() const { return listening_; }

    void satisfied(const Caller&, std::string_view body, bool client_copy_holds) override;
    void nacked(const Caller&, Span come_back_in) override;
    void failed(const Caller&) override;

private:
    friend class FrontLink;
    void acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    // What came of one call: a connection, none that waits, a trouble of that one connection or moment, or no
    // descriptor or memory for it.
    enum class Accepted { one, none, failed, no_descriptor, no_memory };
    Accepted accept_one();
    void take_in(Poco::Net::StreamSocket accepted);
    void pause_accepting(Span pause);
    void accept_on(bool wanted);
    void answer(const Caller&, std::string_view head, std::string_view body);
    void ended(std::uint64_t link);
    void bound_waiting();
    void look_round();
    std::shared_ptr<FrontLink> longest_idle() const;
    bool free_one();
    void keep_some_free();

    Loop& loop_;
    Lookups& lookups_;
    ServedKinds kinds_;
    FrontLimits limits_;
    Poco::Net::ServerSocket socket_;
    bool accepting_ = false, listening_ = false;
    bool short_of_descriptors_ = false;  // when a connection was to be accepted last
    Loop::Alarm round_{}, resume_{};
    std::size_t held_ = 0;  // bytes of requests that have not been answered
    std::uint64_t next_link_ = 1;
    std::map<std::uint64_t, std::shared_ptr<FrontLink>> links_;
};

}  // namespace irismux
