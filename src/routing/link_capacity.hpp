// The number of concurrent transfers at full rate that the links of endpoints and locations carry. The
// numbers are taken or derived from the deployment as far as possible.
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
    /// @return capacity of the link into this location, in transfers; at least 1 if the capacity is derived
    [[nodiscard]] double location_link() const;

private:
    const EndpointSet& endpoints_;
    bool weights_known_;
    int locations_;
    double location_link_ = 0, all_links_ = 0;  // in concurrent transfers; 0: unknown
};

}  // namespace irismux::routing
