// The number of concurrent transfers, each at the maximum rate of one transfer, that the links of endpoints
// and locations carry. The numbers are taken from the deployment or derived from it. Where the deployment
// does not give enough data, they are assumed.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/endpoint_set.hpp"

namespace irismux::routing {

class LinkCapacity {
public:
    LinkCapacity(const Deployment& deployment, const EndpointSet& endpoints);

    /// @return link capacity of an endpoint, in transfers. For the origin, the result is the number of
    /// transfers that all gateways together may request from the origin in place of parents. The capacity
    /// does not grow when other endpoints leave.
    [[nodiscard]] double endpoint(const EndpointState& endpoint) const;
    /// @return capacity of the link into this location, in transfers. If the deployment does not specify this
    /// capacity, it is derived from the link capacities of the location's active caches, and the result is at
    /// least 1.
    [[nodiscard]] double location_link() const;

private:
    const EndpointSet& endpoints_;
    bool weights_known_;
    int locations_;
    double location_link_ = 0, all_links_ = 0;  // in concurrent transfers; 0: unknown
};

}  // namespace irismux::routing
