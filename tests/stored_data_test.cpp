// Tests the data that the program stores in its own folders and in the key-value registry. The tests read
// files that an earlier version of the program wrote and compare the values, and write the same data again
// and compare the bytes.
#include <nlohmann/json.hpp>

#include "fleet/applied_revisions.hpp"
#include "fleet/digest.hpp"
#include "fleet/fence.hpp"
#include "fleet/fleet_client.hpp"
#include "fleet/records.hpp"
#include "golden.hpp"
#include "registry/endpoint_snapshot.hpp"
#include "store/store.hpp"
#include "testing/fake_registry.hpp"
#include "testing/fake_services.hpp"
#include "testing/process.hpp"

namespace irismux::testing {
namespace {

namespace fs = std::filesystem;
using namespace fleet;

constexpr std::size_t small_store = std::size_t{64} * 1024;  // size limit in bytes
const TimePoint kept_at = TimePoint{} + Duration::micros(1'790'000'000'123'456);
const std::string kept_owner = "plant /caches/";
const Duration hour = Duration::micros(3'600'000'000);

const std::string full_line =
    R"({"addr":"127.0.0.1:7101","cell":3,"id":"c1","kind":"node","started_ms":1789990000123,)"
    R"("state":"Ready","weight":1.5,"zone":"plant"})";
const std::string draining_line = R"({"id":"c2","state":"Terminating"})";

registry::EndpointView view_to_keep() {
    registry::EndpointView view;
    view.replace(registry::Revision{41},
                 {{registry::RecordKey{"c1"}, full_line, registry::Revision{7}, registry::Revision{40}},
                  {registry::RecordKey{"c2"}, draining_line, registry::Revision{9}, registry::Revision{9}},
                  {registry::RecordKey{"c3"}, "not JSON", registry::Revision{11}, registry::Revision{12}}},
                 kept_at);
    return view;
}

Fence fence_to_store() {
    Fence fence;
    fence.on_record(DutyName{"sweep"}, {FencingToken{5}, MemberName{"g1"}, Incarnation{101}});
    fence.on_record(DutyName{"watch/c1"}, {FencingToken{9}, MemberName{"g2"}, Incarnation{102}});
    fence.on_record(DutyName{"digest"}, {FencingToken{3}, MemberName{""}, Incarnation{0}});
    fence.on_record(DutyName{"watch/gone"}, {FencingToken{8}, MemberName{"g3"}, Incarnation{103}});
    fence.forget(DutyName{"watch/gone"});
    return fence;
}

void expect_fence(const Fence& fence) {
    EXPECT_EQ(fence.highest(DutyName{"sweep"}), FencingToken{5});
    EXPECT_EQ(fence.highest(DutyName{"watch/c1"}), FencingToken{9});
    EXPECT_EQ(fence.highest(DutyName{"digest"}), FencingToken{3});
    const auto conflict = [&](const char* duty, std::int64_t token, const char* owner, std::int64_t start) {
        return fence.conflicting_token(DutyName{duty},
                                       {FencingToken{token}, MemberName{owner}, Incarnation{start}});
    };
    EXPECT_EQ(conflict("sweep", 5, "g1", 101), FencingToken{})
        << "the fence reports a conflict for the holder itself";
    EXPECT_EQ(conflict("sweep", 5, "g2", 101), FencingToken{5})
        << "the fence does not report token 5 as the conflict of another owner";
    EXPECT_EQ(conflict("watch/c1", 9, "g2", 102), FencingToken{});
    EXPECT_EQ(conflict("watch/c1", 9, "g2", 103), FencingToken{9})
        << "the fence does not report token 9 as the conflict of another incarnation";
    EXPECT_EQ(conflict("digest", 3, "", 0), FencingToken{});
}

void expect_floor_of_forgotten_duties(const Fence& fence) {
    Fence later = fence;
    EXPECT_FALSE(later.accepts(DutyName{"new"}, {FencingToken{8}, MemberName{"g1"}, Incarnation{101}}))
        << "the fence accepted token 8, which is not above the highest token of the forgotten duties";
    EXPECT_TRUE(later.accepts(DutyName{"new"}, {FencingToken{9}, MemberName{"g1"}, Incarnation{101}}));
}

// --- the endpoint list that is saved for the next start

// An endpoint list that an earlier version saved must be read with unchanged values. The file has two
// endpoints; a record that could not be parsed was omitted when the list was saved.
TEST(StoredData, AKeptListIsReadBack) {
    const auto read =
        registry::parse_snapshot(golden("stored/kept_list.bin"), kept_owner, kept_at + hour, hour);
    const auto* kept = std::get_if<registry::EndpointSnapshot>(&read);
    ASSERT_TRUE(kept) << to_string(std::get<registry::SnapshotError>(read));
    EXPECT_EQ(kept->cluster, registry::ClusterId{"14841639068965178418"});
    EXPECT_EQ(kept->revision, registry::Revision{41});
    EXPECT_EQ(kept->as_of, kept_at);
    ASSERT_EQ(kept->records.size(), 2u);
    EXPECT_EQ(kept->records[0].key, registry::RecordKey{"c1"});
    EXPECT_EQ(kept->records[0].value, full_line);
    EXPECT_EQ(kept->records[0].created, registry::Revision{7});
    EXPECT_EQ(kept->records[0].modified, registry::Revision{40});
    EXPECT_EQ(kept->records[1].key, registry::RecordKey{"c2"});
    EXPECT_EQ(kept->records[1].value, draining_line);
    EXPECT_EQ(kept->records[1].created, registry::Revision{9});
    EXPECT_EQ(kept->records[1].modified, registry::Revision{9});
}

// Saving the same endpoint list must write the same bytes as the earlier version.
TEST(StoredData, AKeptListIsWrittenAsBefore) {
    expect_golden("stored/kept_list.bin",
                  registry::serialize_snapshot(view_to_keep(), registry::ClusterId{"14841639068965178418"},
                                               kept_at, kept_owner));
}

// A saved endpoint list must be refused if one of its bytes has changed, if it belongs to another owner, if
// it is too old, or if its time is in the future.
TEST(StoredData, AKeptListThatIsDamagedOrAnothersIsRefused) {
    const std::string bytes = golden("stored/kept_list.bin");
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        std::string damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 1);
        EXPECT_EQ(
            std::get<registry::SnapshotError>(registry::parse_snapshot(damaged, kept_owner, kept_at, hour)),
            registry::SnapshotError::checksum_mismatch)
            << "the change of byte " << n << " was not reported as a wrong checksum";
    }
    const auto why = [&](const std::string& owner, TimePoint now) {
        const auto read = registry::parse_snapshot(bytes, owner, now, hour);
        return std::get<registry::SnapshotError>(read);
    };
    EXPECT_EQ(why("hub /caches/", kept_at), registry::SnapshotError::other_owner);
    EXPECT_EQ(why(kept_owner, kept_at + hour + Duration::micros(1)), registry::SnapshotError::too_old);
    EXPECT_EQ(why(kept_owner, kept_at - Duration::micros(1)), registry::SnapshotError::from_future);
}

// --- the fencing tokens seen

// Restores the tokens of three duties and of a forgotten duty, which an earlier version stored. The fence
// must refuse and accept the same holders as before, and must write the tokens as the same bytes.
TEST(StoredData, TheTokensSeenAreReadBackAndWrittenAsBefore) {
    expect_golden("stored/fleet_tokens_seen.json", fence_to_store().serialize());
    Fence fence;
    ASSERT_TRUE(fence.restore(golden("stored/fleet_tokens_seen.json")));
    expect_fence(fence);
    expect_floor_of_forgotten_duties(fence);
    EXPECT_EQ(fence.serialize(), golden("stored/fleet_tokens_seen.json"));
}

// --- the embedded store

// Opens copies of the store folders of an earlier version. The values must be stored under the names that the
// gateway uses, and it must be possible to overwrite them.
TEST(StoredData, AStoreOfAnEarlierProgramIsReadBack) {
    TemporaryFolder folder;
    fs::copy(golden_path("stored/store_list"), folder.path() + "/list", fs::copy_options::recursive);
    fs::copy(golden_path("stored/store_fleet"), folder.path() + "/fleet", fs::copy_options::recursive);
    auto list = Store::open(folder.path() + "/list", small_store);
    ASSERT_TRUE(std::holds_alternative<Store>(list)) << std::get<StoreError>(list).detail;
    EXPECT_EQ(std::get<Store>(list).read("registry list"), golden("stored/kept_list.bin"));
    auto opened = Store::open(folder.path() + "/fleet", small_store);
    ASSERT_TRUE(std::holds_alternative<Store>(opened)) << std::get<StoreError>(opened).detail;
    Store& store = std::get<Store>(opened);
    EXPECT_EQ(store.read("fleet epochs seen"), golden("stored/fleet_tokens_seen.json"));
    EXPECT_EQ(store.read("fleet last start"), "5000000");
    EXPECT_EQ(store.read("no such name"), std::nullopt);
    EXPECT_TRUE(std::holds_alternative<Store::Written>(store.write("fleet last start", "5000001")));
    EXPECT_EQ(store.read("fleet last start"), "5000001");
    EXPECT_EQ(store.read("fleet epochs seen"), golden("stored/fleet_tokens_seen.json"));
}

// --- the records of the fleet in the registry

const MemberRecord member{Incarnation{101},
                          InstanceId{"11.22.33.44"},
                          "0.3.0",
                          {{DutyName{"sweep"}, FencingToken{5}}, {DutyName{"watch/c1"}, FencingToken{9}}},
                          {CacheId{"c1"}, CacheId{"c2"}}};
const MemberRecord plain_member{Incarnation{102}, InstanceId{"5.6.7.8"}, "0.3.0", {}, {}};
const HeartbeatRecord heartbeat{Incarnation{101}, InstanceId{"11.22.33.44"}, HeartbeatNumber{77}};
const AppliedRevisions applied_revisions{{4, "12.34"}, EventNumber{2049}, ConfigurationNumber{17}};
const Instance owner{MemberName{"g1"}, Incarnation{101}};

Digest digest_to_write() {
    Digest d;
    d.owner = MemberName{"g1"};
    d.owner_id = "11.22.33.44";
    d.as_of_heartbeat = 78;
    d.as_of_unix_ms = 1'790'000'000'123;
    d.generation = {4, "12.34"};
    d.history_lost = d.roster_incomplete = true;
    d.known_count = 5;
    d.live_count = 3;
    d.lowest = EventNumber{2047};
    d.highest = EventNumber{2049};
    d.lowest_configuration = ConfigurationNumber{16};
    d.absent = {{MemberName{"g4"}, 1'789'999'999'000}, {MemberName{"g5"}, 1'789'999'998'000}};
    d.absent_count = 2;
    d.lagging = {{MemberName{"g2"}, EventNumber{2047}, ConfigurationNumber{17}}};
    d.lagging_count = 1;
    d.ejected_caches = {{CacheId{"c1"}, 3}, {CacheId{"c2"}, 1}};
    return d;
}

Digest plain_digest() {
    Digest d;
    d.owner = MemberName{"g1"};
    d.owner_id = "11.22.33.44";
    d.as_of_heartbeat = 1;
    return d;
}

// Returns a record of each kind that the fleet writes, with the record's path after the fleet's prefix.
NamedValues fleet_records() {
    const SiteName none, site{"north-1"};
    const MemberName g1{"g1"}, g2{"g2"};
    AppliedRevisions with_lost_history = applied_revisions;
    with_lost_history.history_lost = true;
    return {
        {path_of(shared_config_key(), none),
         serialize(SharedConfig{"north", Duration::micros(12'000'000), 0.01})},
        {path_of(member_key(g1), none), serialize(member)},
        {path_of(member_key(g2), none), serialize(plain_member)},
        {path_of(heartbeat_key(g1), none), serialize(heartbeat)},
        {path_of(duty_key(DutyName{"sweep"}), none),
         serialize(DutyRecord{FencingToken{5}, g1, Incarnation{101}})},
        {path_of(duty_key(health_check_duty(CacheId{"c1"})), none),
         serialize(DutyRecord{FencingToken{9}, MemberName{}, Incarnation{}})},
        {path_of(floor_key(), none), serialize_floor(FencingToken{8})},
        {path_of(release_key(DutyName{"sweep"}), none), serialize(owner)},
        {path_of(collection_progress_key(), none),
         serialize(CollectionProgress{FencingToken{5}, owner, 12, 34, "duty/watch/c1"})},
        {path_of(health_record_key(CacheId{"c1"}), none),
         serialize(HealthRecord{FencingToken{9}, owner, true, 6})},
        {path_of(generation_key(), site), serialize(applied_revisions.generation)},
        {path_of(digest_key(), site), serialize(digest_to_write())},
        {path_of(digest_key(), SiteName{"north-2"}), serialize(plain_digest())},
        {path_of(roster_key(), site), serialize(SiteRoster{{g1, g2}, false})},
        {path_of(roster_key(), SiteName{"north-2"}), serialize(SiteRoster{{g1}, true})},
        {path_of(member_key(g1), site), serialize(member)},
        {path_of(heartbeat_key(g1), site), with_applied_revisions(serialize(heartbeat), applied_revisions)},
        {path_of(heartbeat_key(g2), site), with_applied_revisions(serialize(heartbeat), with_lost_history)},
        {path_of(duty_key(digest_duty()), site),
         serialize(DutyRecord{FencingToken{3}, g1, Incarnation{101}})},
    };
}

std::string fleet_record(const std::string& path) { return golden_value("stored/fleet_records.txt", path); }

// The fleet's records must be written with the same paths and bytes as an earlier version wrote them.
TEST(StoredData, FleetRecordsAreWrittenAsBefore) {
    expect_golden("stored/fleet_records.txt", text_of(fleet_records()));
    const std::string prefixes = watched_prefix("/fleet/") + '\n' + digest_prefix("/fleet/") + '\n' +
                                 site_prefix("/fleet/", SiteName{"north-1"}) + '\n';
    EXPECT_EQ(prefixes, "/fleet/roll/\n/fleet/digest/\n/fleet/site/north-1/\n");
}

// The paths of the fleet's records must be parsed to the same names as by an earlier version.
TEST(StoredData, FleetPathsAreReadBack) {
    EXPECT_EQ(member_of(key_at("roll/member/g1")), MemberName{"g1"});
    EXPECT_EQ(heartbeat_owner(key_at("beat/g1")), MemberName{"g1"});
    EXPECT_EQ(duty_of(key_at("roll/duty/sweep")), DutyName{"sweep"});
    EXPECT_EQ(health_check_cache(*duty_of(key_at("roll/duty/watch/c1"))), CacheId{"c1"});
    EXPECT_EQ(released_duty_of(key_at("roll/aside/sweep")), DutyName{"sweep"});
    EXPECT_EQ(health_record_cache(key_at("roll/seen/c1")), CacheId{"c1"});
}

// Member and heartbeat records that an earlier version wrote must be parsed to unchanged values.
TEST(StoredData, MembersAndHeartbeatsAreReadBack) {
    const auto m = parse_member(fleet_record("roll/member/g1"));
    ASSERT_TRUE(m);
    EXPECT_EQ(m->incarnation, Incarnation{101});
    EXPECT_EQ(m->instance_id, InstanceId{"11.22.33.44"});
    EXPECT_EQ(m->version, "0.3.0");
    EXPECT_EQ(m->refused_tokens, member.refused_tokens);
    EXPECT_EQ(m->ejected_caches, member.ejected_caches);
    const auto plain = parse_member(fleet_record("roll/member/g2"));
    ASSERT_TRUE(plain);
    EXPECT_EQ(plain->incarnation, Incarnation{102});
    EXPECT_TRUE(plain->refused_tokens.empty() && plain->ejected_caches.empty());
    for (const std::string path : {"beat/g1", "site/north-1/beat/g1"}) {
        const auto b = parse_heartbeat(fleet_record(path));
        ASSERT_TRUE(b) << path;
        EXPECT_EQ(b->incarnation, Incarnation{101});
        EXPECT_EQ(b->instance_id, InstanceId{"11.22.33.44"});
        EXPECT_EQ(b->number, HeartbeatNumber{77});
    }
}

// The applied revisions in heartbeats that an earlier version wrote must be parsed to unchanged values. A
// heartbeat without applied revisions must give no value.
TEST(StoredData, AcknowledgementsAreReadBack) {
    EXPECT_EQ(parse_applied_revisions(fleet_record("beat/g1")), std::nullopt);
    EXPECT_EQ(parse_applied_revisions(fleet_record("site/north-1/beat/g1")), applied_revisions);
    AppliedRevisions with_lost_history = applied_revisions;
    with_lost_history.history_lost = true;
    EXPECT_EQ(parse_applied_revisions(fleet_record("site/north-1/beat/g2")), with_lost_history);
    EXPECT_EQ(parse_generation(fleet_record("generation")), applied_revisions.generation);
}

// Duty records, the floor and a release that an earlier version wrote must be parsed to unchanged values.
TEST(StoredData, DutiesAreReadBack) {
    const auto owned = parse_duty(fleet_record("roll/duty/sweep"));
    ASSERT_TRUE(owned);
    EXPECT_EQ(owned->token, FencingToken{5});
    EXPECT_EQ(owned->owner, MemberName{"g1"});
    EXPECT_EQ(owned->incarnation, Incarnation{101});
    const auto given_up = parse_duty(fleet_record("roll/duty/watch/c1"));
    ASSERT_TRUE(given_up);
    EXPECT_EQ(given_up->token, FencingToken{9});
    EXPECT_EQ(given_up->owner, MemberName{});
    EXPECT_EQ(parse_floor(fleet_record("roll/floor")), FencingToken{8});
    EXPECT_EQ(parse_release(fleet_record("roll/aside/sweep")), owner);
}

// The records in which owners of duties publish their results must be parsed to the values that an earlier
// version wrote.
TEST(StoredData, ResultsOfDutiesAreReadBack) {
    const auto progress = parse_collection_progress(fleet_record("roll/swept"));
    ASSERT_TRUE(progress);
    EXPECT_EQ(progress->token, FencingToken{5});
    EXPECT_EQ(progress->owner, owner);
    EXPECT_EQ(progress->pass, 12);
    EXPECT_EQ(progress->removed_records, 34);
    EXPECT_EQ(progress->last_key, "duty/watch/c1");
    const auto probed = parse_health_record(fleet_record("roll/seen/c1"));
    ASSERT_TRUE(probed);
    EXPECT_EQ(probed->token, FencingToken{9});
    EXPECT_EQ(probed->owner, owner);
    EXPECT_TRUE(probed->healthy);
    EXPECT_EQ(probed->streak, 6);
}

// Digests and rosters of two sites that an earlier version wrote must be parsed to unchanged values.
TEST(StoredData, DigestsAndRostersAreReadBack) {
    const Digest is = digest_to_write();
    const auto d = parse_digest(fleet_record("digest/north-1"));
    ASSERT_TRUE(d);
    EXPECT_EQ(d->owner, is.owner);
    EXPECT_EQ(d->owner_id, is.owner_id);
    EXPECT_EQ(std::pair(d->as_of_heartbeat, d->as_of_unix_ms),
              std::pair(is.as_of_heartbeat, is.as_of_unix_ms));
    EXPECT_EQ(d->generation, is.generation);
    EXPECT_TRUE(d->history_lost && d->roster_incomplete);
    EXPECT_EQ(std::pair(d->known_count, d->live_count), std::pair(is.known_count, is.live_count));
    EXPECT_EQ(std::pair(d->lowest, d->highest), std::pair(is.lowest, is.highest));
    EXPECT_EQ(d->lowest_configuration, is.lowest_configuration);
    EXPECT_EQ(d->absent, is.absent);
    EXPECT_EQ(d->lagging, is.lagging);
    EXPECT_EQ(std::pair(d->absent_count, d->lagging_count), std::pair(is.absent_count, is.lagging_count));
    EXPECT_EQ(d->ejected_caches, is.ejected_caches);
    const auto plain = parse_digest(fleet_record("digest/north-2"));
    ASSERT_TRUE(plain);
    EXPECT_EQ(plain->as_of_heartbeat, 1);
    EXPECT_FALSE(plain->history_lost || plain->roster_incomplete);
    EXPECT_TRUE(plain->absent.empty() && plain->lagging.empty() && plain->ejected_caches.empty());
    EXPECT_EQ(parse_site_roster(fleet_record("site/north-1/roll/roster")),
              (SiteRoster{{MemberName{"g1"}, MemberName{"g2"}}, false}));
    EXPECT_EQ(parse_site_roster(fleet_record("site/north-2/roll/roster")),
              (SiteRoster{{MemberName{"g1"}}, true}));
}

// --- records of endpoints in the registry

// The file stored/list_records.txt has three endpoint records that an earlier version wrote: c1 with a value
// for every field, a draining endpoint c2 and a removed endpoint c4. Each record must be parsed to the values
// that the earlier version wrote.
TEST(StoredData, LinesOfTheListAreReadBack) {
    const auto line = [](const std::string& id) {
        return registry::parse_endpoint(
            {registry::RecordKey{id}, golden_value("stored/list_records.txt", id), {}, {}});
    };
    const auto full = line("c1");
    ASSERT_TRUE(full);
    EXPECT_EQ(full->first.cache, CacheId{"c1"});
    EXPECT_EQ(full->first.location, LocationId{"plant"});
    EXPECT_EQ(full->first.machine_type, MachineType{"node"});
    EXPECT_EQ(full->first.cell, CellId{3});
    EXPECT_EQ(full->first.weight, 1.5);
    EXPECT_EQ(full->first.status, EndpointStatus::active);
    EXPECT_EQ(full->first.started_at, time_from_unix_ms(1'789'990'000'123));
    EXPECT_EQ(full->second, "127.0.0.1:7101");
    const auto draining = line("c2");
    ASSERT_TRUE(draining);
    EXPECT_EQ(draining->first.status, EndpointStatus::draining);
    EXPECT_EQ(draining->first.weight, 1.0);
    EXPECT_EQ(draining->second, "");
    const auto gone = line("c4");
    ASSERT_TRUE(gone);
    EXPECT_EQ(gone->first.status, EndpointStatus::removed);
}

// --- data stored by processes of the program

// Provides a registry with one member, a notice board, and a folder with the files that a process needs.
class StoredByProcess : public ::testing::Test {
protected:
    EventLoop loop;
    test_support::FakeRegistry registry_{loop, 1, Duration::micros(20'000)};
    test_support::FakeNoticeBoard board{loop};
    TemporaryFolder folder;
    std::unique_ptr<test_support::Process> gateway;
    test_support::LoopRunner stretches{
        loop};  // declared last: no field above may be destroyed while the loop runs

    std::string value(const std::string& key) const {
        const auto* state = registry_.model.at(registry_.model.newest());
        const auto it = state->find(registry::RecordKey{key});
        return it == state->end() ? "" : it->second.value;
    }
    std::string write_parts() const {
        std::string path = folder.path() + "/parts.toml";
        std::ofstream(path) << "[registry]\nmembers = [\"" << registry_.address(0)
                            << "\"]\nprefix = \"/caches/\"\nkeep_in = \"" << folder.path()
                            << "/list\"\n[fleet]\ninstallation = \"north\"\nname = \"g1\"\nprefix = "
                               "\"/fleet/\"\nterm = \"800ms\"\nkeep_in = \""
                            << folder.path() << "/fleet\"\n";
        return path;
    }
    int run(const std::vector<std::string>& words) {
        std::vector<std::string> all = {IRISMUX_PROGRAM, "registry", "--parts", write_parts()};
        all.insert(all.end(), words.begin(), words.end());
        test_support::Process p({all, {"PATH=/usr/bin:/bin"}, "", folder.path() + "/out"});
        EXPECT_TRUE(stretches.run_until([&] { return !p.running(); }));
        return p.status().value_or(-1);
    }
    void start_gateway() {
        board.post({{"pool", {{"version", 1}, {"full", true}, {"servers", nlohmann::json::array()}}}});
        const std::string path = folder.path() + "/config.json";
        std::ofstream(path)
            << test_support::configuration("127.0.0.1:0", board.address(), board.known()).dump();
        gateway = std::make_unique<test_support::Process>(
            test_support::Process::Options{{IRISMUX_PROGRAM, "serve", "--parts", write_parts()},
                                           {"NODE_CONFIG=" + path},
                                           "",
                                           folder.path() + "/log"});
    }
    void start_in_place_of_an_earlier_one() {
        fs::copy(golden_path("stored/store_fleet"), folder.path() + "/fleet", fs::copy_options::recursive);
        registry_.model.put("/caches/c1", full_line);
        registry_.publish();
        start_gateway();
    }
    void expect_kept_list(const std::string& bytes) const {
        const TimePoint far = TimePoint{} + Duration::seconds(4e9);
        const auto read = registry::parse_snapshot(bytes, kept_owner, far, Duration::seconds(4e9));
        const auto* kept = std::get_if<registry::EndpointSnapshot>(&read);
        ASSERT_TRUE(kept) << to_string(std::get<registry::SnapshotError>(read));
        ASSERT_EQ(kept->records.size(), 1u);
        EXPECT_EQ(kept->records[0].value, full_line);
    }
    bool stored(const std::string& name, const std::string& part) const {
        const std::string path = folder.path() + "/" + name + "/data.mdb";
        return fs::exists(path) && bytes_of_file(path).find(part) != std::string::npos;
    }
    std::string read_store(const std::string& name, const std::string& key) const {
        auto store = Store::open(folder.path() + "/" + name, 64 << 20);
        if (const auto* error = std::get_if<StoreError>(&store)) return error->detail;
        return std::get<Store>(store).read(key).value_or("");
    }
};

// The commands `registry put` and `registry drain` must write the same bytes to the registry as an earlier
// version. The test puts three records and drains one of them.
TEST_F(StoredByProcess, RecordsOfTheListAreWrittenAsBefore) {
    EXPECT_EQ(run({"put", full_line}), 0);
    EXPECT_EQ(run({"put", R"({"state": "Ready", "id": "c2"})"}), 0);
    EXPECT_EQ(run({"put", R"({"id":"c4","state":"Gone"})"}), 0);
    EXPECT_EQ(run({"drain", "c2"}), 0);
    expect_golden(
        "stored/list_records.txt",
        text_of({{"c1", value("/caches/c1")}, {"c2", value("/caches/c2")}, {"c4", value("/caches/c4")}}));
}

// The store of an earlier version has token 5 of a duty. A gateway with this store joins a registry without
// fleet records, and must claim the duty under token 6. The gateway must store the tokens seen, its
// incarnation and the endpoint list under the same names as the earlier version.
TEST_F(StoredByProcess, AGatewayReadsTheTokensOfAnEarlierOneAndWritesItsOwn) {
    start_in_place_of_an_earlier_one();
    ASSERT_TRUE(stretches.run_until([&] { return !value("/fleet/roll/duty/sweep").empty(); }));
    EXPECT_EQ(parse_duty(value("/fleet/roll/duty/sweep"))->token, FencingToken{6});
    const auto start = std::to_string(parse_member(value("/fleet/roll/member/g1"))->incarnation.raw());
    // The gateway stores the tokens and the endpoint list within a few seconds.
    ASSERT_TRUE(stretches.run_until([&] {
        return stored("fleet", R"("sweep":[6,"g1",)" + start) && stored("list", "as_of_us");
    })) << bytes_of_file(folder.path() + "/log");
    EXPECT_TRUE(stretches.run_until([&] { return read_store("fleet", "fleet last start") == start; }))
        << read_store("fleet", "fleet last start")
        << " is stored as the last incarnation, but the member record has " << start;
    gateway->kill_and_wait();
    Fence fence;
    ASSERT_TRUE(fence.restore(read_store("fleet", "fleet epochs seen")));
    EXPECT_EQ(fence.highest(DutyName{"sweep"}), FencingToken{6});
    EXPECT_EQ(fence.highest(DutyName{"watch/c1"}), FencingToken{9});
    expect_kept_list(read_store("list", "registry list"));
}

// The store of an earlier version has the incarnation 5000000. A gateway with this store that joins a
// registry without fleet records must use the next incarnation.
TEST_F(StoredByProcess, AGatewayReadsTheNumberOfAnEarlierOne) {
    start_in_place_of_an_earlier_one();
    ASSERT_TRUE(stretches.run_until([&] { return !value("/fleet/roll/member/g1").empty(); }));
    EXPECT_EQ(parse_member(value("/fleet/roll/member/g1"))->incarnation.raw(), 5'000'001);
}

}  // namespace
}  // namespace irismux::testing
