// Encodes requests to the HTTP/JSON gateway of etcd's API, version 3, and parses its replies. Does no I/O.
//
// Source: the published API of etcd 3.4 and later (services KV, Watch, Lease, Auth; paths under /v3/). 64-bit
// numbers are encoded as text, bytes as base64. A reply that cannot be parsed is returned as an Error, never
// thrown as an exception.
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

/// An HTTP request with the method POST.
struct Request {
    std::string target;
    std::string body;
};

enum class ErrorCode {
    unreadable,            ///< the reply does not follow the API
    compacted,             ///< the requested revision has been compacted
    revision_not_reached,  ///< the registry member has not reached the requested revision
    unauthenticated,       ///< credentials are missing, wrong or expired
    other
};

struct Error {
    ErrorCode code = ErrorCode::other;
    std::string message;  ///< one line, at most 200 characters
};

template <class T>
using ReadResult = std::variant<T, Error>;

// --- requests. Keys include the prefix; prefixes are those of the settings.

/// Reads records under a prefix, in order of their keys.
/// @param after the key after which to begin; std::nullopt: begin with the first record.
/// @param at the revision to read; zero: the newest.
Request range(const std::string& prefix, const std::optional<RecordKey>& after, Revision at,
              std::size_t limit);
/// Reads the number of records at a revision, and the `limit` most recently changed records.
Request most_recently_changed(const std::string& prefix, Revision at, std::size_t limit);
Request watch(const std::string& prefix, Revision from);
/// @param lease the id of the lease to attach; zero: none.
Request put(const std::string& key, const std::string& value, std::int64_t lease);
/// Puts a record only if it was last changed at revision `unchanged_since`; zero: only if it does not exist.
Request put_if(const std::string& key, const std::string& value, Revision unchanged_since,
               std::int64_t lease);

/// A key and its value. If the value is std::nullopt, a comparison expects that there is no such record, and
/// a write deletes the record.
using KeyValue = std::pair<std::string, std::optional<std::string>>;
/// Writes only if all compared records have the given values. The reply contains the records of `reads`, or,
/// if a comparison failed, the compared records.
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
    std::size_t count = 0;  ///< number of all records, including those beyond the page
};
[[nodiscard]] ReadResult<Range> read_range(int status, std::string_view body, const std::string& prefix);

/// One message of a watch.
struct WatchMessage {
    ReplyHeader header;
    bool created = false;   ///< the watch is open
    bool fragment = false;  ///< more changes of the last revision follow
    bool canceled = false;  ///< the watch has ended
    std::vector<Change> changes;
};
/// @return ErrorCode::compacted if the watch begins at a revision that has been compacted.
[[nodiscard]] ReadResult<WatchMessage> read_watch(std::string_view message, const std::string& prefix);

[[nodiscard]] ReadResult<std::string> read_token(int status, std::string_view body);

struct Lease {
    std::int64_t id = 0;
    std::int64_t seconds = 0;  ///< time to live; zero: expired
};
[[nodiscard]] ReadResult<Lease> read_lease(int status, std::string_view body);

struct ConditionalWriteResult {
    bool succeeded = false;
    std::string conflicting_value;  ///< the record's value if the condition did not hold
};
[[nodiscard]] ReadResult<ConditionalWriteResult> read_conditional_write_result(int status,
                                                                               std::string_view body);

struct TransactionResult {
    ReplyHeader header;
    bool succeeded = false;
    std::vector<Record> records;  ///< the existing records that were read or compared
};
[[nodiscard]] ReadResult<TransactionResult> read_transaction_result(int status, std::string_view body,
                                                                    const std::string& prefix);

}  // namespace irismux::registry::etcd
