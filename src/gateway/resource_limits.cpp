#include "gateway/resource_limits.hpp"

#include <algorithm>

#include "gateway/request_admission.hpp"

namespace irismux {
namespace {

// Client connections may use at most 1 / client_descriptor_divisor of the file descriptors. Clients that
// follow the protocol use a third of the descriptors, so a limit of one half leaves room for 50% more
// connections.
constexpr std::size_t client_descriptor_divisor = 2;
// Client requests may use at most 1 / request_memory_divisor of the memory, and responses that clients have
// not read yet may use the same amount.
constexpr std::size_t request_memory_divisor = 5;
// File descriptors reserved for everything except client and cache connections: the listener, the notice
// board, the log, the poll set and the libraries.
constexpr std::size_t internal_descriptors = 24;

std::size_t client_descriptors(const Configuration& configuration) {
    return configuration.max_descriptors / client_descriptor_divisor;
}

}  // namespace

FastCgiServerLimits client_limits(const Configuration& configuration) {
    const Deployment& deployment = configuration.settings.deployment;
    return {client_descriptors(configuration), configuration.memory_bytes / request_memory_divisor,
            deployment.connections.connect_timeout, longest_deadline(deployment)};
}

CacheConnectionLimits cache_limits(const Configuration& configuration) {
    const Deployment& deployment = configuration.settings.deployment;
    const ConnectionSettings& connections = deployment.connections;
    const std::size_t reserved = client_descriptors(configuration) + internal_descriptors;
    const std::size_t available =
        configuration.max_descriptors > reserved ? configuration.max_descriptors - reserved : 1;
    // A cache closes idle connections after `connections.idle_timeout` too. The gateway must close them
    // earlier; otherwise an attempt could be written to a connection that the cache is closing.
    const Duration idle_timeout =
        std::max(connections.idle_timeout - connections.connect_timeout, connections.connect_timeout);
    return {available,
            static_cast<std::size_t>(connections.max_streams),
            connections.connect_timeout,
            idle_timeout,
            deployment.timer_resolution,
            connections.connect_timeout};
}

}  // namespace irismux
