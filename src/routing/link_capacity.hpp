// How many transfers at full rate the links of endpoints and locations carry at once, as far as the
// deployment tells or lets derive it.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/endpoint_set.hpp"

namespace irismux::routing {

class LinkCapacity {
public:
    LinkCapacity(const Deployment& deployment, const EndpointSet& endpoints);

    /// Of an endpoint, in transfers; of the origin: what all gateways together may ask of it in place of
    /// parents. Links don't grow when other endpoints leave.
    [[nodiscard]] double endpoint(const EndpointState& endpoint) const;
    /// Of the link into this location, in transfers; at least 1 where it is derived.
    [[nodiscard]] double location_link() const;

private:
    const EndpointSet& endpoints_;
    bool weights_known_;
    int locations_;
    double location_link_ = 0, all_links_ = 0;  // in transfers; 0: unknown
};

}  // namespace irismux::routing
