// etcd's interface, version 3, by its HTTP/JSON gateway: requests encoded, replies parsed. No I/O.
//
// Source: the published API of etcd 3.4 and later (services KV, Watch, Lease, Auth; paths under /v3/). 64-bit
// numbers travel as text, bytes as base64. A reply that cannot be parsed is an Error, never an exception.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "registry/record.hpp"

namespace irismux::registry::etcd {

/// An HTTP POST.
struct Request {
    std::string target;
    std::string body;
};

enum class ErrorCode {
    unreadable,            ///< not as the interface says
    compacted,             ///< the revision requested is gone
    revision_not_reached,  ///< the member has not reached the revision requested
    unauthenticated,       ///< credentials are missing, wrong or expired
    other
};

struct Error {
    ErrorCode code = ErrorCode::other;
    std::string message;  ///< one line, at most 200 characters
};

template <class T>
using ReadResult = std::variant<T, Error>;

// --- requests. Keys are whole, prefixes are those of the settings.

/// Records under a prefix, by key.
/// @param after only those behind it; none: from the first.
/// @param at the revision; zero: the newest.
Request range(const std::string& prefix, const std::optional<RecordKey>& after, Revision at,
              std::size_t limit);
/// The number of records at a revision, with up to `limit` of them, the most recently changed ones.
Request most_recently_changed(const std::string& prefix, Revision at, std::size_t limit);
Request watch(const std::string& prefix, Revision from);
/// @param lease zero: none.
Request put(const std::string& key, const std::string& value, std::int64_t lease);
/// A put, only if the record was last changed by that revision; zero: only if there is none.
Request put_if(const std::string& key, const std::string& value, Revision unchanged_since,
               std::int64_t lease);

using KeyValue = std::pair<std::string, std::optional<std::string>>;  ///< no value: no such record
/// Writes only if all records compared have the values given. The reply has the records read, or, if a
/// comparison failed, those compared.
Request transaction(const std::vector<KeyValue>& compares, const std::vector<KeyValue>& writes,
                    const std::vector<std::string>& reads);
Request get(const std::string& key);
Request erase(const std::string& key);
Request authenticate(const std::string& name, const std::string& password);
Request grant(std::int64_t seconds);
Request keep_alive(std::int64_t lease);
Request revoke(std::int64_t lease);

// --- replies, by HTTP status and body

struct Range {
    Page page;
    std::size_t count = 0;  ///< of all records, also those beyond the page
};
[[nodiscard]] ReadResult<Range> read_range(int status, std::string_view body, const std::string& prefix);

/// One message of a watch.
struct WatchMessage {
    ReplyHeader header;
    bool created = false;   ///< the watch is open
    bool fragment = false;  ///< more changes of the last revision follow
    bool canceled = false;  ///< the watch is over
    std::vector<Change> changes;
};
/// ErrorCode::compacted if the watch begins at a revision that is gone.
[[nodiscard]] ReadResult<WatchMessage> read_watch(std::string_view message, const std::string& prefix);

[[nodiscard]] ReadResult<std::string> read_token(int status, std::string_view body);

struct Lease {
    std::int64_t id = 0;
    std::int64_t seconds = 0;  ///< time to live; zero: expired
};
[[nodiscard]] ReadResult<Lease> read_lease(int status, std::string_view body);

struct ConditionalWriteResult {
    bool succeeded = false;
    std::string conflicting_value;  ///< of the record, if the condition did not hold
};
[[nodiscard]] ReadResult<ConditionalWriteResult> read_conditional_write_result(int status,
                                                                               std::string_view body);

struct TransactionResult {
    ReplyHeader header;
    bool succeeded = false;
    std::vector<Record> records;  ///< those that exist
};
[[nodiscard]] ReadResult<TransactionResult> read_transaction_result(int status, std::string_view body,
                                                                    const std::string& prefix);

}  // namespace irismux::registry::etcd
