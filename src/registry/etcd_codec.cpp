#include "registry/etcd_codec.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/json_reader.hpp"

namespace irismux::registry::etcd {
namespace {

constexpr std::size_t most_words = 200;
// Codes of the published gRPC status, as they stand in an error's "code".
constexpr int code_out_of_range = 11, code_unauthenticated = 16, code_denied = 7;

std::string base64(const std::string& bytes) {
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

// Throws on what is no base64.
std::string plain(const std::string& coded) {
    std::istringstream in(coded);
    Poco::Base64Decoder decoder(in);
    std::string bytes(coded.size(), '\0');
    decoder.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (decoder.bad()) bad("bytes that are no base64");
    bytes.resize(static_cast<std::size_t>(decoder.gcount()));
    return bytes;
}

// The first key behind all that begin with the prefix.
std::string behind(std::string prefix) {
    while (!prefix.empty()) {
        if (static_cast<unsigned char>(prefix.back()) != 0xff) {
            ++prefix.back();
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');  // all keys
}

std::int64_t number(const json& o, const char* key) {
    const auto it = o.find(key);
    if (it == o.end() || it->is_null()) return 0;  // what is zero is left out
    if (it->is_number_integer()) return it->get<std::int64_t>();
    if (!it->is_string()) bad(std::string("field '") + key + "' is not a number");
    const auto& text = it->get_ref<const std::string&>();
    std::int64_t n = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (error != std::errc{} || end != text.data() + text.size())
        bad(std::string("field '") + key + "' is not a number");
    return n;
}

Origin origin(const json& o) {
    const json& header = need(o, "header");
    if (!header.is_object()) bad("field 'header' is not an object");
    const auto cluster = header.find("cluster_id");
    Origin from;
    if (cluster != header.end() && cluster->is_string())
        from.cluster = ClusterId{cluster->get<std::string>()};
    from.revision = Revision{number(header, "revision")};
    return from;
}

Record record(const json& kv, const std::string& prefix) {
    const std::string key = plain(irismux::get<std::string>(kv, "key"));
    if (key.compare(0, prefix.size(), prefix) != 0) bad("a key outside the prefix");
    return {RecordKey{key.substr(prefix.size())}, plain(get_or<std::string>(kv, "value", "")),
            Revision{number(kv, "create_revision")}, Revision{number(kv, "mod_revision")}};
}

Error problem(ErrorCode fault, std::string words) {
    for (char& c : words)
        if (static_cast<unsigned char>(c) < ' ') c = ' ';
    words.resize(std::min(words.size(), most_words));
    return {fault, std::move(words)};
}

// What an error says, in whichever of its published forms.
Error said_problem(const json& o, int status) {
    const json& e = o.contains("error") && o["error"].is_object() ? o["error"] : o;
    std::string words = "status " + std::to_string(status);
    for (const char* key : {"message", "error"})
        if (const auto it = e.find(key); it != e.end() && it->is_string()) words = it->get<std::string>();
    std::int64_t code = 0;
    for (const char* key : {"code", "grpc_code"})
        if (const auto it = e.find(key); it != e.end() && it->is_number_integer())
            code = it->get<std::int64_t>();
    const auto says = [&](const char* part) { return words.find(part) != std::string::npos; };
    if (code == code_out_of_range && says("compacted")) return problem(ErrorCode::compacted, words);
    if (code == code_out_of_range && says("future revision"))
        return problem(ErrorCode::revision_not_reached, words);
    if (status == 401 || code == code_unauthenticated || code == code_denied || says("invalid auth token") ||
        says("user name is empty"))
        return problem(ErrorCode::refused, words);
    return problem(ErrorCode::other, words);
}

// Reads an answer, or says why not.
template <class T, class Step>
ReadResult<T> reading(int status, std::string_view body, Step step) {
    const json o = json::parse(body, nullptr, false);
    if (!o.is_object())
        return problem(status == 200 ? ErrorCode::unreadable : ErrorCode::other,
                       "status " + std::to_string(status) + ", not JSON");
    try {
        if (status != 200 || o.contains("error")) return said_problem(o, status);
        return step(o);
    } catch (const std::exception& e) {
        return problem(ErrorCode::unreadable, e.what());
    }
}

json keys(const std::string& prefix) {
    return {{"key", base64(prefix)}, {"range_end", base64(behind(prefix))}};
}
std::string text(std::int64_t n) { return std::to_string(n); }

}  // namespace

Request range(const std::string& prefix, const std::optional<RecordKey>& after, Revision at,
              std::size_t most) {
    json body = keys(prefix);
    if (after) body["key"] = base64(prefix + after->raw() + '\0');
    if (at > Revision{}) body["revision"] = text(at.raw());
    body["limit"] = std::to_string(most);
    return {"/v3/kv/range", body.dump()};
}

Request most_recently_changed(const std::string& prefix, Revision at, std::size_t most) {
    json body = keys(prefix);
    body["revision"] = text(at.raw());
    body["limit"] = std::to_string(most);
    body["sort_order"] = "DESCEND";
    body["sort_target"] = "MOD";
    return {"/v3/kv/range", body.dump()};
}

Request watch(const std::string& prefix, Revision from) {
    json create = keys(prefix);
    create["start_revision"] = text(from.raw());
    create["progress_notify"] = true;
    create["fragment"] = true;
    return {"/v3/watch", json{{"create_request", create}}.dump()};
}

Request put(const std::string& key, const std::string& value, std::int64_t lease) {
    json body = {{"key", base64(key)}, {"value", base64(value)}};
    if (lease != 0) body["lease"] = text(lease);
    return {"/v3/kv/put", body.dump()};
}

Request put_if(const std::string& key, const std::string& value, Revision unchanged_since,
               std::int64_t lease) {
    json write = {{"key", base64(key)}, {"value", base64(value)}};
    if (lease != 0) write["lease"] = text(lease);
    // A record that is not there has been changed by revision 0.
    const json as_was = {{"key", base64(key)},
                         {"target", "MOD"},
                         {"result", "EQUAL"},
                         {"mod_revision", text(unchanged_since.raw())}};
    return {"/v3/kv/txn", json{{"compare", {as_was}},
                               {"success", {{{"request_put", write}}}},
                               {"failure", {{{"request_range", {{"key", base64(key)}}}}}}}
                              .dump()};
}

Request transaction(const std::vector<KeyValue>& holds, const std::vector<KeyValue>& writes,
                    const std::vector<std::string>& shows) {
    const auto look = [](const std::string& key) { return json{{"request_range", {{"key", base64(key)}}}}; };
    json compare = json::array(), success = json::array(), failure = json::array();
    for (const auto& [key, value] : holds) {
        json c = {{"key", base64(key)}, {"result", "EQUAL"}};
        if (value) {
            c["target"] = "VALUE";
            c["value"] = base64(*value);
        } else {
            c["target"] = "CREATE";
            c["create_revision"] = "0";
        }
        compare.push_back(c);
        failure.push_back(look(key));
    }
    for (const auto& [key, value] : writes)
        success.push_back(value ? json{{"request_put", {{"key", base64(key)}, {"value", base64(*value)}}}}
                                : json{{"request_delete_range", {{"key", base64(key)}}}});
    for (const std::string& key : shows) success.push_back(look(key));
    return {"/v3/kv/txn", json{{"compare", compare}, {"success", success}, {"failure", failure}}.dump()};
}

Request get(const std::string& key) { return {"/v3/kv/range", json{{"key", base64(key)}}.dump()}; }

Request erase(const std::string& key) { return {"/v3/kv/deleterange", json{{"key", base64(key)}}.dump()}; }
Request authenticate(const std::string& name, const std::string& password) {
    return {"/v3/auth/authenticate", json{{"name", name}, {"password", password}}.dump()};
}
Request grant(std::int64_t seconds) { return {"/v3/lease/grant", json{{"TTL", text(seconds)}}.dump()}; }
Request keep_alive(std::int64_t lease) { return {"/v3/lease/keepalive", json{{"ID", text(lease)}}.dump()}; }
Request revoke(std::int64_t lease) { return {"/v3/lease/revoke", json{{"ID", text(lease)}}.dump()}; }

ReadResult<Range> read_range(int status, std::string_view body, const std::string& prefix) {
    return reading<Range>(status, body, [&](const json& o) -> ReadResult<Range> {
        Range r;
        r.page.origin = origin(o);
        r.page.more = get_or(o, "more", false);
        if (o.contains("kvs"))
            for (const json& kv : list_of(o, "kvs")) r.page.records.push_back(record(kv, prefix));
        r.count = static_cast<std::size_t>(std::max<std::int64_t>(0, number(o, "count")));
        return r;
    });
}

ReadResult<WatchMessage> read_watch(std::string_view message, const std::string& prefix) {
    return reading<WatchMessage>(200, message, [&](const json& o) -> ReadResult<WatchMessage> {
        const json& result = need(o, "result");
        WatchMessage s;
        s.origin = origin(result);
        s.created = get_or(result, "created", false);
        s.fragment = get_or(result, "fragment", false);
        s.canceled = get_or(result, "canceled", false);
        if (s.canceled && number(result, "compact_revision") > 0)
            return problem(ErrorCode::compacted, "the revision to watch from has been compacted");
        if (result.contains("events"))
            for (const json& e : list_of(result, "events")) {
                const std::string type = get_or<std::string>(e, "type", "PUT");
                if (type != "PUT" && type != "DELETE") bad("an event that is neither PUT nor DELETE");
                s.changes.push_back({record(need(e, "kv"), prefix), type == "DELETE"});
            }
        return s;
    });
}

ReadResult<std::string> read_token(int status, std::string_view body) {
    return reading<std::string>(status, body, [](const json& o) -> ReadResult<std::string> {
        return irismux::get<std::string>(o, "token");
    });
}

ReadResult<Lease> read_lease(int status, std::string_view body) {
    return reading<Lease>(status, body, [](const json& o) -> ReadResult<Lease> {
        const json& r = o.contains("result") ? o["result"] : o;
        return Lease{number(r, "ID"), number(r, "TTL")};
    });
}

ReadResult<ConditionalWriteResult> read_conditional_write_result(int status, std::string_view body) {
    return reading<ConditionalWriteResult>(
        status, body, [](const json& o) -> ReadResult<ConditionalWriteResult> {
            ConditionalWriteResult out;
            out.succeeded = get_or(o, "succeeded", false);
            if (out.succeeded || !o.contains("responses")) return out;
            for (const json& r : list_of(o, "responses"))
                if (r.contains("response_range") && r["response_range"].contains("kvs"))
                    for (const json& kv : list_of(r["response_range"], "kvs"))
                        out.conflicting_value = plain(get_or<std::string>(kv, "value", ""));
            return out;
        });
}

ReadResult<TransactionResult> read_transaction_result(int status, std::string_view body,
                                                      const std::string& prefix) {
    return reading<TransactionResult>(status, body, [&](const json& o) -> ReadResult<TransactionResult> {
        TransactionResult out;
        out.origin = origin(o);
        out.succeeded = get_or(o, "succeeded", false);
        if (!o.contains("responses")) return out;
        for (const json& r : list_of(o, "responses"))
            if (r.contains("response_range") && r["response_range"].contains("kvs"))
                for (const json& kv : list_of(r["response_range"], "kvs"))
                    out.records.push_back(record(kv, prefix));
        return out;
    });
}

}  // namespace irismux::registry::etcd
