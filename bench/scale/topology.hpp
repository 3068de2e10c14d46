// Assignment of gateways to sites, zones and regions, scaled from the users' target size.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace irismux::scale {

struct Topology {
    static constexpr std::size_t site_size = 15;  // gateways per site; a site has one rack
    static constexpr std::size_t target_gateways = 570, target_zones = 23, target_regions = 7;
    static constexpr std::size_t zone_size = 25, zone_caches = 10;

    std::size_t gateways = target_gateways;
    std::size_t caches = 240;  // the same at every size, so that only the number of gateways varies

    std::size_t sites() const;
    std::size_t zones() const;
    std::size_t regions() const;
    std::size_t site_of(std::size_t gateway) const { return gateway / site_size; }
    std::size_t zone_of(std::size_t gateway) const;
    std::size_t region_of(std::size_t gateway) const;
    std::vector<std::size_t> of_site(std::size_t site) const;
    std::vector<std::size_t> of_region(std::size_t region) const;
    // Returns the gateways that fail when a zone is lost. Their number is the number of gateways that a zone
    // has at the target size (zone_size), but at most a third of all gateways.
    std::vector<std::size_t> lost_zone() const;
    std::vector<std::size_t> all() const;

    static std::string gateway_name(std::size_t gateway);
    static std::string site_name(std::size_t site);
    static std::string cache_name(std::size_t cache);
};

}  // namespace irismux::scale
