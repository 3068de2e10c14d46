// A key-value registry of one member as a process: the project's own stand-in (testing/fake_registry), which
// speaks etcd's HTTP/JSON interface. Prints its address, then obeys lines on its standard input and answers
// each with a line:
//   put KEY VALUE     commits a record
//   get KEY           prints the record's value, or "-"
//   delay MS          each reply and watch message takes that long from now on
// Ends with its standard input.
#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <string>

#include "net/event_loop.hpp"
#include "testing/fake_registry.hpp"

using namespace irismux;
using namespace irismux::test_support;

namespace {

class Commands {
public:
    Commands(EventLoop& loop, FakeRegistry& registry) : loop_(loop), registry_(registry) {
        ::fcntl(0, F_SETFL, ::fcntl(0, F_GETFL) | O_NONBLOCK);
        check();
    }

private:
    void check() {
        char bytes[4096];
        const ssize_t n = ::read(0, bytes, sizeof bytes);
        if (n == 0) return loop_.stop();
        if (n > 0) heard_.append(bytes, static_cast<std::size_t>(n));
        for (std::size_t end; (end = heard_.find('\n')) != std::string::npos; heard_.erase(0, end + 1))
            obey(heard_.substr(0, end));
        loop_.schedule_at(loop_.now() + Duration::micros(5'000), [this] { check(); });
    }
    void obey(const std::string& line) {
        const std::size_t space = line.find(' '), second = line.find(' ', space + 1);
        const std::string word = line.substr(0, space), key = line.substr(space + 1, second - space - 1);
        if (word == "put") {
            std::cout << registry_.model.put(key, line.substr(second + 1)).raw() << std::endl;
            registry_.publish();
        } else if (word == "delay") {
            registry_.faults(0).delay = Duration::micros(std::atoll(key.c_str()) * 1000);
            std::cout << "ok" << std::endl;
        } else {
            const auto* const state = registry_.model.at(registry_.model.newest());
            const auto it = state->find(RecordKey{key});
            std::cout << (it == state->end() ? "-" : it->second.value) << std::endl;
        }
    }

    EventLoop& loop_;
    FakeRegistry& registry_;
    std::string heard_;
};

}  // namespace

int main() {
    EventLoop loop;
    FakeRegistry registry(loop, 1, Duration::micros(500'000));
    std::cout << registry.address(0) << std::endl;
    Commands commands(loop, registry);
    loop.run();
    std::_Exit(0);
}
