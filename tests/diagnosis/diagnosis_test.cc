#include "diagnosis/diagnosis.h"

#include <gtest/gtest.h>

#include "diagnosis/console.h"

namespace elderkeel::diagnosis {
namespace {

const char* kLines =
    "event=request.done at_us=2000000 attempt=a1 status=502 step=answer reason=\"no = seal\" "
    "server=i-1 sends=2 revision=7\n"
    "event=request.done at_us=1000000 attempt=a2 status=200 step=answer reason=\"\" server=i-1 "
    "sends=1 revision=6\n"
    "event=version.adopted at_us=1500000 good=0 number=7\n"
    "event=server.draining at_us=1700000 server=i-1 good=0 number=0\n";

// Guards against splitting a quoted value at its spaces or at the '=' signs in it.
TEST(Diagnosis, ValueOfReadsPlainAndQuotedValues) {
  std::string line = "a=1 b=\"x \\\"y\\\" b=2\" c=3";
  EXPECT_EQ(ValueOf(line, "a"), "1");
  EXPECT_EQ(ValueOf(line, "b"), "x \"y\" b=2");
  EXPECT_EQ(ValueOf(line, "c"), "3");
  EXPECT_EQ(ValueOf(line, "d"), "");
}

// Guards against a query that selects records of other requests, and against invalid queries that
// are accepted.
TEST(Diagnosis, SelectReturnsOnlyMatchingLinesAndInvalidQueriesAreRejected) {
  struct Case {
    const char* query;
    size_t lines;  // 99: the query is rejected
  } cases[] = {{"attempt=a1", 1},   {"attempt=a", 0},      {"server=i-1", 3}, {"revision=7", 2},
               {"revision=9", 0},   {"attempt=", 99},      {"", 99},          {"color=red", 99},
               {"attempt=a b", 99}, {"attempt=a1&x=y", 99}};
  for (const Case& c : cases) {
    auto question = Question::Parse(c.query);
    ASSERT_EQ(question.has_value(), c.lines != 99) << c.query;
    if (question) {
      EXPECT_EQ(Select(*question, kLines).lines.size(), c.lines) << c.query;
    }
  }
}

// Guards against a report that is not ordered by time, counts a reply to another question, or does
// not list a node that has not replied.
TEST(Diagnosis, ReportIsOrderedByTimeAndListsNodesWithoutReply) {
  FleetQuery query(5, *Question::Parse("server=i-1"), {{"10.0.0.1:7", "a"}, {"10.0.0.2:7", "b"}},
                   1000);
  EXPECT_EQ(query.Next(0).size(), 2u);
  Reply reply = Select(*Question::Parse("server=i-1"), kLines);
  reply.nonce = 4;
  query.AddReply("10.0.0.1:7", reply);  // a reply to another question
  reply.nonce = 5;
  reply.node = "edge-1";
  query.AddReply("10.0.0.1:7", reply);
  EXPECT_FALSE(query.Done(999));
  EXPECT_TRUE(query.Done(1000));
  std::string json = query.Report();
  EXPECT_LT(json.find("attempt=a2"), json.find("server.draining"));
  EXPECT_LT(json.find("server.draining"), json.find("attempt=a1"));
  EXPECT_NE(json.find("2 requests ended there, 1 of them without success, seen by 1 nodes"),
            std::string::npos)
      << json;
  bool degraded = false;
  std::string text = DiagnosisText(json, &degraded);
  EXPECT_TRUE(degraded);
  EXPECT_NE(text.find("did not answer: 10.0.0.2:7"), std::string::npos);
  query.AddReply("10.0.0.2:7", Reply{5, "edge-2", 0, false, {}});
  EXPECT_TRUE(query.Done(0));
  degraded = false;
  DiagnosisText(query.Report(), &degraded);
  EXPECT_FALSE(degraded);
}

// Guards against failures of another route or of a greater age in the result, and against a result
// that does not say how many records of failures are missing.
TEST(Diagnosis, FailuresAreSelectedByRouteAndAgeAndReportMissingRecords) {
  struct Case {
    const char* query;
    int lines;  // -1: the query is rejected
  } cases[] = {{"", 2},          {"route=r1", 1}, {"last-s=2", 1},   {"zone=a&route=r2", 1},
               {"last-s=0", -1}, {"route=", -1},  {"colour=red", -1}};
  const char* text =
      "event=request.failed at_us=1000000 attempt=a1 status=503 route=r1 server=none\n"
      "event=request.failed at_us=9000000 attempt=a2 status=502 route=r2 server=i-1\n";
  for (const Case& c : cases) {
    auto question = Question::ParseFailures(c.query);
    ASSERT_EQ(question.has_value(), c.lines >= 0) << c.query;
    if (!question) continue;
    EXPECT_EQ(SelectFailures(*question, text, 10000000).lines.size(), static_cast<size_t>(c.lines))
        << c.query;
  }
  FleetQuery query(1, *Question::ParseFailures(""), {{"10.0.0.1:7", "a"}}, 1000);
  query.Next(0);
  Reply reply = SelectFailures(*Question::ParseFailures(""), text, 10000000);
  reply.nonce = 1;
  reply.missing = 7;
  query.AddReply("10.0.0.1:7", reply);
  bool degraded = false;
  std::string shown = DiagnosisText(query.Report(), &degraded);
  EXPECT_TRUE(degraded);
  EXPECT_NE(shown.find("2 requests failed on 1 nodes: r1 1 r2 1"), std::string::npos) << shown;
  EXPECT_NE(shown.find("7 failures whose records"), std::string::npos) << shown;
  EXPECT_NE(shown.find("a    [not run]"), std::string::npos) << shown;
  EXPECT_NE(shown.find("[may have run]"), std::string::npos) << shown;
}

// Guards against "not run" for a request that a server may have executed: a client would retry it.
TEST(Diagnosis, OutcomeFollowsFromStatusAndNumberOfSends) {
  struct Case {
    const char* line;
    const char* outcome;
  } cases[] = {{"status=503 sends=2", "not run"},      {"status=502 sends=0", "not run"},
               {"status=502 sends=1", "may have run"}, {"status=504 sends=1", "may have run"},
               {"status=0 sends=1", "may have run"},   {"status=0 sends=0", "not run"},
               {"status=500 sends=1", "answered"},     {"event=version.adopted", ""}};
  for (const Case& c : cases) EXPECT_EQ(OutcomeOf(c.line), c.outcome) << c.line;
}

// 400 nodes, of which the last 200 never reply. Guards against more than 32 queries in flight,
// against silent nodes that keep the others from being asked in time, and against a report that
// does not list the nodes without a reply.
TEST(Diagnosis, QueriesInFlightAreBoundedAndAllLiveNodesReply) {
  std::vector<Target> targets;
  for (int i = 0; i < 400; ++i) targets.push_back({"n" + std::to_string(i), "z"});
  FleetQuery query(1, *Question::ParseFailures(""), targets, 1500);
  size_t answered = 0;
  std::map<std::string, base::Millis> open;
  base::Millis now = 0;
  for (; !query.Done(now); now += 50) {
    for (const std::string& address : query.Next(now)) open[address] = now;
    size_t waiting = 0;
    for (auto at = open.begin(); at != open.end();) {
      bool alive = std::stoi(at->first.substr(1)) < 200;
      waiting += now - at->second < 300;
      if (alive && now > at->second) {
        Reply reply;
        reply.nonce = 1;
        query.AddReply(at->first, reply);
        ++answered;
        at = open.erase(at);
      } else {
        ++at;
      }
    }
    EXPECT_LE(waiting, 32u) << now;
  }
  EXPECT_EQ(now, 1500);
  EXPECT_EQ(answered, 200u);
  bool degraded = false;
  std::string text = DiagnosisText(query.Report(), &degraded);
  EXPECT_TRUE(degraded);
  EXPECT_NE(text.find("did not answer: n200"), std::string::npos);
  EXPECT_NE(text.find("were not asked in time: "), std::string::npos);
  EXPECT_NE(text.find(" n399\n"), std::string::npos);
}

// Guards against a status without a majority, or an unreadable one, that is shown as healthy.
TEST(Diagnosis, StatusWithoutMajorityIsDegradedAndSaysWhatIsUnknown) {
  bool degraded = false;
  std::string text = StatusText(
      R"({"node":"n1","role":"leader","term":3,"leader":"10.0.0.1:7","settled":true,"revision":4,
      "voters":[{"address":"10.0.0.1:7","control":"10.0.0.1:8","silent-ms":0}],
      "nodes":[{"address":"10.0.0.1:9","program":"proxy","zone":"a","state":"alive","revision":"4","ready":"yes"}]})",
      &degraded);
  EXPECT_FALSE(degraded);
  EXPECT_NE(text.find("revision 4  ready yes"), std::string::npos) << text;
  text = StatusText(
      R"({"node":"n1","role":"follower","term":3,"leader":null,"settled":false,"unknown":"no majority is heard: own view"})",
      &degraded);
  EXPECT_TRUE(degraded);
  EXPECT_NE(text.find("leader      unknown   no majority is heard"), std::string::npos) << text;
  EXPECT_NE(text.find("unknown     no majority is heard: own view"), std::string::npos);
  degraded = false;
  StatusText("nonsense", &degraded);
  EXPECT_TRUE(degraded);
}

// Guards against a roll-out report that leaves out the state, a vote or the numbers behind the
// vote, or that is shown as healthy without a leader.
TEST(Diagnosis, RollOutReportShowsStateVotesAndTheirNumbers) {
  bool degraded = false;
  std::string text = RolloutsText(
      R"({"node":"c1","settled":true,"by-order":true,"in-force":{"s":"v1"},"rollouts":[
      {"service":"s","version":"v2","from":"v1","status":"in_progress","stage":"promoting",
      "reason":"voted good","elapsed-ms":10300,"over-ms":14000,"watchers":[
      {"address":"10.0.0.1:7","vote":"unknown"},
      {"address":"10.0.0.2:7","vote":"good","ago-ms":120,"why":"","requests":9000,"sent-to-new":540,
      "proxies-heard":71,"proxies-in-sight":73,"not-confirmed":1,"not-heard":2,"missing":["10.0.0.9:8"],
      "routes":[{"route":"r-a","old":{"answers":8400,"failed":3,"broken-off":0,"late":90,"timed":8400},
      "new":{"answers":540,"failed":0,"broken-off":0,"late":8,"timed":500}}]}]}]})",
      &degraded);
  EXPECT_FALSE(degraded);
  for (const char* part :
       {"in force    s  v1", "s from v1 to v2: in_progress (promoting), 10300 ms of 14000",
        "reason    voted good", "10.0.0.1:7  unknown", "10.0.0.2:7  good, 120 ms ago",
        "540 of 9000 requests", "1 that have not confirmed, 2 that are not heard: 10.0.0.9:8",
        "r-a  new: 540 answers, 0 failed, 0 broken off, 8 late of 500"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
  text = RolloutsText(R"({"node":"c1","settled":false,"by-order":false,"rollouts":[]})", &degraded);
  EXPECT_TRUE(degraded);
  EXPECT_NE(text.find("no leader"), std::string::npos) << text;
  EXPECT_NE(text.find("lacks `rollout`"), std::string::npos) << text;
  degraded = false;
  RolloutsText("nonsense", &degraded);
  EXPECT_TRUE(degraded);
}

}  // namespace
}  // namespace elderkeel::diagnosis
