#include "gateway/configuration.hpp"

#include <charconv>

#include "base/file.hpp"
#include "base/json_reader.hpp"

namespace irismux {

Configuration read_configuration(const std::string& path) {
    const auto text = read_file(path);
    if (const auto* error = std::get_if<FileError>(&text)) {
        const std::string message = "cannot read the configuration " + path + ": " + error->message();
        if (error->is_transient()) throw TransientError(message);
        throw_parse_error(message);
    }
    json document;
    try {
        document = json::parse(std::get<std::string>(text));
    } catch (const json::exception&) {
        throw_parse_error("the configuration " + path + " is not JSON");
    }
    try {
        Configuration config;
        config.name = get<std::string>(document, "name");
        config.listen = get<std::string>(document, "listen");
        config.notice_board = get<std::string>(document, "board");
        const auto seed = get<std::string>(document, "seed");
        const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
        if (error != std::errc{} || end != seed.data() + seed.size())
            throw_parse_error("field 'seed' is not a hex number");
        const json& limits = require(document, "limits");
        config.max_descriptors = get<std::size_t>(limits, "sockets");
        config.memory_bytes = get<std::size_t>(limits, "memory_mb") << 20;
        config.initial_notices = require(document, "known");
        config.settings = read_deployment(require(document, "settings"));
        return config;
    } catch (const std::exception& e) {
        std::string reason = e.what();
        for (char& c : reason)
            if (c == '\n' || c == '\r') c = ' ';
        throw_parse_error("the configuration " + path + " cannot be used: " + reason);
    }
}

}  // namespace irismux
