#include "store/store.hpp"

#include <lmdb.h>

#include <filesystem>

namespace irismux {
namespace {

MDB_val bytes_of(std::string_view s) { return {s.size(), const_cast<char*>(s.data())}; }

std::string words(const std::string& what, int error) { return what + ": " + mdb_strerror(error); }

// Whether the file holds every page that its own record of pages names: one that was cut short would end the
// process (SIGBUS) when such a page is read.
bool whole(MDB_env* env, const std::string& folder) {
    MDB_envinfo info{};
    MDB_stat stat{};
    if (mdb_env_info(env, &info) != 0 || mdb_env_stat(env, &stat) != 0) return false;
    std::error_code failed;
    const auto size = std::filesystem::file_size(folder + "/data.mdb", failed);
    return !failed && size >= (info.me_last_pgno + 1) * stat.ms_psize;
}

}  // namespace

class Store::Environment {
public:
    Environment() = default;
    Environment(const Environment&) = delete;
    Environment& operator=(const Environment&) = delete;
    ~Environment() {
        if (env) mdb_env_close(env);
    }
    MDB_env* env = nullptr;
    MDB_dbi all = 0;
};

std::variant<Store, std::string> Store::open(const std::string& folder, std::size_t most) {
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    auto made = std::make_unique<Environment>();
    int error = mdb_env_create(&made->env);
    if (error == 0) error = mdb_env_set_mapsize(made->env, most);
    if (error == 0) error = mdb_env_open(made->env, folder.c_str(), MDB_NOSYNC | MDB_NOTLS, 0640);
    if (error == 0 && !whole(made->env, folder)) return "no store in " + folder + ": its file was cut short";
    MDB_txn* txn = nullptr;
    if (error == 0) error = mdb_txn_begin(made->env, nullptr, 0, &txn);
    if (error == 0) error = mdb_dbi_open(txn, nullptr, 0, &made->all);
    if (error == 0)
        error = mdb_txn_commit(txn);
    else if (txn)
        mdb_txn_abort(txn);
    if (error != 0) return words("no store in " + folder, error);
    return Store(std::move(made));
}

Store::Store(std::unique_ptr<Environment> environment) : environment_(std::move(environment)) {}
Store::Store(Store&&) noexcept = default;
Store& Store::operator=(Store&&) noexcept = default;
Store::~Store() = default;

std::optional<std::string> Store::read(std::string_view name) const {
    MDB_txn* txn = nullptr;
    if (mdb_txn_begin(environment_->env, nullptr, MDB_RDONLY, &txn) != 0) return std::nullopt;
    MDB_val key = bytes_of(name), value{};
    std::optional<std::string> found;
    if (mdb_get(txn, environment_->all, &key, &value) == 0)
        found.emplace(static_cast<const char*>(value.mv_data), value.mv_size);
    mdb_txn_abort(txn);
    return found;
}

std::optional<std::string> Store::write(std::string_view name, std::string_view value) {
    MDB_txn* txn = nullptr;
    int error = mdb_txn_begin(environment_->env, nullptr, 0, &txn);
    if (error != 0) return words("not stored", error);
    MDB_val key = bytes_of(name), said = bytes_of(value);
    error = mdb_put(txn, environment_->all, &key, &said, 0);
    if (error == 0)
        error = mdb_txn_commit(txn);
    else
        mdb_txn_abort(txn);
    if (error != 0) return words("not stored", error);
    return std::nullopt;
}

}  // namespace irismux
