/// Sends transactions to the registry, one at a time, over a connection of its own.
#pragma once

#include <optional>
#include <vector>

#include "fleet/applied_revisions.hpp"
#include "fleet/transaction.hpp"
#include "registry/registry_connection.hpp"

namespace irismux::fleet {

/// Who is told about a TransactionClient's transactions. Never called from within submit().
class TransactionObserver {
public:
    virtual ~TransactionObserver() = default;
    /// The registry's answer, as of a revision. `records`: see Transaction.
    virtual void on_transaction_result(registry::Revision, bool succeeded,
                                       const std::vector<KeyValue>& records) = 0;
    /// There will be no answer: the transaction may have landed, may still land, or never.
    virtual void on_transaction_lost() = 0;
};

/// After a lost connection or a missing answer the next transaction goes to the registry's next member.
class TransactionClient final : private registry::ReplyHandler {
public:
    /// The settings and the observer must outlive it. `first_member`: of the registry, to be asked first.
    TransactionClient(EventLoop& loop, TransactionObserver& observer, const registry::Settings& settings,
                      SiteName site, registry::MemberIndex first_member);

    /// Replaces the transaction under way, whose result is not delivered any more.
    void submit(const Transaction& transaction);

private:
    // registry::ReplyHandler
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
