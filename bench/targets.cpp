#include "bench/targets.hpp"

#include <toml++/toml.h>

#include <stdexcept>
#include <string>

namespace irismux::bench {
namespace {

class Section {
public:
    Section(const toml::table& all, std::string file, const char* name)
        : table_(all[name].as_table()), file_(std::move(file)), name_(name) {}

    void read(const char* key, double& into) const {
        const auto value = table_ ? (*table_)[key].value<double>() : std::nullopt;
        if (!value || !(*value > 0))
            throw std::runtime_error(file_ + ": " + name_ + '.' + key + " has to be a number above zero");
        into = *value;
    }

private:
    const toml::table* table_;
    std::string file_;
    std::string name_;
};

}  // namespace

Targets read_targets(const std::filesystem::path& file) {
    toml::table all;
    try {
        all = toml::parse_file(file.string());
    } catch (const toml::parse_error& e) {
        throw std::runtime_error(file.string() + " cannot be read: " + std::string(e.description()));
    }
    Targets t;
    const Section fleet(all, file.string(), "fleet"), load(all, file.string(), "load"),
        budget(all, file.string(), "budget"), failures(all, file.string(), "failures"),
        premises(all, file.string(), "premises");
    fleet.read("gateways", t.fleet.gateways);
    fleet.read("sites", t.fleet.sites);
    fleet.read("caches", t.fleet.caches);
    fleet.read("regions", t.fleet.regions);
    fleet.read("zones", t.fleet.zones);
    load.read("lookups_per_s", t.load.lookups_per_s);
    load.read("tbit_per_s", t.load.tbit_per_s);
    load.read("objects_billion", t.load.objects_billion);
    load.read("purges_per_s", t.load.purges_per_s);
    load.read("purge_everywhere_s", t.load.purge_everywhere_s);
    load.read("configurations_per_day", t.load.configurations_per_day);
    load.read("configuration_everywhere_s", t.load.configuration_everywhere_s);
    budget.read("gateway_core_percent", t.budget.gateway_core_percent);
    budget.read("gateway_memory_mb", t.budget.gateway_memory_mb);
    budget.read("gateway_kb_per_s", t.budget.gateway_kb_per_s);
    budget.read("control_machines", t.budget.control_machines);
    failures.read("machines_lost_per_day", t.failures.machines_lost_per_day);
    failures.read("restarts_per_day", t.failures.restarts_per_day);
    failures.read("rack_gateways", t.failures.rack_gateways);
    failures.read("zone_gateways", t.failures.zone_gateways);
    failures.read("zone_caches", t.failures.zone_caches);
    failures.read("region_cut_h", t.failures.region_cut_h);
    premises.read("loaded_gateway_multiple", t.premises.loaded_gateway_multiple);
    premises.read("longest_deadline_s", t.premises.longest_deadline_s);
    premises.read("largest_answer_kb", t.premises.largest_answer_kb);
    premises.read("cores_of_a_gateway", t.premises.cores_of_a_gateway);
    return t;
}

}  // namespace irismux::bench
