// Runs a Watch without a registry. The harness records the pending request of the Watch and keeps the
// endpoints that the Watch reports; the test supplies the replies and the time.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "registry/watch.hpp"
#include "testing/known_endpoints.hpp"
#include "testing/registry_model.hpp"

namespace irismux::registry::testing {

using test_support::endpoint_value;
using test_support::RegistryModel;

constexpr Duration ms = Duration::micros(1000);
inline TimePoint start_time() { return TimePoint::at_seconds(1000); }

inline Record record(const std::string& id, const std::string& value, std::int64_t created,
                     std::int64_t modified) {
    return {RecordKey{id}, value, Revision{created}, Revision{modified}};
}

class WatchHarness final : public WatchTransport, public WatchObserver {
public:
    explicit WatchHarness(std::size_t members = 3, std::uint64_t seed = 1)
        : watch(*this, *this, policy(members), seed) {}

    static PollPolicy policy(std::size_t members) {
        PollPolicy policy;
        policy.members = members;
        return policy;
    }

    enum class Request { none, read_page, check_revision, watch };
    Request pending_request = Request::none;
    MemberIndex member;
    std::optional<RecordKey> after_key;
    Revision requested_revision;
    TimePoint wake_at, now = start_time();
    test_support::KnownEndpoints endpoints;
    std::vector<WatchWarningKind> warnings;
    std::vector<SyncState> states;
    Watch watch;

    void read_page(MemberIndex target, const std::optional<RecordKey>& previous_key,
                   Revision revision) override {
        after_key = previous_key;
        set_request(Request::read_page, target, revision);
    }
    void check_revision(MemberIndex target, Revision revision) override {
        set_request(Request::check_revision, target, revision);
    }
    void open_watch(MemberIndex target, Revision revision) override {
        set_request(Request::watch, target, revision);
    }
    void close() override { pending_request = Request::none; }
    void schedule_wake(TimePoint time) override { wake_at = time; }
    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& updates, bool complete) override {
        test_support::apply(endpoints, updates, complete);
    }
    void on_sync_state(TimePoint, SyncState state, TimePoint) override { states.push_back(state); }
    void on_watch_warning(const WatchWarning& warning) override { warnings.push_back(warning.kind); }

    // Advances the time and runs each wake that is due within the duration.
    void advance(Duration duration) {
        const TimePoint until = now + duration;
        while (wake_at > now && wake_at <= until) {
            now = wake_at;
            watch.on_wake(now);
        }
        now = until;
    }
    void advance_to_request() {
        for (int n = 0; n < 100 && pending_request == Request::none; ++n) {
            now = wake_at;
            watch.on_wake(now);
        }
        ASSERT_NE(pending_request, Request::none);
    }

    // Builds the reply header of a registry member that has the newest revision.
    ReplyHeader header(const RegistryModel& registry) const {
        return {registry.cluster(), registry.newest()};
    }
    Page page(const RegistryModel& registry, std::size_t max_records = 1000) const {
        return page_at(registry, requested_revision == Revision{} ? registry.newest() : requested_revision,
                       max_records);
    }
    // Builds a page of the given revision, which must not be compacted.
    Page page_at(const RegistryModel& registry, Revision revision, std::size_t max_records) const {
        Page result;
        result.header = {registry.cluster(), revision};
        for (const auto& [key, stored] : *registry.at(revision)) {
            if (after_key && key <= *after_key) continue;
            if (result.records.size() == max_records) {
                result.more = true;
                return result;
            }
            result.records.push_back(stored);
        }
        return result;
    }
    void reply_to_full_read(const RegistryModel& registry) {
        watch.on_page(now, page(registry));
        ASSERT_EQ(pending_request, Request::watch);
        watch.on_watch_opened(now, header(registry));
    }
    void reply_to_check(const RegistryModel& registry) {
        const RegistryModel::State* state = registry.at(requested_revision);
        if (!state) return watch.on_compacted(now);
        std::vector<Record> newest;
        for (const auto& [key, stored] : *state) newest.push_back(stored);
        std::sort(newest.begin(), newest.end(),
                  [](const Record& x, const Record& y) { return x.modified > y.modified; });
        newest.resize(std::min(newest.size(), max_checked_records));
        watch.on_check_result(now, header(registry), state->size(), newest);
    }
    void deliver_changes(const RegistryModel& registry) {
        watch.on_changes(now, header(registry), *registry.changes(requested_revision, registry.newest()),
                         false);
    }

private:
    void set_request(Request request, MemberIndex target, Revision revision) {
        pending_request = request;
        member = target;
        requested_revision = revision;
    }
};

inline RegistryModel model_of(std::size_t caches) {
    RegistryModel registry;
    for (std::size_t n = 1; n <= caches; ++n)
        registry.put("c" + std::to_string(n), endpoint_value("c" + std::to_string(n), "Ready"));
    return registry;
}

}  // namespace irismux::registry::testing
