#include "gateway/configuration.hpp"

#include <charconv>

#include "base/file.hpp"
#include "base/json_reader.hpp"

namespace irismux {

Configuration read_configuration(const std::string& path) {
    const auto text = read_file(path);
    if (const auto* error = std::get_if<FileError>(&text)) {
        const std::string why = "cannot read the configuration " + path + ": " + error->text();
        if (error->passes()) throw TransientError(why);
        bad(why);
    }
    json all;
    try {
        all = json::parse(std::get<std::string>(text));
    } catch (const json::exception&) {
        bad("the configuration " + path + " is not JSON");
    }
    try {
        Configuration config;
        config.name = get<std::string>(all, "name");
        config.listen = get<std::string>(all, "listen");
        config.notice_board = get<std::string>(all, "board");
        const auto seed = get<std::string>(all, "seed");
        const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
        if (error != std::errc{} || end != seed.data() + seed.size()) bad("field 'seed' is not a hex number");
        const json& limits = need(all, "limits");
        config.descriptors = get<std::size_t>(limits, "sockets");
        config.memory = get<std::size_t>(limits, "memory_mb") << 20;
        config.known = need(all, "known");
        config.settings = read_deployment(need(all, "settings"));
        return config;
    } catch (const std::exception& e) {
        std::string what = e.what();
        for (char& c : what)
            if (c == '\n' || c == '\r') c = ' ';
        bad("the configuration " + path + " cannot be used: " + what);
    }
}

}  // namespace irismux
