#include "discovery/endpoints.h"

#include <gtest/gtest.h>

namespace elderkeel::discovery {
namespace {

std::string Entry(const std::string& id, const std::string& address, const std::string& status,
                  const std::string& service = "s") {
  return R"({"id":")" + id + R"(","target":")" + service + R"(","address":")" + address +
         R"(","zone":"a","status":")" + status + R"("})";
}
std::string PageOf(const std::vector<std::string>& entries, const std::string& next) {
  std::string text = R"({"servers":[)";
  for (size_t i = 0; i < entries.size(); ++i) text += (i ? "," : "") + entries[i];
  return text + R"(],"next-token":)" + (next.empty() ? "null" : "\"" + next + "\"") + "}";
}

// The list changes while its pages are read, or comes broken.
TEST(EndpointListReader, OfAListThatChangesUnderneath) {
  const std::string a = Entry("a", "10.0.0.1:80", "accepting");
  const std::string a_drains = Entry("a", "10.0.0.1:80", "draining");
  const std::string b = Entry("b", "10.0.0.2:80", "accepting");
  struct Case {
    const char* name;
    std::vector<std::string> pages;
    const char* read;  // ids, in capitals those that drain; "!" where it is no list
  } cases[] = {
      {"one page", {PageOf({b, a}, "")}, "ab"},
      {"two pages", {PageOf({b}, "p"), PageOf({a}, "")}, "ab"},
      {"moved to a later page", {PageOf({a, b}, "p"), PageOf({b}, "")}, "ab"},
      {"drains meanwhile", {PageOf({a, b}, "p"), PageOf({a_drains}, "")}, "Ab"},
      {"drained on an earlier page", {PageOf({a_drains, b}, "p"), PageOf({a}, "")}, "Ab"},
      {"its address given away meanwhile: two servers",
       {PageOf({a}, "p"), PageOf({Entry("c", "10.0.0.1:80", "accepting", "t")}, "")},
       "ac"},
      {"another address",
       {PageOf({a}, "p"), PageOf({Entry("a", "10.0.0.9:80", "accepting")}, "")},
       "!"},
      {"another service",
       {PageOf({a}, "p"), PageOf({Entry("a", "10.0.0.1:80", "accepting", "t")}, "")},
       "!"},
      {"cut", {PageOf({a}, "p"), PageOf({b}, "").substr(0, 40)}, "!"},
      {"no list of servers", {R"({"next-token":null})"}, "!"},
      {"an address that is none", {PageOf({Entry("a", "10.0.0.1", "accepting")}, "")}, "!"},
      {"an entry without a name", {PageOf({Entry("", "10.0.0.1:80", "accepting")}, "")}, "!"},
      {"empty", {PageOf({}, "")}, ""},
  };
  for (const Case& c : cases) {
    EndpointListReader reading;
    std::string target = reading.Start();
    std::string read;
    for (const std::string& page : c.pages) {
      ASSERT_FALSE(target.empty()) << c.name;
      auto next = reading.Take(200, page);
      if (!next) {
        EXPECT_FALSE(next.error().reason.empty()) << c.name;
        EXPECT_FALSE(reading.active()) << c.name;
        read = "!";
        break;
      }
      target = *next;
    }
    if (read.empty()) {
      EXPECT_TRUE(target.empty()) << c.name;
      for (const Server& server : reading.Finish(0)) {
        read += server.draining ? static_cast<char>(std::toupper(server.id[0])) : server.id[0];
      }
    }
    EXPECT_EQ(read, c.read) << c.name;
  }
  EndpointListReader reading;
  reading.Start();
  EXPECT_FALSE(reading.Take(429, PageOf({a}, "")));
}

}  // namespace
}  // namespace elderkeel::discovery
