// irismux: one gateway, in the foreground, until SIGTERM.
#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>
#include <utility>

#include "process/host.hpp"
#include "process/log.hpp"

namespace {

using namespace irismux;

volatile std::sig_atomic_t told_to_leave = 0, told_to_reread = 0;
void on_term(int) { told_to_leave = 1; }
void on_hup(int) { told_to_reread = 1; }

// Whatever got past the connections ends no more than the handler that threw it.
class Survive final : public Poco::ErrorHandler {
public:
    void exception(const Poco::Exception& e) override { log::write(log::Level::error, e.displayText()); }
    void exception(const std::exception& e) override { log::write(log::Level::error, e.what()); }
    void exception() override { log::write(log::Level::error, "an unknown exception"); }
};

constexpr const char* usage =
    "usage: irismux [--help | --version]\n"
    "  NODE_CONFIG   path of the configuration (JSON), needed\n"
    "  NODE_LISTEN   address to listen on, in place of the configuration's\n"
    "  IRISMUX_LOG   error, warning, info (the default) or debug\n";

bool read_level(const char* said) {
    constexpr std::pair<const char*, log::Level> levels[] = {{"error", log::Level::error},
                                                             {"warning", log::Level::warning},
                                                             {"info", log::Level::info},
                                                             {"debug", log::Level::debug}};
    for (const auto& [name, level] : levels)
        if (std::strcmp(name, said) == 0) return log::show(level), true;
    return false;
}

int wrong(const std::string& what) {
    std::cerr << "irismux: " << what << '\n';
    return 2;
}

// A file that can't be used changes nothing.
void reread(Host& host, const char* path) {
    try {
        host.reread(read_posting(path));
    } catch (const std::exception& e) {
        log::write(log::Level::error, std::string(e.what()) + "; nothing changes");
    }
}

void look_for_signals(Loop& loop, Host& host, const char* path) {
    if (told_to_reread) {
        told_to_reread = 0;
        reread(host, path);
    }
    if (told_to_leave) host.leave();
    loop.at(loop.now() + Span::micros(50'000), [&, path] { look_for_signals(loop, host, path); });
}

}  // namespace

int main(int argc, char** argv) {
    if (argc == 2 && std::strcmp(argv[1], "--help") == 0) return std::cout << usage, 0;
    if (argc == 2 && std::strcmp(argv[1], "--version") == 0)
        return std::cout << "irismux " IRISMUX_VERSION "\n", 0;
    if (argc > 1) return wrong(std::string("unknown argument '") + argv[1] + "'; see --help");
    if (const char* level = std::getenv("IRISMUX_LOG"); level && !read_level(level))
        return wrong(std::string("IRISMUX_LOG is '") + level + "', not error, warning, info or debug");
    const char* const path = std::getenv("NODE_CONFIG");
    if (!path) return wrong("NODE_CONFIG does not name a configuration");
    // Large buffers come and go all the time: each is the system's again at once, so that what stays in
    // between does not keep their room.
    mallopt(M_MMAP_THRESHOLD, 64 * 1024);
    mallopt(M_TRIM_THRESHOLD, 128 * 1024);
    std::signal(SIGTERM, on_term);
    std::signal(SIGINT, on_term);
    std::signal(SIGHUP, on_hup);
    std::signal(SIGPIPE, SIG_IGN);
    Survive handler;
    Poco::ErrorHandler::set(&handler);
    try {
        Posting posting = read_posting(path);
        if (const char* listen = std::getenv("NODE_LISTEN")) posting.listen = listen;
        Loop loop;
        Host host(loop, posting);
        host.serve();
        log::write(log::Level::info, posting.name + " serves on " + posting.listen);
        look_for_signals(loop, host, path);
        loop.run();
    } catch (const Poco::Exception& e) {
        return wrong(e.displayText());
    } catch (const std::exception& e) {
        return wrong(e.what());
    }
    return 0;
}
