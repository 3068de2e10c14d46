// One question at a time to one member of a registry: its connection, who asks, and the answer. Decides
// nothing.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"
#include "registry/etcd.hpp"
#include "registry/settings.hpp"

namespace irismux::registry {

// Of an answer, and of a message of a stream, whatever the chunks that they come in.
constexpr std::size_t most_answer = 1 << 20;

// Who hears what comes of a question. Never called from within ask(), hang_up() or with_a_new_token().
class Replies {
public:
    virtual ~Replies() = default;
    virtual void replied(int status, const std::string& body) = 0;  // whole
    virtual void streamed(std::string_view message) = 0;            // one of a stream, which goes on
    virtual void too_long() = 0;                                    // a message of a stream
    // An answer that is not read to its end. Asked for again as it was, it would come again.
    virtual void answer_too_long() { broke("an answer that is too long"); }
    virtual void broke(const char* why) = 0;  // what was asked may have been done or not
};

class AskerLink;

class Asker {
public:
    // The settings must outlive it.
    Asker(Loop& loop, Replies& replies, const Settings& settings);
    ~Asker();
    Asker(const Asker&) = delete;
    Asker& operator=(const Asker&) = delete;

    // Replaces the question before, whose answer is not told any more.
    void ask(MemberNo member, etcd::Request request, bool stream);
    void hang_up();
    // What was asked has been refused: asks it again under a new token, once each question. False: it can't
    // be.
    bool with_a_new_token();

private:
    friend class AskerLink;
    void say();
    void answered(int status, const std::string& body);
    void refused();

    Loop& loop_;
    Replies& replies_;
    const Settings& settings_;
    MemberNo member_;
    etcd::Request request_;
    bool stream_ = false, asked_ = false;
    std::string token_;
    bool authenticating_ = false;
    bool token_tried_ = false;  // the question at hand was refused with a new token already
    Loop::Alarm no_attempt_{};
    std::shared_ptr<AskerLink> link_;
};

}  // namespace irismux::registry
