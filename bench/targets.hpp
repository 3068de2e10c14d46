// The users' target figures (bench/targets.toml).
#pragma once

#include <filesystem>

namespace irismux::bench {

struct Targets {
    struct {
        double gateways, sites, caches, regions, zones;
    } fleet{};
    struct {
        double lookups_per_s, tbit_per_s, objects_billion, purges_per_s, purge_everywhere_s;
        double configurations_per_day, configuration_everywhere_s;
    } load{};
    struct {
        double gateway_core_percent, gateway_memory_mb, gateway_kb_per_s, control_machines;
    } budget{};
    struct {
        double machines_lost_per_day, restarts_per_day, rack_gateways, zone_gateways, zone_caches,
            region_cut_h;
    } failures{};
    struct {
        double loaded_gateway_multiple, longest_deadline_s, largest_answer_kb, cores_of_a_gateway;
    } premises{};

    double lookups_per_gateway_s() const { return load.lookups_per_s / fleet.gateways; }
    double mean_object_kb() const { return load.tbit_per_s * 1e12 / 8 / load.lookups_per_s / 1e3; }
    double gbit_per_gateway_s() const { return load.tbit_per_s * 1e3 / fleet.gateways; }
};

/// Reads the figures. Throws std::runtime_error with a one-line message if a figure is missing, not a number
/// or not above zero.
Targets read_targets(const std::filesystem::path& file);

}  // namespace irismux::bench
