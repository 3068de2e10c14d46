#include "fleet/transaction_client.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "fleet/record_paths.hpp"

namespace irismux::fleet {

namespace etcd = registry::etcd;

TransactionClient::TransactionClient(EventLoop& loop, TransactionObserver& observer,
                                     const registry::Settings& settings, SiteName site,
                                     registry::MemberIndex first_member)
    : observer_(observer),
      settings_(settings),
      site_(std::move(site)),
      connection_(loop, *this, settings),
      member_(first_member) {}

void TransactionClient::submit(const Transaction& transaction) {
    // The previous transaction has had no reply, so the registry member to which it was sent may hang.
    if (pending_) use_next_member();
    pending_ = transaction;
    const auto path = [&](const Key& key) { return settings_.prefix + path_of(key, site_); };
    std::vector<etcd::KeyValue> compares;
    std::vector<etcd::KeyValue> writes;
    std::vector<std::string> reads;
    for (const auto& [key, value] : transaction.compares) compares.emplace_back(path(key), value);
    for (const auto& [key, value] : transaction.writes) writes.emplace_back(path(key), value);
    for (const Key& key : transaction.reads) reads.push_back(path(key));
    connection_.send_request(member_, etcd::transaction(compares, writes, reads), registry::ReplyForm::whole);
}

void TransactionClient::use_next_member() {
    member_ = registry::MemberIndex{(member_.raw() + 1) % settings_.members.size()};
}

std::vector<KeyValue> TransactionClient::records_shown(const Transaction& transaction,
                                                       const etcd::TransactionResult& result) const {
    std::vector<KeyValue> shown;
    const auto show = [&](const Key& key) {
        const std::string path = path_of(key, site_);
        const auto it = std::find_if(result.records.begin(), result.records.end(),
                                     [&](const auto& record) { return record.key.raw() == path; });
        shown.emplace_back(key, it == result.records.end() ? RecordValue{} : RecordValue{it->value});
    };
    if (result.succeeded)
        for (const Key& key : transaction.reads) show(key);
    else
        for (const auto& [key, value] : transaction.compares) show(key);
    return shown;
}

void TransactionClient::on_reply(int status, const std::string& body) {
    const auto reply = etcd::read_transaction_result(status, body, settings_.prefix);
    if (const auto* error = std::get_if<etcd::Error>(&reply)) {
        if (error->code == etcd::ErrorCode::unauthenticated && connection_.retry_with_new_token()) return;
        return on_request_failed({registry::RequestFailureReason::error_reply, error->message});
    }
    if (!pending_) return;
    const auto& result = std::get<etcd::TransactionResult>(reply);
    const Transaction transaction = *std::exchange(pending_, std::nullopt);
    observer_.on_transaction_result(result.header.revision, result.succeeded,
                                    records_shown(transaction, result));
}

void TransactionClient::on_request_failed(const registry::RequestFailure&) {
    connection_.close();
    use_next_member();
    if (!pending_) return;
    pending_.reset();
    observer_.on_transaction_lost();
}

}  // namespace irismux::fleet
