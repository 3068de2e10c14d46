/// Stores the state that a gateway keeps over restarts. The stored fencing tokens let the gateway refuse
/// lower tokens after a restart too. The stored incarnation, which is the number of the gateway's last join,
/// lets the next join use a higher incarnation.
#pragma once

#include <optional>
#include <string>

#include "fleet/fence.hpp"
#include "store/store.hpp"

namespace irismux::fleet {

/// Owns the embedded store in the folder given to the constructor. Without a folder, or if the store can't be
/// opened, nothing is saved or restored, and the gateway runs without a store.
class TokenStore {
public:
    /// No other process may use `folder`. If `folder` is an empty string, nothing is saved.
    explicit TokenStore(const std::string& folder);

    /// Returns why the store could not be opened, or std::nullopt if the store is open or no folder is given.
    [[nodiscard]] const std::optional<StoreError>& open_error() const { return open_error_; }
    /// Returns the saved incarnation, which is the number of the gateway's last join. Returns zero if no
    /// incarnation is saved.
    [[nodiscard]] Incarnation last_incarnation() const;
    /// Adds the saved tokens to the fence.
    /// @return false if the saved tokens can't be parsed; in this case the fence is unchanged.
    [[nodiscard]] bool restore(Fence& fence) const;
    /// Writes the tokens of the fence and the incarnation if either has changed since the last save.
    /// @return the error if this write failed and the previous write, if any, succeeded. Returns std::nullopt
    /// in all other cases: the previous write failed too, the values were written, the values are unchanged,
    /// or the store is not open.
    [[nodiscard]] std::optional<StoreError> save(const Fence& fence, Incarnation incarnation);
    /// Closes the store, so that another TokenStore of this process may open the folder.
    void close() { store_.reset(); }

private:
    std::optional<Store> store_;
    std::optional<StoreError> open_error_;
    std::string saved_state_;
    bool write_error_reported_ = false;
};

}  // namespace irismux::fleet
