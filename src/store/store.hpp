// The embedded store: values by name in one folder, each written whole or not at all. LMDB behind a small
// interface.
//
// Writes do not wait for the disk, so that the one thread never does: after a crash of the machine the newest
// may be missing or damaged, and whoever reads checks what it reads. A full disk or a folder that can't be
// written costs the write, and nothing else.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace irismux {

class Store {
public:
    // The store, or one plain line that says why there is none. `most` bytes bound all that it holds.
    static std::variant<Store, std::string> open(const std::string& folder, std::size_t most);
    Store(Store&&) noexcept;
    Store& operator=(Store&&) noexcept;
    ~Store();

    // None: there is no such value, or it can't be read.
    std::optional<std::string> read(std::string_view name) const;
    // One plain line if the value was not written; the former one is still there then.
    std::optional<std::string> write(std::string_view name, std::string_view value);

private:
    class Environment;
    explicit Store(std::unique_ptr<Environment>);
    std::unique_ptr<Environment> environment_;
};

}  // namespace irismux
