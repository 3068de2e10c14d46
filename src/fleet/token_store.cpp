#include "fleet/token_store.hpp"

#include <cstdlib>
#include <utility>

namespace irismux::fleet {
namespace {

constexpr std::size_t max_store_bytes = 8 << 20;
constexpr const char* tokens_name = "fleet epochs seen";
constexpr const char* incarnation_name = "fleet last start";

}  // namespace

TokenStore::TokenStore(const std::string& folder) {
    if (folder.empty()) return;
    auto opened = Store::open(folder, max_store_bytes);
    if (const auto* error = std::get_if<StoreError>(&opened))
        open_error_ = *error;
    else
        store_ = std::move(std::get<Store>(opened));
}

Incarnation TokenStore::last_incarnation() const {
    const auto saved = store_ ? store_->read(incarnation_name) : std::nullopt;
    return saved ? Incarnation{std::atoll(saved->c_str())} : Incarnation{};
}

bool TokenStore::restore(Fence& fence) const {
    const auto saved = store_ ? store_->read(tokens_name) : std::nullopt;
    return !saved || fence.restore(*saved);
}

std::optional<StoreError> TokenStore::save(const Fence& fence, Incarnation incarnation) {
    if (!store_) return std::nullopt;
    const std::string tokens = fence.serialize();
    const std::string state = tokens + std::to_string(incarnation.raw());
    if (state == saved_state_) return std::nullopt;
    auto written = store_->write(tokens_name, tokens);
    if (std::holds_alternative<Store::Written>(written) && incarnation > Incarnation{})
        written = store_->write(incarnation_name, std::to_string(incarnation.raw()));
    if (const auto* error = std::get_if<StoreError>(&written)) {
        if (std::exchange(write_error_reported_, true)) return std::nullopt;
        return *error;
    }
    write_error_reported_ = false;
    saved_state_ = state;
    return std::nullopt;
}

}  // namespace irismux::fleet
