// An embedded store on LMDB: values by name in one folder, each written whole or not at all.
//
// Writes do not wait for the disk, so the event loop never does: after a crash of the machine the newest
// values may be missing or damaged, and readers check what they read. A full disk or a read-only folder fails
// the write and nothing else.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace irismux {

/// Why a store cannot be opened, or a value not written.
struct StoreError {
    enum class Code {
        open_failed,   ///< the folder cannot be created or read, or holds no store
        truncated,     ///< the store's file is shorter than its own page count
        write_failed,  ///< for instance: the disk or the store is full
    };
    Code code;
    std::string folder;
    std::string detail;  ///< LMDB's message; empty: none

    /// The code in snake_case, for the log.
    std::string_view reason() const;
};

class Store {
public:
    /// @param max_bytes limit of the store's file.
    [[nodiscard]] static std::variant<Store, StoreError> open(const std::string& folder,
                                                              std::size_t max_bytes);
    Store(Store&&) noexcept;
    Store& operator=(Store&&) noexcept;
    ~Store();

    /// None: there is no such value, or it cannot be read.
    [[nodiscard]] std::optional<std::string> read(std::string_view name) const;

    struct Written {};
    /// After an error the former value is still there.
    [[nodiscard]] std::variant<Written, StoreError> write(std::string_view name, std::string_view value);

private:
    class Environment;
    explicit Store(std::unique_ptr<Environment> environment);
    std::unique_ptr<Environment> environment_;
};

}  // namespace irismux
