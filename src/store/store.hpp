// An embedded key-value store based on LMDB. It keeps named values in one folder and writes each value whole
// or not at all.
//
// Writes do not wait for the disk, so that they never block the event loop. Therefore the newest values may
// be missing or damaged after a crash of the machine, and readers must check the values. A full disk or a
// read-only folder makes only the write fail.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace irismux {

/// The reason why a store cannot be opened or a value cannot be written.
struct StoreError {
    enum class Code {
        open_failed,   ///< the folder cannot be created or read, or holds no store
        truncated,     ///< the store's file is shorter than its own page count
        write_failed,  ///< for instance because the disk or the store is full
    };
    Code code;
    std::string folder;
    std::string detail;  ///< LMDB's message; empty: none

    /// Returns the code in snake_case, for the log.
    std::string_view reason() const;
};

class Store {
public:
    /// @param max_bytes size limit of the store's file.
    [[nodiscard]] static std::variant<Store, StoreError> open(const std::string& folder,
                                                              std::size_t max_bytes);
    Store(Store&&) noexcept;
    Store& operator=(Store&&) noexcept;
    ~Store();

    /// @return std::nullopt if there is no such value or it cannot be read.
    [[nodiscard]] std::optional<std::string> read(std::string_view name) const;

    struct Written {};
    /// Writes a value. After an error the former value is unchanged.
    [[nodiscard]] std::variant<Written, StoreError> write(std::string_view name, std::string_view value);

private:
    class Environment;
    explicit Store(std::unique_ptr<Environment> environment);
    std::unique_ptr<Environment> environment_;
};

}  // namespace irismux
