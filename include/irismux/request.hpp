// The part of a client's request on which the router bases its decisions.
#pragma once

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

struct Request {
    RequestId id;  ///< assigned by the gateway; unique within its process
    ObjectKindIndex kind;
    ObjectName object;
    PurgeGroupId purge_group;
    TimePoint deadline;  ///< latest time for the final response
    double size_kb = 0;  ///< size of the object; 0: unknown
    bool is_client_retry = false;
    bool is_write = false;
};

}  // namespace irismux
