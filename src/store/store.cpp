#include "store/store.hpp"

#include <lmdb.h>

#include <filesystem>
#include <utility>

namespace irismux {
namespace {

MDB_val to_mdb_val(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }

// Returns whether the file has all pages that its own header counts. Reading a missing page of a truncated
// file would end the process with SIGBUS.
bool has_all_pages(MDB_env* env, const std::string& folder) {
    MDB_envinfo info{};
    MDB_stat stat{};
    if (mdb_env_info(env, &info) != 0 || mdb_env_stat(env, &stat) != 0) return false;
    std::error_code failed;
    const auto size = std::filesystem::file_size(folder + "/data.mdb", failed);
    return !failed && size >= (info.me_last_pgno + 1) * stat.ms_psize;
}

// A transaction that is aborted on destruction unless it has been committed.
class Transaction {
public:
    Transaction() = default;
    ~Transaction() {
        if (handle_) mdb_txn_abort(handle_);
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;

    // begin() and commit() return LMDB's error code, 0 on success.
    int begin(MDB_env* env, unsigned int flags) { return mdb_txn_begin(env, nullptr, flags, &handle_); }
    int commit() { return mdb_txn_commit(std::exchange(handle_, nullptr)); }
    MDB_txn* handle() const { return handle_; }

private:
    MDB_txn* handle_ = nullptr;
};

}  // namespace

std::string_view StoreError::reason() const {
    constexpr std::string_view names[] = {"open_failed", "truncated", "write_failed"};
    return names[static_cast<std::size_t>(code)];
}

class Store::Environment {
public:
    static std::variant<std::unique_ptr<Environment>, StoreError> open(const std::string& folder,
                                                                       std::size_t max_bytes) {
        // The error is ignored here: if the folder could not be created, LMDB reports an error when it opens
        // the folder.
        std::error_code ignored;
        std::filesystem::create_directories(folder, ignored);
        auto environment = std::make_unique<Environment>(folder);
        if (const int error = environment->open_file(max_bytes))
            return environment->make_error(StoreError::Code::open_failed, error);
        if (!has_all_pages(environment->env_, folder))
            return StoreError{StoreError::Code::truncated, folder, {}};
        if (const int error = environment->open_database())
            return environment->make_error(StoreError::Code::open_failed, error);
        return environment;
    }

    explicit Environment(std::string folder) : folder_(std::move(folder)) {}
    ~Environment() {
        if (env_) mdb_env_close(env_);
    }
    Environment(const Environment&) = delete;
    Environment& operator=(const Environment&) = delete;

    // Returns LMDB's error code, 0 on success.
    int put(std::string_view name, std::string_view value) {
        Transaction transaction;
        if (const int error = transaction.begin(env_, 0)) return error;
        MDB_val key = to_mdb_val(name);
        MDB_val data = to_mdb_val(value);
        if (const int error = mdb_put(transaction.handle(), database_, &key, &data, 0)) return error;
        return transaction.commit();
    }

    std::optional<std::string> get(std::string_view name) const {
        Transaction transaction;
        if (transaction.begin(env_, MDB_RDONLY) != 0) return std::nullopt;
        MDB_val key = to_mdb_val(name);
        MDB_val data{};
        if (mdb_get(transaction.handle(), database_, &key, &data) != 0) return std::nullopt;
        return std::string(static_cast<const char*>(data.mv_data), data.mv_size);
    }

    StoreError make_error(StoreError::Code code, int error) const {
        return {code, folder_, mdb_strerror(error)};
    }

private:
    int open_file(std::size_t max_bytes) {
        constexpr mdb_mode_t file_mode = 0640;
        if (const int error = mdb_env_create(&env_)) return error;
        if (const int error = mdb_env_set_mapsize(env_, max_bytes)) return error;
        return mdb_env_open(env_, folder_.c_str(), MDB_NOSYNC | MDB_NOTLS, file_mode);
    }
    int open_database() {
        Transaction transaction;
        if (const int error = transaction.begin(env_, 0)) return error;
        if (const int error = mdb_dbi_open(transaction.handle(), nullptr, 0, &database_)) return error;
        return transaction.commit();
    }

    std::string folder_;
    MDB_env* env_ = nullptr;
    MDB_dbi database_ = 0;
};

std::variant<Store, StoreError> Store::open(const std::string& folder, std::size_t max_bytes) {
    auto opened = Environment::open(folder, max_bytes);
    if (auto* error = std::get_if<StoreError>(&opened)) return std::move(*error);
    return Store(std::get<std::unique_ptr<Environment>>(std::move(opened)));
}

Store::Store(std::unique_ptr<Environment> environment) : environment_(std::move(environment)) {}
Store::Store(Store&&) noexcept = default;
Store& Store::operator=(Store&&) noexcept = default;
Store::~Store() = default;

std::optional<std::string> Store::read(std::string_view name) const { return environment_->get(name); }

std::variant<Store::Written, StoreError> Store::write(std::string_view name, std::string_view value) {
    const int error = environment_->put(name, value);
    if (error != 0) return environment_->make_error(StoreError::Code::write_failed, error);
    return Written{};
}

}  // namespace irismux
