/// State that a gateway keeps over restarts: the fencing tokens that it has seen, so that it refuses lower
/// ones after a restart too, and the number of its last join, so that the next one is higher.
#pragma once

#include <optional>
#include <string>

#include "fleet/fence.hpp"
#include "store/store.hpp"

namespace irismux::fleet {

/// Owns the embedded store in its folder. Without a folder, or if the store can't be opened, nothing is saved
/// or restored, and the gateway runs without a store.
class TokenStore {
public:
    /// No other process may use `folder`. If it is empty, nothing is saved.
    explicit TokenStore(const std::string& folder);

    /// Returns why the store could not be opened, or std::nullopt if it is open or there is no folder.
    [[nodiscard]] const std::optional<StoreError>& open_error() const { return open_error_; }
    /// Returns the saved number of the last join, or zero if there is none.
    [[nodiscard]] Incarnation last_incarnation() const;
    /// Adds the saved tokens to the fence.
    /// @return false if they can't be parsed; the fence is unchanged then.
    [[nodiscard]] bool restore(Fence& fence) const;
    /// Writes both values if they have changed since the last save.
    /// @return the error of the first of a series of failed writes; std::nullopt if the values were written
    /// or are unchanged, if the store is not open, or if an error was returned before.
    [[nodiscard]] std::optional<StoreError> save(const Fence& fence, Incarnation incarnation);
    /// Closes the store, so that a successor in this process may open the folder.
    void close() { store_.reset(); }

private:
    std::optional<Store> store_;
    std::optional<StoreError> open_error_;
    std::string saved_state_;
    bool write_error_reported_ = false;
};

}  // namespace irismux::fleet
