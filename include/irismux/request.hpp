// A client's request as the router sees it.
#pragma once

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

struct Request {
    RequestId id;  ///< given by the gateway; unique within its process
    ObjectKindIndex kind;
    ObjectName object;
    PurgeGroupId purge_group;
    TimePoint deadline;  ///< the final response must have been given by then
    double size_kb = 0;  ///< of the object; 0: unknown
    bool is_client_retry = false;
    bool is_write = false;
};

}  // namespace irismux
