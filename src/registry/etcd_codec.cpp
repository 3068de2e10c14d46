#include "registry/etcd_codec.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/json_reader.hpp"

namespace irismux::registry::etcd {
namespace {

constexpr int http_ok = 200, http_unauthorized = 401;
// gRPC status codes, which the field "code" of an error contains.
constexpr int grpc_permission_denied = 7, grpc_out_of_range = 11, grpc_unauthenticated = 16;

// --- encoding

std::string encode_base64(const std::string& bytes) {
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

// Returns the first key after all keys with the prefix.
std::string end_of_prefix(std::string prefix) {
    while (!prefix.empty()) {
        if (static_cast<unsigned char>(prefix.back()) != 0xff) {
            ++prefix.back();
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');  // all keys
}

json encode_key(const std::string& key) { return {{"key", encode_base64(key)}}; }

json encode_prefix_range(const std::string& prefix) {
    return {{"key", encode_base64(prefix)}, {"range_end", encode_base64(end_of_prefix(prefix))}};
}

json encode_put(const std::string& key, const std::string& value, std::int64_t lease) {
    json put = {{"key", encode_base64(key)}, {"value", encode_base64(value)}};
    if (lease != 0) put["lease"] = std::to_string(lease);
    return put;
}

json encode_compare(const KeyValue& compared) {
    const auto& [key, value] = compared;
    json compare = {{"key", encode_base64(key)}, {"result", "EQUAL"}};
    if (value) {
        compare["target"] = "VALUE";
        compare["value"] = encode_base64(*value);
    } else {
        compare["target"] = "CREATE";
        compare["create_revision"] = "0";
    }
    return compare;
}

json encode_write(const KeyValue& write) {
    const auto& [key, value] = write;
    if (!value) return {{"request_delete_range", encode_key(key)}};
    return {{"request_put", encode_put(key, *value, 0)}};
}

json encode_read(const std::string& key) { return {{"request_range", encode_key(key)}}; }

// --- parsing. These functions throw std::exception if the reply does not follow the API.

std::string decode_base64(const std::string& text) {
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    std::string bytes(text.size(), '\0');
    decoder.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (decoder.bad()) throw_parse_error("a key or value is not valid base64");
    bytes.resize(static_cast<std::size_t>(decoder.gcount()));
    return bytes;
}

// Returns 0 for a missing field: etcd omits zeros from its replies.
std::int64_t parse_number(const json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) return 0;
    if (it->is_number_integer()) return it->get<std::int64_t>();
    if (!it->is_string()) throw_parse_error(std::string("field '") + key + "' is not a number");
    const auto& text = it->get_ref<const std::string&>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        throw_parse_error(std::string("field '") + key + "' is not a number");
    return number;
}

ReplyHeader parse_header(const json& reply) {
    const json& fields = require(reply, "header");
    if (!fields.is_object()) throw_parse_error("field 'header' is not an object");
    const auto cluster = fields.find("cluster_id");
    ReplyHeader header;
    if (cluster != fields.end() && cluster->is_string())
        header.cluster = ClusterId{cluster->get<std::string>()};
    header.revision = Revision{parse_number(fields, "revision")};
    return header;
}

Record parse_record(const json& key_value, const std::string& prefix) {
    const std::string key = decode_base64(irismux::get<std::string>(key_value, "key"));
    if (key.compare(0, prefix.size(), prefix) != 0)
        throw_parse_error("a returned key does not begin with the requested prefix");
    return {RecordKey{key.substr(prefix.size())}, decode_base64(get_or<std::string>(key_value, "value", "")),
            Revision{parse_number(key_value, "create_revision")},
            Revision{parse_number(key_value, "mod_revision")}};
}

// Returns the records that the reads of a transaction found, as etcd's JSON objects.
std::vector<json> key_values_of_transaction(const json& reply) {
    std::vector<json> found;
    if (!reply.contains("responses")) return found;
    for (const json& response : get_array(reply, "responses")) {
        if (!response.contains("response_range") || !response["response_range"].contains("kvs")) continue;
        for (const json& key_value : get_array(response["response_range"], "kvs")) found.push_back(key_value);
    }
    return found;
}

Change parse_change(const json& event, const std::string& prefix) {
    const std::string type = get_or<std::string>(event, "type", "PUT");
    if (type != "PUT" && type != "DELETE")
        throw_parse_error("the type of a watch event is neither PUT nor DELETE");
    return {parse_record(require(event, "kv"), prefix), type == "DELETE"};
}

// --- errors

Error make_error(ErrorCode code, std::string message) {
    constexpr std::size_t max_message = 200;
    for (char& c : message)
        if (static_cast<unsigned char>(c) < ' ') c = ' ';
    message.resize(std::min(message.size(), max_message));
    return {code, std::move(message)};
}

ErrorCode error_code(int status, std::int64_t grpc_code, const std::string& message) {
    const auto contains = [&](const char* part) { return message.find(part) != std::string::npos; };
    if (grpc_code == grpc_out_of_range && contains("compacted")) return ErrorCode::compacted;
    if (grpc_code == grpc_out_of_range && contains("future revision")) return ErrorCode::revision_not_reached;
    if (status == http_unauthorized || grpc_code == grpc_unauthenticated ||
        grpc_code == grpc_permission_denied || contains("invalid auth token") ||
        contains("user name is empty"))
        return ErrorCode::unauthenticated;
    return ErrorCode::other;
}

// Parses an error reply in any of its published forms.
Error parse_error(const json& reply, int status) {
    const bool nested = reply.contains("error") && reply["error"].is_object();
    const json& error = nested ? reply["error"] : reply;
    std::string message = "status " + std::to_string(status);
    for (const char* key : {"message", "error"})
        if (const auto it = error.find(key); it != error.end() && it->is_string())
            message = it->get<std::string>();
    std::int64_t grpc_code = 0;
    for (const char* key : {"code", "grpc_code"})
        if (const auto it = error.find(key); it != error.end() && it->is_number_integer())
            grpc_code = it->get<std::int64_t>();
    return make_error(error_code(status, grpc_code, message), message);
}

// Parses a reply with `parse(json)`, which may throw. Error replies and exceptions are returned as an Error.
template <class T, class Parse>
ReadResult<T> read_reply(int status, std::string_view body, Parse parse) {
    const json reply = json::parse(body, nullptr, false);
    if (!reply.is_object())
        return make_error(status == http_ok ? ErrorCode::unreadable : ErrorCode::other,
                          "the reply with status " + std::to_string(status) + " is not JSON");
    try {
        if (status != http_ok || reply.contains("error")) return parse_error(reply, status);
        return parse(reply);
    } catch (const std::exception& e) {
        return make_error(ErrorCode::unreadable, e.what());
    }
}

}  // namespace

// --- requests --------------------------------------------------------------------------------------------

Request range(const std::string& prefix, const std::optional<RecordKey>& after, Revision at,
              std::size_t limit) {
    json body = encode_prefix_range(prefix);
    if (after) body["key"] = encode_base64(prefix + after->raw() + '\0');
    if (at > Revision{}) body["revision"] = std::to_string(at.raw());
    body["limit"] = std::to_string(limit);
    return {"/v3/kv/range", body.dump()};
}

Request most_recently_changed(const std::string& prefix, Revision at, std::size_t limit) {
    json body = encode_prefix_range(prefix);
    body["revision"] = std::to_string(at.raw());
    body["limit"] = std::to_string(limit);
    body["sort_order"] = "DESCEND";
    body["sort_target"] = "MOD";
    return {"/v3/kv/range", body.dump()};
}

Request watch(const std::string& prefix, Revision from) {
    json create = encode_prefix_range(prefix);
    create["start_revision"] = std::to_string(from.raw());
    create["progress_notify"] = true;
    create["fragment"] = true;
    return {"/v3/watch", json{{"create_request", create}}.dump()};
}

Request put(const std::string& key, const std::string& value, std::int64_t lease) {
    return {"/v3/kv/put", encode_put(key, value, lease).dump()};
}

Request put_if(const std::string& key, const std::string& value, Revision unchanged_since,
               std::int64_t lease) {
    // The mod_revision of a record that does not exist is 0.
    const json unchanged = {{"key", encode_base64(key)},
                            {"target", "MOD"},
                            {"result", "EQUAL"},
                            {"mod_revision", std::to_string(unchanged_since.raw())}};
    return {"/v3/kv/txn", json{{"compare", {unchanged}},
                               {"success", {{{"request_put", encode_put(key, value, lease)}}}},
                               {"failure", {encode_read(key)}}}
                              .dump()};
}

Request transaction(const std::vector<KeyValue>& compares, const std::vector<KeyValue>& writes,
                    const std::vector<std::string>& reads) {
    json compare = json::array();
    json success = json::array();
    json failure = json::array();
    for (const KeyValue& compared : compares) {
        compare.push_back(encode_compare(compared));
        failure.push_back(encode_read(compared.first));
    }
    for (const KeyValue& write : writes) success.push_back(encode_write(write));
    for (const std::string& key : reads) success.push_back(encode_read(key));
    return {"/v3/kv/txn", json{{"compare", compare}, {"success", success}, {"failure", failure}}.dump()};
}

Request get(const std::string& key) { return {"/v3/kv/range", encode_key(key).dump()}; }

Request erase(const std::string& key) { return {"/v3/kv/deleterange", encode_key(key).dump()}; }

Request authenticate(const std::string& name, const std::string& password) {
    return {"/v3/auth/authenticate", json{{"name", name}, {"password", password}}.dump()};
}

Request grant(std::int64_t seconds) {
    return {"/v3/lease/grant", json{{"TTL", std::to_string(seconds)}}.dump()};
}

Request keep_alive(std::int64_t lease) {
    return {"/v3/lease/keepalive", json{{"ID", std::to_string(lease)}}.dump()};
}

Request revoke(std::int64_t lease) {
    return {"/v3/lease/revoke", json{{"ID", std::to_string(lease)}}.dump()};
}

// --- replies ---------------------------------------------------------------------------------------------

ReadResult<Range> read_range(int status, std::string_view body, const std::string& prefix) {
    return read_reply<Range>(status, body, [&](const json& reply) -> ReadResult<Range> {
        Range range;
        range.page.header = parse_header(reply);
        range.page.more = get_or(reply, "more", false);
        if (reply.contains("kvs"))
            for (const json& key_value : get_array(reply, "kvs"))
                range.page.records.push_back(parse_record(key_value, prefix));
        range.count = static_cast<std::size_t>(std::max<std::int64_t>(0, parse_number(reply, "count")));
        return range;
    });
}

ReadResult<WatchMessage> read_watch(std::string_view message, const std::string& prefix) {
    return read_reply<WatchMessage>(http_ok, message, [&](const json& reply) -> ReadResult<WatchMessage> {
        const json& result = require(reply, "result");
        WatchMessage update;
        update.header = parse_header(result);
        update.created = get_or(result, "created", false);
        update.fragment = get_or(result, "fragment", false);
        update.canceled = get_or(result, "canceled", false);
        if (update.canceled && parse_number(result, "compact_revision") > 0)
            return make_error(ErrorCode::compacted, "the revision to watch from has been compacted");
        if (result.contains("events"))
            for (const json& event : get_array(result, "events"))
                update.changes.push_back(parse_change(event, prefix));
        return update;
    });
}

ReadResult<std::string> read_token(int status, std::string_view body) {
    return read_reply<std::string>(status, body, [](const json& reply) -> ReadResult<std::string> {
        return irismux::get<std::string>(reply, "token");
    });
}

ReadResult<Lease> read_lease(int status, std::string_view body) {
    return read_reply<Lease>(status, body, [](const json& reply) -> ReadResult<Lease> {
        const json& lease = reply.contains("result") ? reply["result"] : reply;
        return Lease{parse_number(lease, "ID"), parse_number(lease, "TTL")};
    });
}

ReadResult<ConditionalWriteResult> read_conditional_write_result(int status, std::string_view body) {
    using Result = ReadResult<ConditionalWriteResult>;
    return read_reply<ConditionalWriteResult>(status, body, [](const json& reply) -> Result {
        ConditionalWriteResult result;
        result.succeeded = get_or(reply, "succeeded", false);
        if (result.succeeded) return result;
        for (const json& key_value : key_values_of_transaction(reply))
            result.conflicting_value = decode_base64(get_or<std::string>(key_value, "value", ""));
        return result;
    });
}

ReadResult<TransactionResult> read_transaction_result(int status, std::string_view body,
                                                      const std::string& prefix) {
    using Result = ReadResult<TransactionResult>;
    return read_reply<TransactionResult>(status, body, [&](const json& reply) -> Result {
        TransactionResult result;
        result.header = parse_header(reply);
        result.succeeded = get_or(reply, "succeeded", false);
        for (const json& key_value : key_values_of_transaction(reply))
            result.records.push_back(parse_record(key_value, prefix));
        return result;
    });
}

}  // namespace irismux::registry::etcd
