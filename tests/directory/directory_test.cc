#include "directory/directory.h"

#include <gtest/gtest.h>

#include <set>

namespace elderkeel::directory {
namespace {

class DirectoryTest : public ::testing::Test {
 protected:
  DirectoryTest()
      : members_(MembershipOptions(), {}, 0), directory_(DirectoryOptions(), &members_, 1, 0) {}
  static Directory::Options DirectoryOptions() {
    Directory::Options options;
    options.other_region_ttl_s = 5;
    return options;
  }
  static membership::Membership::Options MembershipOptions() {
    membership::Membership::Options options;
    options.self.id = 1;
    options.self.program = membership::Program::kController;
    options.self.zone = "a1";
    options.regions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    return options;
  }
  void Put(int n, const std::string& zone, membership::State state = membership::State::kAlive,
           bool ready = true, membership::Program program = membership::Program::kProxy) {
    membership::Node node;
    node.id = 100 + static_cast<uint64_t>(n);
    node.ip = "10.0.0." + std::to_string(n);
    node.port = 7201;
    node.client_port = 8080;
    node.zone = zone;
    node.boot_id = 5;
    node.incarnation = ++incarnation_;
    node.state = state;
    node.ready = ready;
    node.program = program;
    members_.OnMembershipUpdate(0, {"10.0.9.9", 1}, membership::MembershipUpdate{{node}, {}});
  }
  http::Message Call(const std::string& target, base::Millis now = 5000,
                     const std::string& method = "GET") {
    http::Message request;
    request.method = method;
    request.target = target;
    return directory_.Answer(now, request);
  }
  // The last parts of the addresses in the answer to a client of the zone.
  std::set<std::string> NamedProxies(const std::string& zone, const std::string& region = "a") {
    http::Message answer =
        Call("/elderkeel/resolution?label=h.example&region=" + region + "&zone=" + zone);
    std::set<std::string> named;
    for (size_t at = 0; (at = answer.body.find("10.0.0.", at)) != std::string::npos; ++at) {
      named.insert(answer.body.substr(at + 7, answer.body.find(':', at) - at - 7));
    }
    return named;
  }

  uint32_t incarnation_ = 0;
  membership::Membership members_;
  Directory directory_;
};

TEST_F(DirectoryTest, RejectsMalformedQueriesOtherMethodsAndPaths) {
  Put(1, "a1");
  struct Case {
    const char* method;
    const char* target;
    int status;
  } cases[] = {
      {"GET", "/elderkeel/resolution?label=h&region=a&zone=a1", 200},
      {"GET", "/elderkeel/resolution?zone=a1&label=h%2Eexample&new-field=1", 200},
      {"GET", "/elderkeel/resolution?label=never-heard-of&region=mars&zone=sea", 200},
      {"GET", "/elderkeel/resolution", 400},
      {"GET", "/elderkeel/resolution?region=a&zone=a1", 400},
      {"GET", "/elderkeel/resolution?label=h", 400},
      {"GET", "/elderkeel/resolution?label=&zone=a1", 400},
      {"GET", "/elderkeel/resolution?label=%zz&zone=a1", 400},
      {"GET", "/elderkeel/resolution?label=h&label=h&zone=a1", 400},
      {"GET", "/elderkeel/resolution?label&zone=a1", 400},
      {"POST", "/elderkeel/resolution?label=h&region=a&zone=a1", 405},
      {"GET", "/elderkeel/resolutions?label=h&region=a&zone=a1", 404},
  };
  for (const Case& c : cases)
    EXPECT_EQ(Call(c.target, 5000, c.method).status, c.status) << c.target;
}

// Clients must be sent to usable proxies as near as possible, to proxies in an uncertain state only
// if there are no usable ones, and never to proxies that have left.
TEST_F(DirectoryTest, NamesTheNearestUsableProxies) {
  EXPECT_EQ(Call("/elderkeel/resolution?label=h&zone=a1").status, 503);  // no proxy known
  for (int n : {1, 2, 3}) Put(n, "a1");
  for (int n : {4, 5}) Put(n, "a2");
  for (int n : {6, 7}) Put(n, "b1");
  using Set = std::set<std::string>;
  EXPECT_EQ(NamedProxies("a1"), (Set{"1", "2", "3"}));
  EXPECT_EQ(NamedProxies("b1"), (Set{"6", "7"}));
  EXPECT_EQ(NamedProxies("new", "a"), (Set{"1", "2", "3", "4", "5"}));  // unknown zone: its region
  EXPECT_EQ(NamedProxies("new", "mars").size(), 7u);
  Put(3, "a1", membership::State::kAlive, false);  // not ready
  EXPECT_EQ(NamedProxies("a1"), (Set{"1", "2"}));
  Put(2, "a1", membership::State::kDead);
  // Two of the zone's three proxies are not usable: two of its region's are added.
  Set named = NamedProxies("a1");
  EXPECT_EQ(named.count("1"), 1u);
  EXPECT_EQ(named.size(), 3u);
  EXPECT_EQ(named.count("6") + named.count("7"), 0u);
  Put(1, "a1", membership::State::kLeft);
  EXPECT_EQ(NamedProxies("a1"), (Set{"4", "5"}));
  for (int n : {4, 5}) Put(n, "a2", membership::State::kSuspect);
  EXPECT_EQ(NamedProxies("a1"), (Set{"6", "7"}));
  // No proxy is known to be usable: those that may still serve are named, but none that has left.
  for (int n : {6, 7}) Put(n, "b1", membership::State::kDead);
  EXPECT_EQ(NamedProxies("a1"), (Set{"3"}));
  for (int n : {3, 4, 5}) Put(n, n == 3 ? "a1" : "a2", membership::State::kDead);
  EXPECT_EQ(NamedProxies("a1"), (Set{"2", "3"}));
}

// In an incident a region was lost, and for the six seconds that it was unreachable the directories
// of other regions went on naming its proxies, whose failure was detected late.
TEST_F(DirectoryTest, NamesProxiesOfARegionWithoutALiveControllerLast) {
  for (int n : {1, 2}) Put(n, "a1");
  for (int n : {6, 7}) Put(n, "b1");
  auto put_controller = [&](int n, const char* zone, membership::State state) {
    Put(n, zone, state, false, membership::Program::kController);
  };
  using Set = std::set<std::string>;
  put_controller(20, "b1", membership::State::kAlive);
  put_controller(21, "b2", membership::State::kSuspect);
  EXPECT_EQ(NamedProxies("b1", "b"), (Set{"6", "7"}));
  put_controller(20, "b1", membership::State::kSuspect);
  put_controller(21, "b1", membership::State::kDead);
  EXPECT_EQ(NamedProxies("b1", "b"), (Set{"1", "2"}));
  std::string target = "/elderkeel/resolution?label=h&zone=";
  EXPECT_NE(Call(target + "b1").body.find("\"ttl-s\":5"), std::string::npos);
  EXPECT_NE(Call(target + "a1").body.find("\"ttl-s\":1"), std::string::npos);
  // No proxy is usable in any region: the nearest ones are named again.
  for (int n : {1, 2}) Put(n, "a1", membership::State::kSuspect);
  EXPECT_EQ(NamedProxies("b1", "b"), (Set{"6", "7"}));
}

TEST_F(DirectoryTest, NamesUncertainProxiesOnlyAfterTheStartupWait) {
  Put(1, "a1", membership::State::kAlive, false);
  EXPECT_EQ(Call("/elderkeel/resolution?label=h&zone=a1", 100).status, 503);
  EXPECT_EQ(Call("/elderkeel/resolution?label=h&zone=a1", 2000).status, 200);
}

}  // namespace
}  // namespace elderkeel::directory
