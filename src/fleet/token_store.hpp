/// What a gateway keeps of its fleet over restarts: the fencing tokens that it has seen, so that lower ones
/// are refused afterwards too, and the number of its last join, so that the next one is higher.
#pragma once

#include <optional>
#include <string>

#include "fleet/fence.hpp"
#include "store/store.hpp"

namespace irismux::fleet {

/// Owns the embedded store in its folder. Without a folder, or if it can't be opened, nothing is kept and
/// nothing is read: the gateway runs on without.
class TokenStore {
public:
    /// `folder`: must be used by no other process; empty: nothing is kept.
    explicit TokenStore(const std::string& folder);

    /// Why the store could not be opened; none: it is open, or there is no folder.
    [[nodiscard]] const std::optional<StoreError>& open_error() const { return open_error_; }
    /// The number of the last join that was saved; zero: none.
    [[nodiscard]] Incarnation last_incarnation() const;
    /// Adds the saved tokens to the fence. False: they can't be parsed, and the fence is as before.
    [[nodiscard]] bool restore(Fence& fence) const;
    /// Writes both if they have changed since the last save. The error of the first of a series of failed
    /// writes; none: written, unchanged, not open, or reported before.
    [[nodiscard]] std::optional<StoreError> save(const Fence& fence, Incarnation incarnation);
    /// Gives the folder up, so that a successor in this process may open it.
    void close() { store_.reset(); }

private:
    std::optional<Store> store_;
    std::optional<StoreError> open_error_;
    std::string saved_state_;
    bool write_error_reported_ = false;
};

}  // namespace irismux::fleet
