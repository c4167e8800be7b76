#include <gtest/gtest.h>

#include <optional>
#include <set>

#include "base/random.h"
#include "configuration/configuration_state.h"
#include "configuration/operator_api.h"
#include "configuration/patch.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "controller/control_state.h"

namespace elderkeel::configuration {
namespace {

std::string Route(const std::string& label, const std::string& prefix, const std::string& rest) {
  return R"({"label":")" + label + R"(","host":"h.example","path-prefix":")" + prefix +
         R"(","variant":"idempotent","timeout-ms":800,"max-attempts":2,)" + rest + "}";
}

std::string Document(int64_t revision, const std::string& routes) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"note":"kept","route-list":[)" +
         routes +
         R"(],"service-list":[{"label":"s1","health-path":"/health","max-conns":10},{"label":"s2"}],)"
         R"("limits":{"max-header-bytes":16384}})";
}

const std::string kRoute = Route("r1", "/a/", R"("target":"s1")");

// Guards against an invalid document being accepted, or rejected for a reason that doesn't name its
// fault.
TEST(Configuration, RejectsEachInvalidDocumentWithItsReason) {
  struct Case {
    std::string text;
    const char* reason;  // part of it; empty: valid
  } cases[] = {
      {Document(1, kRoute), ""},
      {Document(
           1,
           Route("r1", "/",
                 R"("weighted-targets":[{"target":"s1","weight":0},{"target":"s2","weight":3}])")),
       ""},
      {Document(1, kRoute).substr(0, 80), "not a JSON object"},
      {"[]", "not a JSON object"},
      {std::string(100000, '['), "not a JSON object"},
      {R"({"revision":1,"route-list":[]})", "service-list: is missing"},
      {Document(0, kRoute), "revision: is too small"},
      {R"({"revision":"x","route-list":[],"service-list":[]})", "revision: has the wrong type"},
      {Document(1, Route("r1", "/a/", R"("target":"nobody")")), "unknown service nobody"},
      {Document(1, kRoute + "," + Route("r2", "/a/", R"("target":"s2")")), "same host and prefix"},
      {Document(1, kRoute + "," + Route("r1", "/b/", R"("target":"s2")")), "duplicate label: r1"},
      {Document(1, Route("r1", "/a/", R"("weighted-targets":[{"target":"s1","weight":0}])")),
       "add up to 0"},
      {Document(1, Route("r1", "/a/", R"("weighted-targets":[{"target":"s1","weight":-1}])")),
       "too small"},
      {Document(1, Route("r1", "/a/",
                         R"("target":"s1","weighted-targets":[{"target":"s1","weight":1}])")),
       "needs exactly one of target and"},
      {Document(1, Route("r1", "/a/", R"("priority":1)")), "needs exactly one of target and"},
      {Document(1, Route("r1", "/a", R"("target":"s1")")), "path-prefix"},
      {Document(1, Route("r1", "a/", R"("target":"s1")")), "path-prefix"},
      {Document(
           1,
           R"({"label":"r","host":"h","path-prefix":"/","variant":"idempotent","timeout-ms":0,"target":"s1"})"),
       "timeout-ms: is too small"},
      {Document(
           1,
           R"({"label":"r","host":"h","path-prefix":"/","variant":"perhaps","timeout-ms":5,"target":"s1"})"),
       "variant"},
  };
  for (const Case& c : cases) {
    auto valid = Validate(c.text);
    std::string reason = valid ? "" : valid.error().reason;
    if (*c.reason == '\0') {
      EXPECT_EQ(reason, "") << c.text;
    } else {
      EXPECT_NE(reason.find(c.reason), std::string::npos)
          << c.text.substr(0, 300) << " gave " << reason;
      EXPECT_EQ(valid.error().code, base::ErrorCode::kInvalidArgument);
    }
  }
}

// Guards against patches that change other items than those with the labels they name, or lose
// members that the gateway doesn't interpret.
TEST(Configuration, PatchUpsertsAndRemovesItemsByLabel) {
  std::string base = Document(5, kRoute + "," + Route("r2", "/b/", R"("target":"s2")"));
  auto patched = ApplyPatch(base, R"({"revision":9,"upsert":{"route-list":[)" +
                                      Route("r3", "/c/", R"("target":"s1")") + "," +
                                      Route("r1", "/a2/", R"("target":"s2")") +
                                      R"(]},"remove":{"route-list":["r2","not-there"]}})");
  ASSERT_TRUE(patched.has_value()) << patched.error().reason;
  EXPECT_EQ(RevisionOf(*patched), 9);
  EXPECT_NE(patched->find("\"note\":\"kept\""), std::string::npos);
  base::NameIndex names, regions;
  auto table = RoutingTable::Build(*patched, &names, &regions);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->Match("h.example", "/b/x"), nullptr);
  EXPECT_EQ(table->Match("h.example", "/a/x"), nullptr);
  ASSERT_NE(table->Match("H.Example:80", "/a2/x"), nullptr);
  EXPECT_EQ(table->Match("h.example", "/c/")->label, "r3");
  EXPECT_NE(
      ApplyPatch(base, R"({"revision":9,"upsert":{"route-list":[{"host":"x"}]}})").error().reason,
      "");
  EXPECT_NE(ApplyPatch(base, R"({"upsert":{}})").error().reason, "");
}

// Guards against a route with a shorter prefix or a part of a path segment being matched, and
// against a split of requests that doesn't follow the weights.
TEST(Configuration, MatchesTheLongestPrefixAndSplitsRequestsByWeight) {
  base::NameIndex names, regions;
  auto table = RoutingTable::Build(
      Document(
          1,
          Route("short", "/a/", R"("target":"s1")") + "," +
              Route(
                  "long", "/a/b/",
                  R"("weighted-targets":[{"target":"s1","weight":9},{"target":"s2","weight":1}])")),
      &names, &regions);
  struct Case {
    const char* path;
    const char* label;
  } cases[] = {{"/a/x", "short"}, {"/a/b/c/d", "long"}, {"/a/b", "short"},
               {"/a", nullptr},   {"/", nullptr},       {"/b/a/", nullptr}};
  for (const Case& c : cases) {
    const struct Route* route = table->Match("h.example", c.path);
    EXPECT_EQ(route ? route->label : "none", std::string(c.label ? c.label : "none")) << c.path;
  }
  int second = 0;
  const struct Route* split = table->Match("h.example", "/a/b/");
  for (int i = 0; i < 10000; ++i) {
    second += table->PickService(*split, base::Hash(std::to_string(i))) == names.Find("s2");
  }
  EXPECT_NEAR(second, 1000, 150);
}

// Guards against a lost update: two changes that are based on one revision are both found valid,
// and then both are committed.
TEST(ConfigurationState, OfTwoChangesOnOneRevisionOnlyTheFirstTakesEffect) {
  ConfigurationState state;
  Change first{false, 0, Document(3, kRoute)};
  ASSERT_TRUE(state.Apply(first));
  EXPECT_EQ(state.text(), first.body);  // verbatim, including unknown members
  Change a{true, 3, R"({"revision":4,"remove":{"route-list":["r1"]}})"};
  Change b{true, 3, R"({"revision":5,"remove":{"route-list":["r1"]}})"};
  EXPECT_EQ(state.Evaluate(a).status, 0);
  EXPECT_EQ(state.Evaluate(b).status, 0);
  EXPECT_TRUE(state.Apply(b));
  EXPECT_FALSE(state.Apply(a));
  EXPECT_EQ(state.Evaluate(a).status, 412);
  EXPECT_EQ(state.Evaluate(b).status, 200);      // a repeated call
  EXPECT_EQ(state.Evaluate(first).status, 200);  // even after another change
  EXPECT_EQ(state.revision(), 5);
  struct Case {
    Change change;
    int status;
  } cases[] = {
      {{false, 5, Document(5, kRoute)}, 400},  // the revision is not greater
      {{false, 4, Document(9, kRoute)}, 412},  // stale
      // A syntax error takes precedence over a stale If-Match.
      {{false, 4, Document(9, kRoute).substr(0, 50)}, 400},
      {{false, 5, Document(9, Route("r", "/", R"("target":"x")"))}, 400},
      {{true, 5,
        R"({"revision":9,"remove":{"service-list":["s1"]},"upsert":{"route-list":[)" + kRoute +
            "]}}"},
       400},
      {{false, 5, Document(9, kRoute)}, 0},
  };
  for (const Case& c : cases) EXPECT_EQ(state.Evaluate(c.change).status, c.status) << c.change.body;
}

// A full document that is short, since tests apply thousands of them. `by` makes rivals differ.
Change Small(int64_t if_match, int64_t revision, const std::string& by) {
  return {false, if_match,
          R"({"revision":)" + std::to_string(revision) + R"(,"by":")" + by +
              R"(","route-list":[],"service-list":[]})"};
}

// Guards against a 412 for the repetition of a change that took effect, and against a second change
// on a base revision taking effect. Both could come about when the list of applied changes is
// trimmed.
TEST(ConfigurationState, RepeatedChangesAreNotRejectedAndRivalsNeverApply) {
  ConfigurationState state;
  const int last = static_cast<int>(ConfigurationState::kMaxApplied) + 300;
  for (int i = 0; i < last; ++i) ASSERT_TRUE(state.Apply(Small(i, i + 1, "a")));
  const int oldest = last - static_cast<int>(ConfigurationState::kMaxApplied);
  struct Case {
    const char* name;
    Change change;
    int status;
  } cases[] = {
      {"the newest", Small(last - 1, last, "a"), 200},
      {"a thousand changes ago", Small(last - 999, last - 998, "a"), 200},
      {"the oldest one remembered", Small(oldest, oldest + 1, "a"), 200},
      {"applied, but no longer remembered", Small(oldest - 1, oldest, "a"), 503},
      {"the first", Small(0, 1, "a"), 503},
      {"a rival that lost", Small(last - 1, last, "b"), 412},
      {"a rival with a higher revision", Small(last - 1, last + 5, "b"), 412},
      {"a rival that lost long ago", Small(oldest, oldest + 1, "b"), 412},
      {"a patch with the same body", {true, last - 1, Small(last - 1, last, "a").body}, 412},
      {"another If-Match", Small(last - 2, last, "a"), 412},
      {"not JSON, and old", {false, 0, "{"}, 400},
      {"the next", Small(last, last + 1, "a"), 0},
  };
  auto read = transport::Decode<ConfigurationState>(transport::Encode(state));
  ASSERT_TRUE(read);
  for (const Case& c : cases) {
    EXPECT_EQ(state.Evaluate(c.change).status, c.status) << c.name;
    EXPECT_EQ(read->Evaluate(c.change).status, c.status) << c.name;
    ConfigurationState copy = state;
    EXPECT_EQ(copy.Apply(c.change), c.status == 0) << c.name;
  }
}

// The older serialized format of ConfigurationState, with 64-bit digests of the applied changes.
struct OldConfigurationState {
  int64_t revision = 0, base = 0;
  std::string text;
  Change newest;
  std::vector<uint64_t> digests;
  template <class A>
  void serialize(A& a) {
    a(revision, base, text, newest, digests);
  }
};

// Guards against a controller that can't load, after an upgrade, a snapshot in the older format, or
// that then rejects the repetition of its newest change.
TEST(ConfigurationState, LoadsTheOlderFormatWith64BitDigests) {
  Change patch{true, 3, R"({"revision":5,"upsert":{},"remove":{}})"};
  for (const Change& newest : {Small(3, 5, "a"), patch}) {
    OldConfigurationState before{5, newest.patch ? 3 : 0, Small(3, 5, "a").body, newest, {7, 8}};
    // The states that follow the configuration in a snapshot must still be decoded.
    auto state = controller::ControlState::Decode(
        transport::Encode(before) + transport::Encode(singleton::Assignment{5, 6, 7}) +
        transport::Encode(zone_drain::DrainedZones()) + transport::Encode(rollout::Rollouts()));
    ASSERT_TRUE(state);
    const ConfigurationState& read = state->configuration;
    EXPECT_EQ(read.revision(), 5);
    EXPECT_EQ(read.base_revision(), before.base);
    EXPECT_EQ(read.text(), before.text);
    EXPECT_EQ(read.patch(), newest.patch ? newest.body : "");
    EXPECT_EQ(state->catalog_reader.epoch, 7u);
    EXPECT_EQ(read.Evaluate(newest).status, 200);
    EXPECT_EQ(read.Evaluate(Small(3, 6, "b")).status, 412);
    EXPECT_EQ(read.Evaluate(Small(2, 3, "a")).status, 503);  // may have been applied
    EXPECT_EQ(read.Evaluate(Small(5, 6, "a")).status, 0);
  }
  auto nothing = transport::Decode<ConfigurationState>(transport::Encode(OldConfigurationState()));
  ASSERT_TRUE(nothing);
  EXPECT_EQ(nothing->Evaluate(Small(0, 1, "a")).status, 0);
}

// Guards against snapshots of twice the size: with a full document as the newest change, both the
// document and the change were saved.
TEST(ConfigurationState, SnapshotHoldsTheDocumentOnce) {
  ConfigurationState state;
  std::string big(1 << 20, 'x');
  ASSERT_TRUE(state.Apply(Small(0, 1, big)));
  EXPECT_LT(transport::Encode(state).size(), big.size() + 1000);
  ASSERT_TRUE(state.Apply({true, 1, R"({"revision":2,"note":1})"}));
  EXPECT_EQ(state.patch(), R"({"revision":2,"note":1})");
  EXPECT_EQ(transport::Decode<ConfigurationState>(transport::Encode(state))->patch(),
            state.patch());
}

// A replicated log that confirms and commits nothing by itself; the test performs each step.
class FakeLog : public ReplicatedLog {
 public:
  bool HasCommittedInTerm() const override { return committed_in_term_; }
  bool is_leader() const override { return is_leader_; }
  uint64_t term() const override { return term_; }
  std::optional<std::string> leader_control_address() const override { return leader_; }
  bool ConfirmRead(uint64_t token) override {
    reads_.push_back(token);
    return true;
  }
  std::optional<uint64_t> Propose(const Change& change) override {
    proposed_.push_back(change);
    return proposed_.size();
  }
  std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) override {
    drained_zones_.push_back(order);
    return proposed_.size() + drained_zones_.size();
  }
  std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) override {
    rollouts_.push_back(order);
    return proposed_.size() + drained_zones_.size() + rollouts_.size();
  }
  bool HasZone(const std::string& zone) const override { return zones_.count(zone) > 0; }
  bool HasService(const std::string& service) const override { return service == "s"; }
  bool committed_in_term_ = true, is_leader_ = true;
  uint64_t term_ = 0;
  std::set<std::string> zones_ = {"a", "b"};
  std::optional<std::string> leader_;
  std::vector<uint64_t> reads_;
  std::vector<Change> proposed_;
  std::vector<zone_drain::DrainOrder> drained_zones_;
  std::vector<rollout::RolloutOrder> rollouts_;
};

// An OperatorApi on a FakeLog, with the states that the log's entries are applied to.
class OperatorApiTest : public ::testing::Test {
 protected:
  OperatorApiTest()
      : api_(&log_, &state_, &drained_zones_, &rollouts_,
             [this](uint64_t ticket, const http::Message& answer) { answers_[ticket] = answer; }) {}
  http::Message Call(const std::string& method, const std::string& match, const std::string& body) {
    http::Message request;
    request.method = method;
    request.target = "/elderkeel/config";
    if (!match.empty()) request.headers.push_back({"If-Match", match});
    request.body = body;
    return request;
  }
  // Confirms all reads that are pending.
  void ConfirmReads() {
    auto reads = std::move(log_.reads_);
    log_.reads_.clear();
    for (uint64_t token : reads) api_.OnReadFinished(0, token, true);
  }
  // Commits the proposed change at `index`.
  void Commit(size_t index) {
    state_.Apply(log_.proposed_[index - 1]);
    api_.OnApplied(0, index);
  }
  // Returns the status that was answered; 0 for no answer yet.
  int StatusOf(uint64_t ticket) { return answers_.count(ticket) ? answers_[ticket].status : 0; }

  FakeLog log_;
  ConfigurationState state_;
  zone_drain::DrainedZones drained_zones_;
  rollout::Rollouts rollouts_;
  std::map<uint64_t, http::Message> answers_;
  OperatorApi api_;
};

// Guards against a change being acknowledged before its entry is committed, and against both of two
// rivals on one revision being acknowledged.
TEST_F(OperatorApiTest, AcknowledgesOnlyAfterCommitAndOnlyOneOfTwoRivals) {
  api_.OnRequest(0, 1, Call("PUT", "0", Document(2, kRoute)));
  EXPECT_TRUE(log_.proposed_.empty());  // nothing before the read is confirmed
  ConfirmReads();
  ASSERT_EQ(log_.proposed_.size(), 1u);
  EXPECT_EQ(StatusOf(1), 0);
  // A rival on the same revision waits for the entry in flight.
  api_.OnRequest(0, 2, Call("PUT", "\"0\"", Document(3, kRoute)));
  ConfirmReads();
  EXPECT_EQ(log_.proposed_.size(), 1u);
  // So does a repetition of the first call.
  api_.OnRequest(0, 3, Call("PUT", "0", Document(2, kRoute)));
  ConfirmReads();
  Commit(1);
  EXPECT_EQ(StatusOf(1), 200);
  EXPECT_EQ(StatusOf(2), 412);
  EXPECT_EQ(StatusOf(3), 200);
  api_.OnRequest(0, 4, Call("GET", "", ""));
  EXPECT_EQ(StatusOf(4), 0);
  ConfirmReads();
  EXPECT_EQ(answers_[4].body, Document(2, kRoute));
}

// Guards against committing a document that exceeds what one frame to controllers and proxies can
// carry, as a full document or as the result of a patch. A small change afterwards is accepted.
TEST_F(OperatorApiTest, RejectsDocumentsAboveTheSizeLimit) {
  const std::string limit = std::to_string(kMaxDocumentBytes);
  auto padded = [](int revision, size_t bytes) {  // a valid document of that size
    std::string text = Document(revision, kRoute);
    return text + std::string(bytes - text.size(), ' ');
  };
  struct Case {
    const char* method;
    std::string body;
    int status;
  } cases[] = {
      {"PUT", padded(9, 9u << 20), 413},
      {"PUT", padded(9, kMaxDocumentBytes + 1), 413},
      {"PATCH", padded(9, kMaxDocumentBytes + 1), 413},
  };
  uint64_t ticket = 1;
  for (const Case& c : cases) {
    api_.OnRequest(0, ++ticket, Call(c.method, "0", c.body));
    ConfirmReads();
    EXPECT_EQ(StatusOf(ticket), c.status);
    EXPECT_NE(answers_[ticket].body.find(limit), std::string::npos) << answers_[ticket].body;
  }
  EXPECT_TRUE(log_.proposed_.empty());
  // Two patches that are each below the limit and result in a document above it.
  auto routes = [](int revision, int from) {
    std::string text =
        "{\"revision\":" + std::to_string(revision) + ",\"upsert\":{\"route-list\":[";
    for (int i = from; i < from + 2400; ++i) {
      text += (i > from ? "," : "") + std::string("{\"label\":\"r") + std::to_string(i) +
              "\",\"host\":\"h.example\",\"path-prefix\":\"/" + std::to_string(i) + "/" +
              std::string(1000, 'x') +
              "/\",\"variant\":\"effectful\",\"timeout-ms\":900,\"target\":\"s1\"}";
    }
    return text + "]}}";
  };
  api_.OnRequest(0, 20, Call("PUT", "0", padded(2, 4000)));
  ConfirmReads();
  ASSERT_EQ(log_.proposed_.size(), 1u);
  Commit(1);
  api_.OnRequest(0, 21, Call("PATCH", "2", routes(3, 0)));
  ConfirmReads();
  ASSERT_EQ(log_.proposed_.size(), 2u) << answers_[21].body;
  Commit(2);
  EXPECT_EQ(StatusOf(21), 200);
  api_.OnRequest(0, 22, Call("PATCH", "3", routes(4, 2400)));
  ConfirmReads();
  EXPECT_EQ(StatusOf(22), 413);
  EXPECT_NE(answers_[22].body.find(limit), std::string::npos) << answers_[22].body;
  EXPECT_EQ(log_.proposed_.size(), 2u);
  api_.OnRequest(0, 23, Call("PUT", "3", Document(4, kRoute)));
  ConfirmReads();
  ASSERT_EQ(log_.proposed_.size(), 3u);
  Commit(3);
  EXPECT_EQ(StatusOf(23), 200);
}

// Guards against a controller that doesn't lead answering calls itself, and against a redirect to
// an unknown address. A leader rejects malformed calls at once.
TEST_F(OperatorApiTest, RedirectsToTheLeaderWhenNotLeading) {
  struct Case {
    bool is_leader, committed_in_term;
    std::optional<std::string> leader;
    int status;
  } cases[] = {
      {false, false, "10.0.0.4:8080", 307},
      {false, false, std::nullopt, 503},
      {false, false, "", 503},
  };
  uint64_t ticket = 10;
  for (const Case& c : cases) {
    log_.is_leader_ = c.is_leader;
    log_.committed_in_term_ = c.committed_in_term;
    log_.leader_ = c.leader;
    api_.OnRequest(0, ++ticket, Call("GET", "", ""));
    EXPECT_EQ(StatusOf(ticket), c.status);
    if (c.status == 307) {
      EXPECT_EQ(*answers_[ticket].Find("Location"), "http://10.0.0.4:8080/elderkeel/config");
    }
  }
  log_.is_leader_ = true;
  api_.OnRequest(0, 40, Call("DELETE", "", ""));
  EXPECT_EQ(StatusOf(40), 405);
  api_.OnRequest(0, 41, Call("PUT", "", "{}"));
  EXPECT_EQ(StatusOf(41), 400);
}

// Guards against a definite answer for a call whose outcome is unknown: its entry is not yet
// committed at the deadline, or leadership is lost and another leader may still commit it.
TEST_F(OperatorApiTest, Answers503WhileTheOutcomeIsUnknown) {
  api_.OnRequest(0, 1, Call("PUT", "0", Document(2, kRoute)));
  ConfirmReads();
  api_.Tick(900);  // past the deadline
  EXPECT_EQ(StatusOf(1), 503);
  api_.OnRequest(1000, 2, Call("PUT", "0", Document(3, kRoute)));
  ConfirmReads();
  EXPECT_EQ(StatusOf(2), 0);  // still waits for the entry in flight
  log_.is_leader_ = log_.committed_in_term_ = false;
  api_.OnRoleChanged();
  EXPECT_EQ(StatusOf(2), 503);
  // Leads again, and the old entry was committed after all: a repetition of its call is
  // acknowledged.
  state_.Apply(log_.proposed_[0]);
  log_.is_leader_ = log_.committed_in_term_ = true;
  api_.OnRequest(1200, 3, Call("PUT", "0", Document(2, kRoute)));
  api_.OnRequest(1200, 4, Call("PUT", "0", Document(3, kRoute)));
  ConfirmReads();
  EXPECT_EQ(StatusOf(3), 200);
  EXPECT_EQ(StatusOf(4), 412);
  // A leader without a committed entry in its term retries the read instead of answering.
  log_.committed_in_term_ = false;
  api_.OnRequest(1300, 5, Call("GET", "", ""));
  EXPECT_TRUE(log_.reads_.empty());
  log_.committed_in_term_ = true;
  api_.Tick(1350);
  ConfirmReads();
  EXPECT_EQ(StatusOf(5), 200);
}

// Guards against a 404 for a zone that exists, from a controller that has just started or is cut
// off and so holds no complete list of zones.
TEST_F(OperatorApiTest, RejectsAnUnknownZoneOnlyAsAConfirmedLeader) {
  http::Message request;
  request.method = "POST";
  request.target = "/elderkeel/evacuation/nowhere";
  log_.is_leader_ = log_.committed_in_term_ = false;
  api_.OnRequest(0, 1, request);
  EXPECT_EQ(StatusOf(1), 503);
  log_.leader_ = "10.0.0.4:8080";
  api_.OnRequest(0, 2, request);
  EXPECT_EQ(StatusOf(2), 307);
  log_.is_leader_ = log_.committed_in_term_ = true;
  api_.OnRequest(0, 3, request);
  EXPECT_EQ(StatusOf(3), 0);
  ConfirmReads();
  EXPECT_EQ(StatusOf(3), 404);
  // A drained zone still exists after its last server has disappeared.
  drained_zones_.Apply({"nowhere", true});
  request.method = "DELETE";
  api_.OnRequest(0, 4, request);
  ConfirmReads();
  EXPECT_EQ(StatusOf(4), 0);
  EXPECT_EQ(log_.drained_zones_.size(), 1u);
}

// Guards against a drain order being acknowledged before it is committed, being proposed again when
// it is already in force, or being acknowledged by a controller that doesn't lead.
TEST_F(OperatorApiTest, DrainsAndRestoresAZoneThroughTheLog) {
  auto order = [&](const char* method, const char* zone) {
    http::Message request;
    request.method = method;
    request.target = std::string("/elderkeel/evacuation/") + zone;
    return request;
  };
  struct Case {
    const char* name;
    const char* method;
    const char* zone;
    bool is_leader;
    int status;    // 0: waits for the log
    bool commit;   // whether the proposed entry is committed
    bool drained;  // the zone, at the end
  } cases[] = {
      {"unknown zone", "POST", "nowhere", true, 404, false, false},
      {"unsupported method", "PUT", "a", true, 405, false, false},
      {"no leader", "POST", "a", false, 503, false, false},
      {"not committed", "POST", "a", true, 0, false, false},
      {"committed", "POST", "a", true, 200, true, true},
      {"repeated", "POST", "a", true, 200, false, true},
      {"restored", "DELETE", "a", true, 200, true, false},
      {"restored again", "DELETE", "a", true, 200, false, false},
      {"restored though never drained", "DELETE", "b", true, 200, false, false},
  };
  uint64_t ticket = 100;
  for (const Case& c : cases) {
    size_t before = log_.drained_zones_.size();
    log_.is_leader_ = log_.committed_in_term_ = c.is_leader;
    api_.OnRequest(0, ++ticket, order(c.method, c.zone));
    ConfirmReads();
    EXPECT_EQ(log_.drained_zones_.size() - before, c.commit || c.status == 0 ? 1u : 0u) << c.name;
    if (c.commit) {
      EXPECT_EQ(StatusOf(ticket), 0) << c.name;  // not before the entry is committed
      drained_zones_.Apply(log_.drained_zones_.back());
      api_.OnApplied(0, log_.drained_zones_.size());
    }
    EXPECT_EQ(StatusOf(ticket), c.status) << c.name;
    EXPECT_EQ(drained_zones_.IsDrained("a"), c.drained) << c.name;
    if (c.status == 0) {
      log_.is_leader_ = false;
      api_.OnRoleChanged();
      EXPECT_EQ(StatusOf(ticket), 503) << c.name;
    }
  }
}

// Guards against malformed roll-out orders being proposed, valid ones being acknowledged before
// they are committed, and a delayed repetition starting a roll-out again after it has ended.
TEST_F(OperatorApiTest, AcceptsRolloutOrdersThroughTheLog) {
  uint64_t ticket = 0;
  auto call = [&](const char* method, const std::string& path, const std::string& body) {
    http::Message request;
    request.method = method;
    request.target = path;
    request.body = body;
    EXPECT_TRUE(IsOperatorPath(request.Path())) << path;
    api_.OnRequest(0, ++ticket, request);
    ConfirmReads();
    return StatusOf(ticket);
  };
  const std::string post = "/elderkeel/rollouts", get = post + "/s";
  auto order = [](const char* service, const char* version, const char* over) {
    return std::string(R"({"target":")") + service + R"(","target-revision":")" + version +
           R"(","over-s":)" + over + "}";
  };
  struct Case {
    const char* method;
    std::string path, body;
    int status;
  };
  const std::string long_name(300, 'x');
  for (const Case& c : std::vector<Case>{
           {"GET", get, "", 404},
           {"POST", post, "", 400},
           {"POST", post, "[]", 400},
           {"POST", post, "{\"target\":", 400},
           {"POST", post, R"({"target":"s","over-s":12})", 400},
           {"POST", post, R"({"target":7,"target-revision":"v2","over-s":12})", 400},
           {"POST", post, order("s", "", "12"), 400},
           {"POST", post, order("s", "v2", "\"12\""), 400},
           {"POST", post, order("s", "v2", "0"), 400},
           {"POST", post, order("s", "v2", "-1"), 400},
           {"POST", post, order("s", "v2", "1e9"), 400},
           {"POST", post, order(long_name.c_str(), "v2", "12"), 400},
           {"POST", post, order("s", "v2", "12") + std::string(5000, ' '), 400},
           {"POST", post, order("t", "v2", "12"), 404},
           {"POST", get, order("s", "v2", "12"), 405},
           {"GET", post, "", 405},
           {"DELETE", get, "", 405},
       }) {
    EXPECT_EQ(call(c.method, c.path, c.body), c.status) << c.method << c.path << c.body;
  }
  EXPECT_TRUE(log_.rollouts_.empty());
  EXPECT_EQ(rollouts_.version(), 0u);
  auto commit = [&](rollout::Step step) {
    rollouts_.Apply(step);
    api_.OnApplied(0, log_.rollouts_.size());
  };
  rollout::Step ordered;
  ordered.kind = rollout::Step::Kind::kOrder;
  EXPECT_EQ(call("POST", post, order("s", "v2", "12.5")), 0);  // not before it is committed
  ASSERT_EQ(log_.rollouts_.size(), 1u);
  ordered.order = log_.rollouts_[0];
  EXPECT_EQ(ordered.order.time_limit_ms, 12500);
  commit(ordered);
  EXPECT_EQ(StatusOf(ticket), 200);
  EXPECT_EQ(call("POST", post, order("s", "v2", "12.5")), 200);  // repeated
  EXPECT_EQ(call("POST", post, order("s", "v3", "12.5")), 409);
  EXPECT_EQ(call("GET", get, ""), 200);
  EXPECT_EQ(answers_[ticket].body, R"({"status":"in_progress","target-revision":"v2"})");
  rollout::Step ended;
  ended.kind = rollout::Step::Kind::kStage;
  ended.number = 1;
  ended.stage = rollout::Stage::kReverted;
  commit(ended);
  EXPECT_EQ(call("GET", get, ""), 200);
  EXPECT_EQ(answers_[ticket].body, R"({"status":"reverted","target-revision":"v2"})");
  EXPECT_EQ(call("POST", post, order("s", "v2", "12.5")), 200);  // a delayed repetition
  EXPECT_EQ(log_.rollouts_.size(), 1u);
  EXPECT_EQ(call("POST", post, order("s", "v3", "12.5")), 0);
  EXPECT_EQ(log_.rollouts_.size(), 2u);
  log_.is_leader_ = false;
  EXPECT_EQ(call("GET", get, ""), 503);
}

http::Message DrainCall(const char* method, const char* zone) {
  http::Message request;
  request.method = method;
  request.target = std::string("/elderkeel/evacuation/") + zone;
  return request;
}

http::Message Rollout(const char* version) {
  http::Message request;
  request.method = "POST";
  request.target = "/elderkeel/rollouts";
  request.body =
      std::string(R"({"target":"s","target-revision":")") + version + R"(","over-s":12})";
  return request;
}

// Guards against a delayed copy of a drain order undoing a newer order: the copy is pending here
// while the order itself and then its opposite take effect.
TEST_F(OperatorApiTest, ADrainOrderWhoseOppositeTookEffectMeanwhileIsNotProposed) {
  struct Case {
    const char* name;
    const char* method;
    std::vector<std::pair<const char*, bool>> meanwhile;  // zone; drained
    int status;                                           // 0: proposed
  } cases[] = {
      {"nothing", "POST", {}, 0},
      {"the same order", "POST", {{"a", true}}, 200},
      {"the same order and its opposite", "POST", {{"a", true}, {"a", false}}, 503},
      {"another zone", "POST", {{"b", true}, {"b", false}}, 0},
      {"the same order, its opposite and the same again",
       "POST",
       {{"a", true}, {"a", false}, {"a", true}},
       200},
      {"the opposite of a restore order", "DELETE", {{"a", true}}, 503},
  };
  uint64_t ticket = 0;
  for (const Case& c : cases) {
    drained_zones_ = zone_drain::DrainedZones();
    log_.drained_zones_.clear();
    api_.OnRequest(0, ++ticket, DrainCall(c.method, "a"));
    for (const auto& [zone, drained] : c.meanwhile) {
      drained_zones_.Apply({zone, drained});
      api_.OnApplied(0, 1);
    }
    ConfirmReads();
    EXPECT_EQ(StatusOf(ticket), c.status) << c.name;
    EXPECT_EQ(log_.drained_zones_.size(), c.status == 0 ? 1u : 0u) << c.name;
    ++log_.term_;
    api_.OnRoleChanged();
  }
}

// Guards against a delayed copy of a roll-out order starting a roll-out again after a newer one to
// another version: the copy is pending here while both take effect and end.
TEST_F(OperatorApiTest, ASupersededRolloutOrderIsNotProposed) {
  auto order_and_end = [&](const char* version) {
    rollout::Step step;
    step.kind = rollout::Step::Kind::kOrder;
    step.order = {"s", version, 12000};
    ASSERT_TRUE(rollouts_.Apply(step));
    step.kind = rollout::Step::Kind::kStage;
    step.number = rollouts_.NewestOf("s")->number;
    step.stage = rollout::Stage::kReverted;
    ASSERT_TRUE(rollouts_.Apply(step));
  };
  api_.OnRequest(0, 1, Rollout("v2"));
  order_and_end("v2");
  order_and_end("v3");
  ConfirmReads();
  EXPECT_EQ(StatusOf(1), 503);
  EXPECT_TRUE(log_.rollouts_.empty());
  api_.OnRequest(0, 2, Rollout("v2"));  // arrives after v3's end, so it is a new order
  ConfirmReads();
  EXPECT_EQ(log_.rollouts_.size(), 1u);
}

// Guards against proposing the call of a caller that has disconnected, or whose deadline has
// passed: it may have retried elsewhere. A call that is already proposed completes.
TEST_F(OperatorApiTest, ProposesNothingForDisconnectedCallersOrExpiredCalls) {
  api_.OnRequest(0, 1, DrainCall("POST", "a"));
  api_.OnCallerDisconnected(1);
  ConfirmReads();
  EXPECT_TRUE(log_.drained_zones_.empty());
  EXPECT_EQ(StatusOf(1), 0);
  // The process was suspended between the call and the read confirmation.
  api_.OnRequest(0, 2, DrainCall("POST", "a"));
  api_.OnReadFinished(20000, log_.reads_.back(), true);
  EXPECT_TRUE(log_.drained_zones_.empty());
  EXPECT_EQ(StatusOf(2), 503);
  // An order that was proposed before its caller disconnected is committed.
  log_.reads_.clear();
  api_.OnRequest(0, 3, DrainCall("POST", "a"));
  ConfirmReads();
  ASSERT_EQ(log_.drained_zones_.size(), 1u);
  api_.OnCallerDisconnected(3);
  api_.OnRequest(0, 4, DrainCall("POST", "a"));
  ConfirmReads();
  EXPECT_EQ(log_.drained_zones_.size(), 1u);
  drained_zones_.Apply(log_.drained_zones_[0]);
  api_.OnApplied(0, 1);
  EXPECT_EQ(StatusOf(4), 200);
}

// Guards against a quorum round trip per tick for a call whose read confirmation is pending.
TEST_F(OperatorApiTest, RequestsOneReadConfirmationPerCall) {
  api_.OnRequest(0, 1, Call("GET", "", ""));
  for (base::Millis now = 50; now < 800; now += 50) api_.Tick(now);
  EXPECT_EQ(log_.reads_.size(), 1u);
}

// Guards against acknowledging a call by another entry at its index: leadership is lost and
// regained between two calls of OnRoleChanged(), and the entry in flight may have been replaced.
TEST_F(OperatorApiTest, LeadershipRegainedInAnotherTermFailsPendingCalls) {
  api_.OnRequest(0, 1, Call("PUT", "0", Document(2, kRoute)));
  ConfirmReads();
  ASSERT_EQ(log_.proposed_.size(), 1u);
  api_.OnRoleChanged();  // same term: the leader has committed its first entry
  EXPECT_EQ(StatusOf(1), 0);
  ++log_.term_;
  api_.OnRoleChanged();  // another term: another entry may be at the index of the one in flight
  EXPECT_EQ(StatusOf(1), 503);
  api_.OnRequest(0, 2, Call("PUT", "0", Document(3, kRoute)));
  ConfirmReads();
  EXPECT_EQ(log_.proposed_.size(), 2u);  // no entry is in flight any more
}

// Guards against a 404 for a zone before a quorum has confirmed the read.
TEST_F(OperatorApiTest, RejectsNoZoneBeforeTheReadIsConfirmed) {
  log_.is_leader_ = log_.committed_in_term_ = false;
  api_.OnRequest(0, 1, DrainCall("POST", "unheard-of"));
  EXPECT_EQ(StatusOf(1), 503);
  log_.is_leader_ = log_.committed_in_term_ = true;
  api_.OnRequest(0, 2, DrainCall("POST", "unheard-of"));
  EXPECT_EQ(StatusOf(2), 0);
  ConfirmReads();
  EXPECT_EQ(StatusOf(2), 404);
}

// Guards against a zone that stays drained for good: its servers disappear during the drain, and
// the order to restore it gets a 404.
TEST_F(OperatorApiTest, ADrainedZoneThatLostItsLastServerCanBeRestored) {
  drained_zones_.Apply({"a", true});
  log_.zones_.clear();
  api_.OnRequest(0, 1, DrainCall("POST", "a"));
  ConfirmReads();
  EXPECT_EQ(StatusOf(1), 200);  // repeated
  api_.OnRequest(0, 2, DrainCall("DELETE", "a"));
  ConfirmReads();
  ASSERT_EQ(log_.drained_zones_.size(), 1u);
  drained_zones_.Apply(log_.drained_zones_[0]);
  api_.OnApplied(0, 1);
  EXPECT_EQ(StatusOf(2), 200);
}

// Guards against unbounded memory use: many calls with large bodies are pending at once, each below
// the size limit.
TEST_F(OperatorApiTest, BoundsTheTotalSizeOfPendingBodies) {
  std::string large(3u << 20, ' ');  // below the size limit of one call
  for (uint64_t ticket = 1; ticket <= 10; ++ticket) {
    api_.OnRequest(0, ticket, Call("PUT", "0", large));
    EXPECT_EQ(StatusOf(ticket), 0) << ticket;
  }
  api_.OnRequest(0, 11, Call("PUT", "0", large));
  EXPECT_EQ(StatusOf(11), 503);
  api_.OnRequest(0, 12, Call("PUT", "0", Document(2, kRoute)));
  EXPECT_EQ(StatusOf(12), 0);
}

// Guards against a snapshot that loses a part of the state, and against a controller that can't
// load, after an upgrade, a snapshot from before a part was added.
TEST(ControlState, SnapshotsRoundTripAndOlderOnesLoad) {
  controller::ControlState state;
  state.Apply(controller::MakeCommand(controller::Command::Kind::kConfiguration,
                                      Change{false, 0, Document(2, kRoute)}));
  state.Apply(controller::MakeCommand(controller::Command::Kind::kCatalogReader,
                                      singleton::Assignment{5, 6, 7}));
  state.Apply(controller::MakeCommand(controller::Command::Kind::kZoneDrain,
                                      zone_drain::DrainOrder{"a", true}));
  rollout::Step step;
  step.kind = rollout::Step::Kind::kOrder;
  step.order = {"s", "v2", 12000};
  step.observers = {3, 4};
  state.Apply(controller::MakeCommand(controller::Command::Kind::kRollout, step));
  step.kind = rollout::Step::Kind::kDetected;
  step.detected = {{"s", "v1"}, {"t", "v5"}};
  state.Apply(controller::MakeCommand(controller::Command::Kind::kRollout, step));
  auto read = controller::ControlState::Decode(transport::Encode(state));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->configuration.revision(), 2);
  EXPECT_EQ(read->catalog_reader.epoch, 7u);
  EXPECT_TRUE(read->drained_zones.IsDrained("a"));
  ASSERT_TRUE(read->rollouts.NewestOf("s"));
  EXPECT_EQ(read->rollouts.NewestOf("s")->previous_version, "v1");
  EXPECT_EQ(read->rollouts.NewestOf("s")->observers, (std::vector<uint64_t>{3, 4}));
  EXPECT_EQ(read->rollouts.InForce("t"), "v5");
  EXPECT_EQ(read->rollouts.version(), 2u);
  // Before roll-outs were added, a snapshot ended with the drained zones.
  read = controller::ControlState::Decode(transport::Encode(state.configuration) +
                                          transport::Encode(state.catalog_reader) +
                                          transport::Encode(state.drained_zones));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->drained_zones.IsDrained("a"));
  EXPECT_EQ(read->rollouts.version(), 0u);
  // Before zone drains were added, a snapshot ended with the assignment of the catalog reader.
  read = controller::ControlState::Decode(transport::Encode(state.configuration) +
                                          transport::Encode(state.catalog_reader));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->configuration.revision(), 2);
  EXPECT_EQ(read->catalog_reader.epoch, 7u);
  EXPECT_TRUE(read->drained_zones.zones().empty());
  EXPECT_FALSE(controller::ControlState::Decode("cut"));
}

}  // namespace
}  // namespace elderkeel::configuration
