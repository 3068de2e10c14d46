#include "fleet/record_paths.hpp"

#include <string_view>

#include "fleet/digest.hpp"

namespace irismux::fleet {
namespace {

constexpr std::string_view watched_record_prefix = "roll/";
constexpr std::string_view heartbeat_prefix = "beat/";

}  // namespace

std::string path_of(const Key& key) {
    if (key.raw().starts_with(heartbeat_prefix)) return key.raw();
    return std::string(watched_record_prefix) + key.raw();
}

std::string path_of(const Key& key, const SiteName& site) {
    if (site.raw().empty()) return path_of(key);
    if (key == generation_key()) return key.raw();
    if (key == digest_key()) return digest_prefix("") + site.raw();
    return site_prefix("", site) + path_of(key);
}

Key key_at(const std::string& path) {
    return Key{path.starts_with(watched_record_prefix) ? path.substr(watched_record_prefix.size()) : path};
}

std::string watched_prefix(const std::string& prefix) { return prefix + std::string(watched_record_prefix); }

std::string site_prefix(const std::string& prefix, const SiteName& site) {
    return site.raw().empty() ? prefix : prefix + "site/" + site.raw() + '/';
}

std::string digest_prefix(const std::string& prefix) { return prefix + "digest/"; }

}  // namespace irismux::fleet
