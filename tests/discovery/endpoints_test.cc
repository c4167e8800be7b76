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

// Guards against servers that are lost, listed twice or no longer draining because the list changes
// while its pages are read, and against lists that are adopted although a page is invalid.
TEST(EndpointListReader, MergesPagesOfAChangingListAndRejectsInvalidOnes) {
  const std::string a = Entry("a", "10.0.0.1:80", "accepting");
  const std::string a_drains = Entry("a", "10.0.0.1:80", "draining");
  const std::string b = Entry("b", "10.0.0.2:80", "accepting");
  struct Case {
    const char* name;
    std::vector<std::string> pages;
    const char* read;  // ids, upper case for draining servers; "!" if the reading fails
  } cases[] = {
      {"one page", {PageOf({b, a}, "")}, "ab"},
      {"two pages", {PageOf({b}, "p"), PageOf({a}, "")}, "ab"},
      {"moved to a later page", {PageOf({a, b}, "p"), PageOf({b}, "")}, "ab"},
      {"drains during the reading", {PageOf({a, b}, "p"), PageOf({a_drains}, "")}, "Ab"},
      {"drained on an earlier page", {PageOf({a_drains, b}, "p"), PageOf({a}, "")}, "Ab"},
      {"its address is reassigned during the reading: two servers",
       {PageOf({a}, "p"), PageOf({Entry("c", "10.0.0.1:80", "accepting", "t")}, "")},
       "ac"},
      {"another address",
       {PageOf({a}, "p"), PageOf({Entry("a", "10.0.0.9:80", "accepting")}, "")},
       "!"},
      {"another service",
       {PageOf({a}, "p"), PageOf({Entry("a", "10.0.0.1:80", "accepting", "t")}, "")},
       "!"},
      {"truncated page", {PageOf({a}, "p"), PageOf({b}, "").substr(0, 40)}, "!"},
      {"page without servers", {R"({"next-token":null})"}, "!"},
      {"invalid address", {PageOf({Entry("a", "10.0.0.1", "accepting")}, "")}, "!"},
      {"entry without an id", {PageOf({Entry("", "10.0.0.1:80", "accepting")}, "")}, "!"},
      {"empty list", {PageOf({}, "")}, ""},
  };
  for (const Case& c : cases) {
    EndpointListReader reader;
    std::string target = reader.Start();
    std::string read;
    for (const std::string& page : c.pages) {
      ASSERT_FALSE(target.empty()) << c.name;
      auto next = reader.AddPage(200, page);
      if (!next) {
        EXPECT_FALSE(next.error().reason.empty()) << c.name;
        EXPECT_FALSE(reader.active()) << c.name;
        read = "!";
        break;
      }
      target = *next;
    }
    if (read.empty()) {
      EXPECT_TRUE(target.empty()) << c.name;
      for (const Server& server : reader.Finish(0)) {
        read += server.draining ? static_cast<char>(std::toupper(server.id[0])) : server.id[0];
      }
    }
    EXPECT_EQ(read, c.read) << c.name;
  }
  EndpointListReader reader;
  reader.Start();
  EXPECT_FALSE(reader.AddPage(429, PageOf({a}, "")));
}

}  // namespace
}  // namespace elderkeel::discovery
