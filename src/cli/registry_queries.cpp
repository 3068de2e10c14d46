#include "cli/registry_queries.hpp"

#include <algorithm>
#include <optional>

namespace irismux::cli {

namespace etcd = registry::etcd;
using registry::Record;
using registry::RecordKey;
using registry::Revision;

etcd::ReadResult<Revision> visit_records(RegistrySession& session, const registry::Settings& settings,
                                         const std::string& prefix,
                                         const std::function<void(const Record&)>& visit) {
    std::optional<RecordKey> after;
    Revision revision;
    for (;;) {
        const Reply reply = session.request(etcd::range(prefix, after, revision, settings.page_size));
        const auto read = etcd::read_range(reply.status, reply.body, prefix);
        if (const auto* error = std::get_if<etcd::Error>(&read)) return *error;
        const registry::Page& page = std::get<etcd::Range>(read).page;
        if (revision == Revision{}) revision = page.header.revision;
        for (const Record& record : page.records) visit(record);
        if (!page.more || page.records.empty()) return revision;
        after = page.records.back().key;
    }
}

etcd::ReadResult<ValuesByKey> read_all(RegistrySession& session, const registry::Settings& settings,
                                       const std::string& prefix) {
    ValuesByKey values;
    const auto read = visit_records(session, settings, prefix,
                                    [&](const Record& record) { values[record.key.raw()] = record.value; });
    if (const auto* error = std::get_if<etcd::Error>(&read)) return *error;
    return values;
}

ValuesByKey read_keys(RegistrySession& session, const registry::Settings& settings,
                      const std::vector<std::string>& keys) {
    constexpr std::size_t max_reads = 120;  // per transaction; a registry accepts up to 128
    ValuesByKey values;
    for (std::size_t first = 0; first < keys.size(); first += max_reads) {
        std::vector<std::string> reads;
        for (std::size_t n = first; n < std::min(keys.size(), first + max_reads); ++n)
            reads.push_back(settings.prefix + keys[n]);
        const Reply reply = session.request(etcd::transaction({}, {}, reads));
        const auto result =
            value_or_throw(etcd::read_transaction_result(reply.status, reply.body, settings.prefix));
        for (const Record& record : result.records) values[record.key.raw()] = record.value;
    }
    return values;
}

etcd::ReadResult<Record> read_record(RegistrySession& session, const registry::Settings& settings,
                                     const std::string& key) {
    const Reply reply = session.request(etcd::get(settings.prefix + key));
    const auto read = etcd::read_range(reply.status, reply.body, settings.prefix);
    if (const auto* error = std::get_if<etcd::Error>(&read)) return *error;
    const auto& records = std::get<etcd::Range>(read).page.records;
    return records.empty() ? Record{} : records.front();
}

}  // namespace irismux::cli
