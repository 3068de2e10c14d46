// Which request ids a connection has carried for which lookup. Ids are chosen by clients and may repeat, and
// an answer names nothing else: an id that was carried for one lookup is not carried for another one while an
// answer to the first may still come. Without I/O.
#pragma once

#include <cstddef>
#include <map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class CarriedNames {
public:
    // More are not remembered: the half that ends first is forgotten. What may happen then: an answer that is
    // later than so many further sends of the connection is taken for that of another lookup of the same id.
    static constexpr std::size_t most_names = 4096;

    void carry(const RequestId& name, LookupId lookup, Instant until, Instant now);
    // Whether an answer under that name may be meant for another lookup.
    bool belongs_to_other(const RequestId& name, LookupId lookup, Instant now) const;
    std::size_t size() const { return names_.size(); }

private:
    void forget(Instant now);

    struct Carried {
        LookupId lookup;
        Instant until;
    };
    std::map<RequestId, Carried> names_;
    std::size_t forget_above_ = 64;  // rises with what is worth keeping: looking through all takes time
};

}  // namespace irismux
