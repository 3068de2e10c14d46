// etcd's interface, version 3, through its HTTP/JSON gateway: requests written, answers read. Pure functions
// of bytes.
//
// Source: the published API of etcd 3.4 and later (services KV, Watch, Lease, Auth; paths under /v3/). 64-bit
// numbers travel as text, bytes as base64. What can't be read is an error in plain words, never an exception.
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

struct Request {
    std::string target;
    std::string body;
};

enum class ErrorCode {
    none,
    unreadable,            // not what the interface says
    compacted,             // the revision asked for is gone
    revision_not_reached,  // the revision asked for has not been reached
    refused,               // credentials are missing, wrong or no longer good
    other
};

struct Error {
    ErrorCode code = ErrorCode::none;
    std::string message;  // one line, at most 200 characters
};

template <class T>
using ReadResult = std::variant<T, Error>;

// All records under a prefix, by key; behind `after` if there is one; at a revision, or at the newest if it
// is zero.
Request range(const std::string& prefix, const std::optional<RecordKey>& after, Revision at,
              std::size_t most);
// How many there are at a revision, with the `most` of them that were changed last.
Request most_recently_changed(const std::string& prefix, Revision at, std::size_t most);
Request watch(const std::string& prefix, Revision from);
Request put(const std::string& key, const std::string& value, std::int64_t lease);
// Where `unchanged_since` is what last changed the record; zero: where there is none.
Request put_if(const std::string& key, const std::string& value, Revision unchanged_since,
               std::int64_t lease);
// A transaction: writes only if each key that it holds has that value (none: is not there), and shows the
// records of `shows`; if not, those of all that it holds. A write of none takes the record away.
using KeyValue = std::pair<std::string, std::optional<std::string>>;
Request transaction(const std::vector<KeyValue>& holds, const std::vector<KeyValue>& writes,
                    const std::vector<std::string>& shows);
Request get(const std::string& key);
Request erase(const std::string& key);
Request authenticate(const std::string& name, const std::string& password);
Request grant(std::int64_t seconds);
Request keep_alive(std::int64_t lease);
Request revoke(std::int64_t lease);

struct Range {
    Page page;
    std::size_t count = 0;  // all there are, also those beyond the page
};
ReadResult<Range> read_range(int status, std::string_view body, const std::string& prefix);

// One message of a watch.
struct WatchMessage {
    Origin origin;
    bool created = false, fragment = false;
    bool canceled = false;  // the watch is over
    std::vector<Change> changes;
};
// `compacted` where the watch asked for what is gone.
ReadResult<WatchMessage> read_watch(std::string_view message, const std::string& prefix);

ReadResult<std::string> read_token(int status, std::string_view body);
struct Lease {
    std::int64_t id = 0;
    std::int64_t seconds = 0;  // zero: it has run out
};
ReadResult<Lease> read_lease(int status, std::string_view body);
// Whether a txn's condition held; of what stood in its way, the value.
struct ConditionalWriteResult {
    bool succeeded = false;
    std::string conflicting_value;
};
ReadResult<ConditionalWriteResult> read_conditional_write_result(int status, std::string_view body);
struct TransactionResult {
    Origin origin;
    bool succeeded = false;
    std::vector<Record> records;  // those that are there
};
ReadResult<TransactionResult> read_transaction_result(int status, std::string_view body,
                                                      const std::string& prefix);

}  // namespace irismux::registry::etcd
