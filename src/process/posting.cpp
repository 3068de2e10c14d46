#include "process/posting.hpp"

#include <charconv>
#include <fstream>

#include "base/reading.hpp"

namespace irismux {

Posting read_posting(const std::string& path) {
    std::ifstream file(path);
    if (!file) bad("cannot read the configuration " + path);
    json all;
    try {
        all = json::parse(file);
    } catch (const json::exception&) {
        bad("the configuration " + path + " is not JSON");
    }
    try {
        Posting p;
        p.name = get<std::string>(all, "name");
        p.listen = get<std::string>(all, "listen");
        p.board = get<std::string>(all, "board");
        const auto seed = get<std::string>(all, "seed");
        const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), p.seed, 16);
        if (error != std::errc{} || end != seed.data() + seed.size()) bad("field 'seed' is not a hex number");
        const json& limits = need(all, "limits");
        p.descriptors = get<std::size_t>(limits, "sockets");
        p.memory = get<std::size_t>(limits, "memory_mb") << 20;
        p.known = need(all, "known");
        p.reading = read_deployment(need(all, "settings"));
        return p;
    } catch (const std::exception& e) {
        std::string what = e.what();
        for (char& c : what)
            if (c == '\n' || c == '\r') c = ' ';
        bad("the configuration " + path + " cannot be used: " + what);
    }
}

}  // namespace irismux
