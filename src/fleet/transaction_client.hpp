/// Sends transactions to the registry, one at a time, over its own connection.
#pragma once

#include <optional>
#include <vector>

#include "fleet/applied_revisions.hpp"
#include "fleet/transaction.hpp"
#include "registry/registry_connection.hpp"

namespace irismux::fleet {

/// Observer of a TransactionClient's transactions. The observer's functions are never called from within
/// submit().
class TransactionObserver {
public:
    virtual ~TransactionObserver() = default;
    /// Called with the registry's reply and the revision of that reply. `records` are the records shown by
    /// the result, see Transaction.
    virtual void on_transaction_result(registry::Revision, bool succeeded,
                                       const std::vector<KeyValue>& records) = 0;
    /// Called if the transaction will have no result, because the request has failed or the reply reports an
    /// error. The registry may have committed the transaction, may commit it later, or may never commit it.
    virtual void on_transaction_lost() = 0;
};

/// After a lost connection or a missing reply the next transaction is sent to the next registry member.
class TransactionClient final : private registry::ReplyHandler {
public:
    /// The settings and the observer must outlive the client. `first_member` is the registry member that gets
    /// the first transaction.
    TransactionClient(EventLoop& loop, TransactionObserver& observer, const registry::Settings& settings,
                      SiteName site, registry::MemberIndex first_member);

    /// Submits a transaction, which replaces the transaction in flight. The result of the replaced
    /// transaction is no longer delivered.
    void submit(const Transaction& transaction);

private:
    // Functions of registry::ReplyHandler:
    void on_reply(int status, const std::string& body) override;
    void on_stream_message(std::string_view) override {}
    void on_message_too_long() override {}
    void on_request_failed(const registry::RequestFailure&) override;

    void use_next_member();
    std::vector<KeyValue> records_shown(const Transaction& transaction,
                                        const registry::etcd::TransactionResult& result) const;

    TransactionObserver& observer_;
    const registry::Settings& settings_;
    SiteName site_;
    registry::RegistryConnection connection_;
    registry::MemberIndex member_;
    std::optional<Transaction> pending_;
};

}  // namespace irismux::fleet
