#include "codec/client_protocol.hpp"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

#include "codec/fastcgi.hpp"
#include "codec/parse_number.hpp"

namespace irismux::client_protocol {
namespace {

constexpr std::string_view request_path_prefix = "/api/v2/";
constexpr std::string_view health_check_path = "/-/healthy";
constexpr std::size_t max_idempotency_key_bytes = 128;

struct ErrorDescription {
    int status_code;
    std::string_view status_text;
    std::string_view reason;  // name of the error in logs
};

ErrorDescription describe(RequestError error) {
    switch (error) {
        case RequestError::record_too_long:
            return {413, "Content Too Large", "record_too_long"};
        case RequestError::parameters_too_long:
            return {431, "Request Header Fields Too Large", "parameters_too_long"};
        case RequestError::body_too_long:
            return {413, "Content Too Large", "body_too_long"};
        case RequestError::incomplete_in_time:
            return {408, "Request Timeout", "incomplete_in_time"};
        case RequestError::request_memory_full:
            return {503, "Service Unavailable", "request_memory_full"};
        case RequestError::connections_full:
            return {503, "Service Unavailable", "connection_limit"};
        case RequestError::unreadable_parameters:
            return {400, "Bad Request", "unreadable_parameters"};
        case RequestError::unknown_path:
            return {404, "Not Found", "unknown_path"};
        case RequestError::unknown_kind:
            return {404, "Not Found", "unknown_kind"};
        case RequestError::invalid_field:
            return {400, "Bad Request", "invalid_field"};
        case RequestError::id_in_use:
            return {409, "Conflict", "id_in_use"};
        case RequestError::duplicate_request:
            return {409, "Conflict", "duplicate_request"};
    }
    return {400, "Bad Request", "unknown"};
}

bool is_hex_id(std::string_view text) {
    return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

// The idempotency key is passed on to caches in a list of fields, in which commas and equals signs are
// separators.
bool is_idempotency_key(std::string_view text) {
    return !text.empty() && text.size() <= max_idempotency_key_bytes &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~';
           });
}

// The parameters of a request by name. A parameter that is looked up may occur only once.
class Parameters {
public:
    explicit Parameters(const fastcgi::Pairs& pairs) : pairs_(pairs) {}

    std::optional<std::string_view> find(std::string_view wanted) {
        std::optional<std::string_view> found;
        for (const auto& [name, value] : pairs_) {
            if (name != wanted) continue;
            has_duplicates_ = has_duplicates_ || found;
            found = value;
        }
        return found;
    }
    std::string_view get(std::string_view name) { return find(name).value_or(std::string_view{}); }
    // Whether any of the parameters that have been looked up so far occurs more than once.
    bool has_duplicates() const { return has_duplicates_; }

private:
    const fastcgi::Pairs& pairs_;
    bool has_duplicates_ = false;
};

// Protects the router and the caches from invalid input: no field is used before all fields have been
// checked.
// @return std::nullopt if a field is missing, malformed, out of range, or given twice.
std::optional<ClientRequest> parse_fields(Parameters& parameters, const ServedKind& kind, std::string body,
                                          TimePoint now) {
    const auto timeout_ms = parse_number<std::int64_t>(parameters.get("HTTP_X_TIMEOUT_MS"));
    const auto purge_group = parse_number<std::uint8_t>(parameters.get("HTTP_X_FAMILY"));
    const std::string_view object = parameters.get("HTTP_X_OBJECT");
    const std::string_view id = parameters.get("HTTP_X_REQUEST_ID");
    const std::string_view object_part = parameters.get("HTTP_X_BLOCK");
    const auto retry = parameters.find("HTTP_X_RETRY");
    const auto client_etag = parameters.find("HTTP_X_CACHED");
    const auto idempotency_key = parameters.find("HTTP_IDEMPOTENCY_KEY");
    const auto content_length = parameters.find("CONTENT_LENGTH");

    if (!is_hex_id(id) || !is_hex_id(object)) return std::nullopt;
    if (!timeout_ms || !purge_group || !parse_number<std::uint32_t>(object_part)) return std::nullopt;
    if (*timeout_ms < 1 || Duration::micros((*timeout_ms - 1) * 1000) > kind.deadline) return std::nullopt;
    if (retry && *retry != "1") return std::nullopt;
    if (client_etag && !is_hex_id(*client_etag)) return std::nullopt;
    if (idempotency_key && !is_idempotency_key(*idempotency_key)) return std::nullopt;
    const bool length_given = content_length && !content_length->empty();
    if (length_given && parse_number<std::size_t>(*content_length) != body.size()) return std::nullopt;
    if (!kind.is_write && !body.empty()) return std::nullopt;
    if (parameters.has_duplicates()) return std::nullopt;

    ClientRequest client_request;
    client_request.object_part = object_part;
    client_request.client_etag = client_etag.value_or(std::string_view{});
    client_request.idempotency_key = idempotency_key.value_or(std::string_view{});
    client_request.body = std::move(body);
    client_request.client_request_id = ClientRequestId{std::string(id)};
    Request& request = client_request.request;
    request.kind = kind.index;
    request.is_write = kind.is_write;
    request.object = ObjectName{std::string(object)};
    request.purge_group = PurgeGroupId{*purge_group};
    request.deadline = now + Duration::micros(*timeout_ms * 1000);
    request.is_client_retry = retry.has_value();
    return client_request;
}

std::string status_line(int code, std::string_view text) {
    return std::string("Status: ").append(std::to_string(code)).append(" ").append(text).append("\r\n");
}

}  // namespace

std::string_view to_string(RequestError error) { return describe(error).reason; }
int status_code(RequestError error) { return describe(error).status_code; }

ParsedRequest parse_request(std::string_view parameter_bytes, std::string body, const ServedKinds& kinds,
                            TimePoint now) {
    fastcgi::Pairs pairs;
    if (fastcgi::parse_pairs(parameter_bytes, pairs) != ParseStatus::complete)
        return RequestError::unreadable_parameters;
    Parameters parameters(pairs);
    const std::string_view path = parameters.get("SCRIPT_NAME");
    if (path == health_check_path && !parameters.has_duplicates()) return HealthCheck{};
    if (!path.starts_with(request_path_prefix)) return RequestError::unknown_path;
    const std::string kind_name(path.substr(request_path_prefix.size()));
    const auto kind = kinds.find(kind_name);
    if (kind == kinds.end()) return RequestError::unknown_kind;
    auto client_request = parse_fields(parameters, kind->second, std::move(body), now);
    if (!client_request) return RequestError::invalid_field;
    client_request->kind_name = kind_name;
    return *std::move(client_request);
}

std::string response_head(std::size_t body_bytes) {
    return status_line(200, "OK") + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

std::string not_modified_head() { return status_line(200, "OK") + "X-Keep: 1\r\n\r\n"; }

std::string rejection_head(Duration retry_after) {
    std::string head = status_line(503, "Service Unavailable");
    if (retry_after > Duration{})
        head += "Retry-After-Ms: " + std::to_string((retry_after.micros() + 999) / 1000) + "\r\n";
    return head + "\r\n";
}

std::string failure_head() { return status_line(502, "Bad Gateway") + "\r\n"; }

std::string healthy_head() { return status_line(200, "OK") + "\r\n"; }

std::string error_head(RequestError error) {
    const ErrorDescription description = describe(error);
    return status_line(description.status_code, description.status_text) + "\r\n";
}

std::variant<std::string, RequestError> get_values_reply(std::string_view requested,
                                                         std::size_t max_connections) {
    fastcgi::Pairs names;
    if (fastcgi::parse_pairs(requested, names) != ParseStatus::complete)
        return RequestError::unreadable_parameters;
    std::string reply;
    for (const auto& [name, value] : names) {
        if (name == "FCGI_MAX_CONNS") fastcgi::write_pair(reply, name, std::to_string(max_connections));
        if (name == "FCGI_MAX_REQS")
            fastcgi::write_pair(reply, name, std::to_string(max_connections * max_open_requests));
        if (name == "FCGI_MPXS_CONNS") fastcgi::write_pair(reply, name, "1");
    }
    return reply;
}

}  // namespace irismux::client_protocol
