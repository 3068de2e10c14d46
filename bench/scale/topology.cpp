#include "bench/scale/topology.hpp"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace irismux::scale {
namespace {

std::string numbered(const char* form, std::size_t n) {
    char text[32];
    std::snprintf(text, sizeof text, form, static_cast<unsigned long>(n));
    return text;
}

template <class Choose>
std::vector<std::size_t> chosen(std::size_t from, Choose choose) {
    std::vector<std::size_t> all;
    for (std::size_t n = 0; n < from; ++n)
        if (choose(n)) all.push_back(n);
    return all;
}

}  // namespace

std::size_t Topology::sites() const { return (gateways + site_size - 1) / site_size; }

std::size_t Topology::zones() const {
    return std::max<std::size_t>(1, (gateways * target_zones + target_gateways / 2) / target_gateways);
}

std::size_t Topology::regions() const { return std::min(target_regions, zones()); }

std::size_t Topology::zone_of(std::size_t gateway) const { return gateway * zones() / gateways; }

std::size_t Topology::region_of(std::size_t gateway) const { return zone_of(gateway) * regions() / zones(); }

std::vector<std::size_t> Topology::of_site(std::size_t site) const {
    return chosen(gateways, [&](std::size_t g) { return site_of(g) == site; });
}

std::vector<std::size_t> Topology::of_region(std::size_t region) const {
    return chosen(gateways, [&](std::size_t g) { return region_of(g) == region; });
}

std::vector<std::size_t> Topology::lost_zone() const {
    const std::size_t lost = std::min(zone_size, gateways / 3);
    return chosen(gateways, [&](std::size_t g) { return g + lost >= gateways; });
}

std::vector<std::size_t> Topology::all() const {
    std::vector<std::size_t> numbers(gateways);
    std::iota(numbers.begin(), numbers.end(), std::size_t{0});
    return numbers;
}

std::string Topology::gateway_name(std::size_t gateway) { return numbered("g%04lu", gateway); }
std::string Topology::site_name(std::size_t site) { return numbered("site-%02lu", site); }
std::string Topology::cache_name(std::size_t cache) { return numbered("cache-%03lu", cache); }

}  // namespace irismux::scale
