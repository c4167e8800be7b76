// Pins the bytes on which other processes, stores, operators and scripts rely. During an upgrade
// old and new programs run side by side, so a change of these bytes breaks the upgrade.
//
// After an intended change, rewrite the expected files:
//   ELDERKEEL_WRITE_GOLDEN=1 elderkeel_tests --gtest_filter='Golden.*'
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "base/settings.h"
#include "consensus/messages.h"
#include "controller/control_state.h"
#include "diagnosis/console.h"
#include "diagnosis/diagnosis.h"
#include "dissemination/confirm.h"
#include "dissemination/messages.h"
#include "dissemination/sync.h"
#include "membership/membership.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"
#include "singleton/assigner.h"
#include "transport/frame.h"

namespace elderkeel {
namespace {

// Collects named texts in the order added. The destructor compares them with a file of
// tests/data, or rewrites that file first if ELDERKEEL_WRITE_GOLDEN is set.
class Golden {
 public:
  explicit Golden(const std::string& file) : path_(std::string(ELDERKEEL_TEST_DATA "/") + file) {}
  ~Golden() {
    if (std::getenv("ELDERKEEL_WRITE_GOLDEN")) std::ofstream(path_) << text_;
    auto expected = base::ReadFile(path_);
    EXPECT_TRUE(expected.has_value()) << path_;
    EXPECT_EQ(text_, expected ? *expected : "") << path_;
  }
  void Add(const std::string& name, const std::string& text) { text_ += name + " " + text + "\n"; }
  // Adds the encoded message in hexadecimal, and checks that it decodes to the same message.
  template <class Message>
  void AddEncoded(const std::string& name, const Message& message) {
    std::string bytes = transport::Encode(message);
    std::string hex;
    for (unsigned char byte : bytes) {
      constexpr char kDigits[] = "0123456789abcdef";
      hex.push_back(kDigits[byte >> 4]);
      hex.push_back(kDigits[byte & 15]);
    }
    Add(name, hex);
    auto decoded = transport::Decode<Message>(bytes);
    ASSERT_TRUE(decoded.has_value()) << name;
    EXPECT_EQ(transport::Encode(*decoded), bytes) << name;
  }

 private:
  std::string path_;
  std::string text_;
};

consensus::Member MakeMember(uint64_t id) {
  consensus::Member member;
  member.id = id;
  member.ip = "10.0.0." + std::to_string(id % 200);
  member.port = 7200;
  member.control = member.ip + ":8382";
  member.zone = "zone-" + std::to_string(id);
  return member;
}

consensus::Entry MakeEntry(uint64_t index) {
  return {3, index, consensus::EntryKind::kCommand, "data"};
}

rollout::VersionCounters MakeCounts(uint32_t first) {
  rollout::VersionCounters counts;
  counts.answers = first;
  counts.failed = first + 1;
  counts.broken = first + 2;
  counts.late = first + 3;
  counts.latency_samples = first + 4;
  counts.servers_seen = first + 5;
  counts.servers_broken = first + 6;
  counts.servers_late = first + 7;
  return counts;
}

rollout::Row MakeRow() {
  rollout::Row row;
  row.route = rollout::RouteKey("route-1");
  row.old_version = MakeCounts(10);
  row.new_version = MakeCounts(20);
  return row;
}

rollout::Step MakeOrderStep() {
  rollout::Step step;
  step.kind = rollout::Step::Kind::kOrder;
  step.order = {"service", "v2", 60000};
  step.observers = {11, 12, 13};
  return step;
}

rollout::Step MakeFoundStep() {
  rollout::Step step;
  step.detected = {{"service", "v1"}, {"other", "v7"}};
  return step;
}

discovery::Server MakeServer(const std::string& id) {
  discovery::Server server;
  server.id = id;
  server.service = "service";
  server.address = "10.1.0.5:8080";
  server.zone = "zone-1";
  server.revision = "v1";
  server.capacity = 3;
  server.draining = true;
  server.slow_start_left_ms = 1500;
  return server;
}

configuration::Change MakeChange(bool patch) {
  configuration::Change change;
  change.if_match = patch ? 5 : 0;
  change.patch = patch;
  change.body =
      patch
          ? R"({"revision":7,"upsert":{"route-list":[{"label":"r2","host":"h","path-prefix":"/b/","variant":"effectful","timeout-ms":900,"target":"s"}]}})"
          : R"({"revision":5,"route-list":[{"label":"r1","host":"h","path-prefix":"/a/","variant":"idempotent","timeout-ms":900,"target":"s"}],"service-list":[{"label":"s"}]})";
  return change;
}

TEST(Golden, ConsensusFrames) {
  Golden golden("golden_consensus.txt");
  golden.AddEncoded("member", MakeMember(9));
  for (int type = 0; type <= static_cast<int>(consensus::MessageType::kStateLost); ++type) {
    consensus::Message message;
    message.type = static_cast<consensus::MessageType>(type);
    message.cluster = 77;
    message.from = 1;
    message.to = 2;
    message.term = 3;
    message.index = 4;
    message.log_term = 5;
    message.commit = 6;
    message.round = 7;
    message.granted = true;
    message.offset = 8;
    message.total = 9;
    if (message.type == consensus::MessageType::kAppendEntries) {
      message.entries = {MakeEntry(4), {3, 5, consensus::EntryKind::kVoters, "voters"}};
    }
    if (message.type == consensus::MessageType::kInstallSnapshot) {
      message.snapshot = {{12, 3, {MakeMember(1), MakeMember(2)}, "part of a state"}};
    }
    golden.AddEncoded("message-" + std::to_string(type), message);
  }
}

TEST(Golden, StoredRecords) {
  Golden golden("golden_records.txt");
  golden.AddEncoded("hard-state", consensus::HardState{7, 8, 9, 10});
  golden.AddEncoded("snapshot",
                    consensus::Snapshot{40, 3, {MakeMember(8), MakeMember(9)}, "state"});
  golden.AddEncoded("entry", MakeEntry(41));
  golden.AddEncoded("voters", std::vector<consensus::Member>{MakeMember(8), MakeMember(9)});

  using controller::Command;
  std::vector<std::pair<std::string, std::string>> commands = {
      {"configuration", controller::MakeCommand(Command::Kind::kConfiguration, MakeChange(false))},
      {"patch", controller::MakeCommand(Command::Kind::kConfiguration, MakeChange(true))},
      {"duty",
       controller::MakeCommand(Command::Kind::kCatalogReader, singleton::Assignment{8, 99, 4})},
      {"drain",
       controller::MakeCommand(Command::Kind::kZoneDrain, zone_drain::DrainOrder{"z2", true})},
      {"undrain",
       controller::MakeCommand(Command::Kind::kZoneDrain, zone_drain::DrainOrder{"z3", false})},
      {"versions", controller::MakeCommand(Command::Kind::kRollout, MakeFoundStep())},
      {"order", controller::MakeCommand(Command::Kind::kRollout, MakeOrderStep())},
  };
  controller::ControlState state;
  for (const auto& [name, command] : commands) {
    golden.AddEncoded("command-" + name, command);
    state.Apply(command);
  }
  golden.AddEncoded("control-state", state);
  EXPECT_EQ(state.configuration.revision(), 7);
  EXPECT_EQ(state.drained_zones.zones().size(), 1u);
  EXPECT_NE(state.rollouts.NewestOf("service"), nullptr);
}

TEST(Golden, MembershipAndDisseminationFrames) {
  Golden golden("golden_gossip.txt");
  membership::Node node;
  node.id = 5;
  node.ip = "10.0.0.5";
  node.port = 7201;
  node.program = membership::Program::kController;
  node.zone = "zone-1";
  node.boot_id = 77;
  node.incarnation = 3;
  node.state = membership::State::kSuspect;
  node.suspecters = {6, 7};
  node.client_port = 8381;
  node.ready = true;
  node.durable = true;
  golden.AddEncoded("node", node);
  golden.Add("node-digest", std::to_string(node.ViewDigest()));
  golden.AddEncoded("heartbeat", membership::Heartbeat{1, 2, 3, 4});
  membership::MembershipUpdate update;
  update.nodes = {node};
  update.wanted_ids = {8, 9};
  golden.AddEncoded("table", update);
  membership::PartDigests part_digests;
  for (size_t i = 0; i < part_digests.parts.size(); ++i) part_digests.parts[i] = i * i;
  golden.AddEncoded("sums", part_digests);
  membership::MembershipSummary summary;
  summary.parts = 5;
  summary.view_digests = {{1, 2}, {3, 4}};
  golden.AddEncoded("summary", summary);

  dissemination::Digest digest;
  digest.revision = 1;
  digest.epoch = 2;
  digest.sequence = 3;
  digest.zone_drains = 4;
  digest.rollouts = 5;
  digest.endpoints_read_age_ms = 6;
  digest.answer = true;
  digest.reliable = true;
  digest.load = {{load::NameKey("zone-1"), 10, 3, {{load::NameKey("service"), 1.5f}}}};
  golden.AddEncoded("digest", digest);
  golden.AddEncoded("pull-request", dissemination::PullRequest{1, 2, 3, 4, 5, true});
  golden.AddEncoded("configuration-update", dissemination::ConfigurationUpdate{7, 5, "body"});
  dissemination::EndpointUpdate endpoints;
  endpoints.epoch = 2;
  endpoints.sequence = 3;
  endpoints.complete = false;
  endpoints.unmodified = true;
  endpoints.base_epoch = 2;
  endpoints.base_sequence = 1;
  endpoints.age_ms = 40;
  endpoints.servers = {MakeServer("i-1"), MakeServer("i-2")};
  endpoints.removed = {"i-3"};
  golden.AddEncoded("endpoint-update", endpoints);
  dissemination::ZoneDrainUpdate drains;
  drains.drained_zones.Apply({"z2", true});
  golden.AddEncoded("zone-drain-update", drains);
  dissemination::RolloutUpdate rollouts;
  rollouts.rollouts.Apply(MakeFoundStep());
  rollouts.rollouts.Apply(MakeOrderStep());
  golden.AddEncoded("rollout-update", rollouts);
  golden.AddEncoded("confirm", dissemination::ConfirmRequest{5});
  golden.AddEncoded("confirm-reply",
                    dissemination::ConfirmReply{5, true, {1, 2, 3}, "10.0.0.1", 7200});
  golden.AddEncoded("sync-request",
                    dissemination::SyncRequest{1000, {1, 2, 3}, {4, 5}, true, true});
  golden.AddEncoded("sync-reply",
                    dissemination::SyncReply{1000, {1, 2, 3}, 50, {4, 5}, 60, 70, 80, 90});
  golden.AddEncoded("resignation", singleton::Resignation{4, 8, 99});
}

TEST(Golden, RolloutAndDiagnosisFrames) {
  Golden golden("golden_rollout.txt");
  rollout::ProxyReport report;
  report.node = 1;
  report.boot_id = 2;
  report.number = 3;
  report.version = 4;
  report.age_ms = 5;
  report.requests = 6;
  report.exposed = 7;
  report.old_in_flight = 8;
  report.new_in_flight = 9;
  report.confirmed = true;
  report.wants_renewal = true;
  report.rows = {MakeRow()};
  golden.AddEncoded("report", report);
  golden.AddEncoded("acknowledgement", rollout::LeaseRenewal{3, 4});
  rollout::Vote vote;
  vote.number = 1;
  vote.observer = 2;
  vote.boot_id = 3;
  vote.version = 4;
  vote.opinion = rollout::Opinion::kBad;
  vote.reason = "reason";
  vote.age_ms = 5;
  vote.reporting = 6;
  vote.known_proxies = 7;
  vote.requests = 8;
  vote.exposed = 9;
  vote.unconfirmed = 10;
  vote.not_reporting = 11;
  vote.missing = {12, 13};
  vote.rows = {MakeRow()};
  golden.AddEncoded("vote", vote);
  golden.AddEncoded("query",
                    diagnosis::Query{1, diagnosis::Question::About::kFailures, "route", 30});
  golden.AddEncoded("query-reply",
                    diagnosis::Reply{1, "edge-1", 1234, true, {"event=a", "event=b"}, 7});
  // The numbers and names by which logs and frames identify states.
  for (int stage = 0; stage <= static_cast<int>(rollout::Stage::kReverted); ++stage) {
    golden.Add("stage-" + std::to_string(stage),
               std::string(rollout::StageName(static_cast<rollout::Stage>(stage))) + " " +
                   rollout::StatusName(static_cast<rollout::Stage>(stage)));
  }
  for (int opinion = 0; opinion <= static_cast<int>(rollout::Opinion::kBad); ++opinion) {
    golden.Add("opinion-" + std::to_string(opinion),
               rollout::OpinionName(static_cast<rollout::Opinion>(opinion)));
  }
  for (int state = 0; state <= static_cast<int>(membership::State::kLeft); ++state) {
    golden.Add("node-state-" + std::to_string(state),
               membership::StateName(static_cast<membership::State>(state)));
  }
}

// Checks a message with fields that were added later, `extended`. Its frame must begin with that of
// `before`, the message without them, which must still decode, so that programs of either version
// can read it. A frame that ends within the later fields must not decode.
template <class Message>
void CheckLaterFields(Golden* golden, const std::string& name, const Message& before,
                      const Message& extended) {
  std::string bytes = transport::Encode(extended);
  EXPECT_EQ(bytes.substr(0, transport::Encode(before).size()), transport::Encode(before)) << name;
  auto decoded = transport::Decode<Message>(transport::Encode(before));
  ASSERT_TRUE(decoded.has_value()) << name;
  EXPECT_FALSE(decoded->has_later_fields()) << name;
  EXPECT_FALSE(transport::Decode<Message>(bytes.substr(0, bytes.size() - 1)).has_value()) << name;
  golden->AddEncoded(name, extended);
}

TEST(Golden, FieldsThatCameLater) {
  Golden golden("golden_later_fields.txt");
  rollout::LeaseRenewal renewal{3, 4};
  CheckLaterFields(&golden, "acknowledgement", renewal, {3, 4, 1000});
  rollout::ProxyReport report;
  report.rows = {MakeRow()};
  rollout::ProxyReport asking = report;
  asking.reported_at = 1000;
  CheckLaterFields(&golden, "report", report, asking);
  dissemination::PullRequest pull{1, 2, 3, 4, 5, true};
  CheckLaterFields(&golden, "pull", pull, {1, 2, 3, 4, 5, true, 1000});
  dissemination::EndpointUpdate update;
  update.epoch = 5;
  update.sequence = 6;
  update.servers = {MakeServer("i-1")};
  dissemination::EndpointUpdate answer = update;
  answer.requested_at = 1000;
  answer.predecessor = {4, 9};
  CheckLaterFields(&golden, "endpoints", update, answer);
}

TEST(Golden, FrameKinds) {
  using transport::MessageKind;
  const std::vector<MessageKind> kinds = {
      MessageKind::kConsensus,
      MessageKind::kJoin,
      MessageKind::kMembershipUpdate,
      MessageKind::kHeartbeat,
      MessageKind::kDigest,
      MessageKind::kPullRequest,
      MessageKind::kConfigurationUpdate,
      MessageKind::kEndpointUpdate,
      MessageKind::kConfirm,
      MessageKind::kConfirmReply,
      MessageKind::kResign,
      MessageKind::kQuery,
      MessageKind::kQueryReply,
      MessageKind::kSummary,
      MessageKind::kZoneDrainUpdate,
      MessageKind::kPartDigests,
      MessageKind::kRolloutUpdate,
      MessageKind::kProxyReport,
      MessageKind::kLeaseRenewal,
      MessageKind::kVote,
      MessageKind::kSyncRequest,
      MessageKind::kSyncReply,
  };
  for (size_t i = 0; i < kinds.size(); ++i) EXPECT_EQ(static_cast<size_t>(kinds[i]), i + 1);
}

// Checks that each key of the settings file sets its field, so that existing files stay valid.
TEST(Golden, SettingsKeys) {
  const std::string text =
      "node-name=n\nrole=r\nip=10.0.0.1\nzone=z\nregion=g\nentry=directory\nrollout=k\n"
      "contracts=base,rollout\ndata-dir=/d\nlisteners.front=10.0.0.1:1001\n"
      "listeners.readiness=10.0.0.1:1002\nlisteners.control=10.0.0.1:1003\n"
      "listeners.directory=10.0.0.1:1004\nplatform.address=10.0.0.1:1005\nbootstrap=true\n"
      "limits.memory-mb=101\nlimits.max-fds=102\nplatform.rate-per-s=103.5\n"
      "platform.max-lag-ms=104\nbounds.contact-ms=105\nbounds.ack-ms=106\nbounds.drain-ms=107\n"
      "bounds.grace-s=108\nbounds.apply-ms=109\nbounds.retry-ratio=1.5\n"
      "bounds.retry-window-s=111\nbounds.retry-slack=112\nbounds.evacuate-ms=113\n"
      "bounds.warmup-excess=14.5\nbounds.warmup-slack=115\nbounds.ttl_max_s=116\n"
      "bounds.canary-share=0.5\nbounds.canary-slack=118\nbounds.rollback-ms=119\n"
      "tolerance.machines=120\ntolerance.zones=121\ntolerance.region-list=122\n"
      "elderkeel.log-level=error\nelderkeel.poll-ms=123\nelderkeel.stale-catalog-ms=524\n"
      "elderkeel.heartbeat-ms=125\nelderkeel.digest-ms=126\nelderkeel.raft-heartbeat-ms=127\n"
      "elderkeel.election-ms=128\nelderkeel.connect-ms=129\nelderkeel.held-body-bytes=1300\n"
      "elderkeel.wait-share-percent=31\nelderkeel.second-sends=false\n"
      "elderkeel.telemetry-sink=file\nelderkeel.telemetry-file=/t\n"
      "elderkeel.telemetry-flush-ms=132\nport-range=7200,7215\n"
      "seed-list=10.0.0.1:1,10.0.0.2:2\nzones.z=g\nzones.y=h\n";
  auto s = base::ParseSettings(text);
  ASSERT_TRUE(s.has_value()) << s.error().reason;
  EXPECT_EQ(s->node_name, "n");
  EXPECT_EQ(s->role, "r");
  EXPECT_EQ(s->ip, "10.0.0.1");
  EXPECT_EQ(s->zone, "z");
  EXPECT_EQ(s->region, "g");
  EXPECT_EQ(s->entry, "directory");
  EXPECT_EQ(s->rollout, "k");
  EXPECT_TRUE(s->VersionsByOrder());
  EXPECT_EQ(s->data_dir, "/d");
  EXPECT_EQ(s->front.port, 1001);
  EXPECT_EQ(s->readiness.port, 1002);
  EXPECT_EQ(s->control.port, 1003);
  EXPECT_EQ(s->directory.port, 1004);
  EXPECT_EQ(s->platform.port, 1005);
  EXPECT_TRUE(s->bootstrap);
  EXPECT_EQ(s->memory_mb, 101);
  EXPECT_EQ(s->max_fds, 102);
  EXPECT_EQ(s->platform_rate_per_s, 103.5);
  EXPECT_EQ(s->platform_lag_ms, 104);
  EXPECT_EQ(s->contact_ms, 105);
  EXPECT_EQ(s->ack_ms, 106);
  EXPECT_EQ(s->drain_ms, 107);
  EXPECT_EQ(s->grace_s, 108);
  EXPECT_EQ(s->apply_ms, 109);
  EXPECT_EQ(s->retry_ratio, 1.5);
  EXPECT_EQ(s->retry_window_s, 111);
  EXPECT_EQ(s->retry_slack, 112);
  EXPECT_EQ(s->evacuate_ms, 113);
  EXPECT_EQ(s->warmup_excess, 14.5);
  EXPECT_EQ(s->warmup_slack, 115);
  EXPECT_EQ(s->ttl_max_s, 116);
  EXPECT_EQ(s->canary_share, 0.5);
  EXPECT_EQ(s->canary_slack, 118);
  EXPECT_EQ(s->rollback_ms, 119);
  EXPECT_EQ(s->tolerance_machines, 120);
  EXPECT_EQ(s->tolerance_zones, 121);
  EXPECT_EQ(s->tolerance_regions, 122);
  EXPECT_EQ(s->log_level, "error");
  EXPECT_EQ(s->poll_ms, 123);
  EXPECT_EQ(s->stale_catalog_ms, 524);
  EXPECT_EQ(s->heartbeat_ms, 125);
  EXPECT_EQ(s->digest_ms, 126);
  EXPECT_EQ(s->raft_heartbeat_ms, 127);
  EXPECT_EQ(s->election_ms, 128);
  EXPECT_EQ(s->connect_ms, 129);
  EXPECT_EQ(s->max_buffered_body_bytes, 1300);
  EXPECT_EQ(s->max_queue_wait_percent, 31);
  EXPECT_FALSE(s->hedging_enabled);
  EXPECT_EQ(s->telemetry_sink, "file");
  EXPECT_EQ(s->telemetry_file, "/t");
  EXPECT_EQ(s->telemetry_flush_ms, 132);
  EXPECT_EQ(s->port_first, 7200);
  EXPECT_EQ(s->port_last, 7215);
  EXPECT_EQ(s->seeds.size(), 2u);
  EXPECT_EQ(s->zones.size(), 2u);
}

// The texts in which the command line shows a controller's answers.
TEST(Golden, CommandLineTexts) {
  Golden golden("golden_console.txt");
  auto add_rendered = [&](const std::string& name, std::string (*render)(const std::string&, bool*),
                          const std::string& json) {
    bool degraded = false;
    std::string text = render(json, &degraded);
    golden.Add(name + (degraded ? " degraded" : " well"), "\n" + text);
  };
  add_rendered(
      "status", &diagnosis::StatusText,
      R"({"node":"c0","store":{"state":"disk","reason":""},"role":"leader","term":3,"commit":9,)"
      R"("leader":"10.0.0.1:7200","settled":true,"voters":[{"address":"10.0.0.1:7200",)"
      R"("control":"10.0.0.1:8382","silent-ms":0},{"address":"10.0.0.2:7200","control":"",)"
      R"("silent-ms":-1}],"revision":7,"evacuation":{"version":2,"zones":["z1","z2"]},)"
      R"("rollouts":[{"service":"s","version":"v2","stage":"canary","reason":"ordered"}],)"
      R"("duty":{"epoch":4,"holder":"10.0.0.2:7200"},"catalog":{"epoch":4,"sequence":5,)"
      R"("servers":6,"age-ms":70,"verified-ms":80},"nodes":[{"address":"10.0.0.9:7201",)"
      R"("program":"proxy","zone":"z1","state":"alive","revision":"7","ready":"yes",)"
      R"("state-line":"x"},{"address":"10.0.0.1:7200","program":"controller","zone":"z1",)"
      R"("state":"alive"}],"events":[{"ago-ms":5,"event":"role.leader","detail":"3"}]})");
  add_rendered(
      "status-unsettled", &diagnosis::StatusText,
      R"({"node":"c0","store":{"state":"unopened","reason":"full"},"settled":false,)"
      R"("leader":null,"unknown":"no majority","revision":0,"duty":{"epoch":0,"holder":null},)"
      R"("catalog":{"servers":0,"age-ms":-1},"evacuation":{"version":0,"zones":[]},)"
      R"("nodes":[{"address":"a","program":"proxy","zone":"z","state":"dead","revision":"unknown","ready":"unknown"}]})");
  add_rendered("status-unreadable", &diagnosis::StatusText, "{");
  add_rendered(
      "rollouts", &diagnosis::RolloutsText,
      R"({"node":"c0","settled":true,"by-order":true,"in-force":{"s":"v1"},"rollouts":[)"
      R"({"service":"s","version":"v2","from":"v1","status":"in_progress","stage":"canary",)"
      R"("reason":"ordered","number":1,"over-ms":60000,"elapsed-ms":500,"watchers":[)"
      R"({"address":"10.0.0.1:7200","vote":"abstains","ago-ms":20,"why":"few samples",)"
      R"("proxies-heard":2,"proxies-in-sight":3,"requests":100,"sent-to-new":5,)"
      R"("not-confirmed":1,"not-heard":0,"missing":["10.0.0.9:7201"],"routes":[{"route":"r1",)"
      R"("old":{"answers":90,"failed":1,"broken-off":0,"timed":80,"late":2},)"
      R"("new":{"answers":5,"failed":0,"broken-off":0,"timed":5,"late":0}}]},)"
      R"({"address":"10.0.0.2:7200","vote":"unknown"}]}]})");
  add_rendered("rollouts-without-leader", &diagnosis::RolloutsText,
               R"({"node":"c0","settled":false,"by-order":false,"in-force":{},"rollouts":[]})");
  add_rendered(
      "diagnosis", &diagnosis::DiagnosisText,
      R"({"conclusion":"p1 answered 404","records":[{"time":"12:00","zone":"z1","node":"p1",)"
      R"("outcome":"not run","record":"event=request.failed"}],"silent":["10.0.0.9:7201"],)"
      R"("not-asked":[],"cut":true})");
  add_rendered(
      "failures", &diagnosis::DiagnosisText,
      R"({"conclusion":"no record of a failure","records":[],"silent":[],"not-asked":["a"],)"
      R"("cut":false,"missing":3})");
}

}  // namespace
}  // namespace elderkeel
