// How the process's descriptors and memory are shared out between clients, caches and the program itself.
#pragma once

#include "gateway/configuration.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/fastcgi_server.hpp"

namespace irismux {

/// The part of the clients' connections and requests.
[[nodiscard]] FastCgiServerLimits client_limits(const Configuration& configuration);
/// The part of the connections to caches, with the times that hold on them.
[[nodiscard]] CacheConnectionLimits cache_limits(const Configuration& configuration);

}  // namespace irismux
