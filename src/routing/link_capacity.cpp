#include "routing/link_capacity.hpp"

#include <algorithm>

namespace irismux::routing {
namespace {

// Capacity of all edge links of a location relative to the link into the location. The link into the location
// carries only a minority of the traffic that the caches send, because they serve most requests from copies.
constexpr double edge_links_per_location_link = 2;
// Assumed link capacity of a parent, as a share of the capacity that each parent would have if all links were
// divided evenly among the parents. Parents differ in size, so a parent may have less than this even part.
constexpr double parent_share_of_even = 0.6;
// Assumed link capacity of an endpoint if the deployment specifies neither endpoint weights nor link
// capacities.
constexpr double unknown_capacity_transfers = 4;
// Share of the links into all locations that all gateways together may request from the origin in place of
// parents.
constexpr double origin_share_of_links = 0.5;

}  // namespace

LinkCapacity::LinkCapacity(const Deployment& deployment, const EndpointSet& endpoints)
    : endpoints_(endpoints),
      weights_known_(deployment.weights_known),
      locations_(std::max(1, deployment.locations)) {
    if (deployment.transfer_rate_kb_per_s <= 0) return;
    location_link_ = deployment.location_link_capacity_kb_per_s / deployment.transfer_rate_kb_per_s;
    all_links_ = deployment.total_link_capacity_kb_per_s / deployment.transfer_rate_kb_per_s;
}

double LinkCapacity::endpoint(const EndpointState& endpoint) const {
    if (weights_known_ && endpoint.role != EndpointRole::origin) return endpoint.weight;
    if (endpoint.role == EndpointRole::edge && location_link_ > 0)
        return location_link_ * edge_links_per_location_link /
               static_cast<double>(endpoints_.max_active_edges());
    if (endpoint.role == EndpointRole::parent && all_links_ > 0)
        return all_links_ * parent_share_of_even / static_cast<double>(endpoints_.max_active_parents());
    if (endpoint.role == EndpointRole::origin) {
        const double links = all_links_ > 0 ? all_links_ : location_link() * locations_;
        return links * origin_share_of_links;
    }
    return unknown_capacity_transfers;
}

double LinkCapacity::location_link() const {
    if (location_link_ > 0) return location_link_;
    double weights = 0;
    double count = 0;
    for (const EndpointState* edge : endpoints_.active(EndpointRole::edge)) {
        weights += edge->weight;
        ++count;
    }
    const double edge_links = weights_known_ ? weights : count * unknown_capacity_transfers;
    return std::max(1.0, edge_links / edge_links_per_location_link);
}

}  // namespace irismux::routing
