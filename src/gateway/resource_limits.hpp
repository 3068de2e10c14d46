// Divides the file descriptors and the memory of the process between clients, caches and the program itself.
#pragma once

#include "gateway/configuration.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/fastcgi_server.hpp"

namespace irismux {

/// Returns the limits for client connections and requests.
[[nodiscard]] FastCgiServerLimits client_limits(const Configuration& configuration);
/// Returns the limits and timeouts for connections to caches.
[[nodiscard]] CacheConnectionLimits cache_limits(const Configuration& configuration);

}  // namespace irismux
