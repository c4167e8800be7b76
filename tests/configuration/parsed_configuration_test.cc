#include "configuration/parsed_configuration.h"

#include <gtest/gtest.h>

#include <set>

#include "base/random.h"
#include "configuration/configuration_state.h"
#include "configuration/patch.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "transport/frame.h"

namespace elderkeel::configuration {
namespace {

// The configuration as it was when every change went through the whole document: what a change
// gives, and why it is refused, must be the same on either way.
class FullConfiguration {
 public:
  base::Verdict Evaluate(const Change& change, std::string* text) const {
    base::Status readable = CheckReadable(change.body);
    if (!readable) return {400, readable.error().reason};
    if (change.if_match != revision_) {
      return {412, "version " + std::to_string(revision_) + " is current"};
    }
    if (change.patch) {
      auto patched =
          ApplyPatch(text_.empty() ? R"({"revision":0,"route-list":[],"service-list":[]})" : text_,
                     change.body);
      if (!patched) return {400, patched.error().reason};
      *text = std::move(*patched);
    } else {
      *text = change.body;
    }
    auto valid = Validate(*text);
    if (!valid) return {400, valid.error().reason};
    if (RevisionOf(*text) <= revision_) {
      return {400, "revision: is not above " + std::to_string(revision_)};
    }
    return {0, ""};
  }
  void Apply(std::string text) {
    text_ = std::move(text);
    revision_ = RevisionOf(text_);
  }
  int64_t revision() const { return revision_; }
  const std::string& text() const { return text_; }

 private:
  int64_t revision_ = 0;
  std::string text_;
};

// Writes changes of all kinds, good ones mostly; few names, so that they meet.
class Writer {
 public:
  explicit Writer(uint64_t seed) : random_(seed) {}

  bool OneIn(uint64_t n) { return random_.Below(n) == 0; }

  std::string Pick(std::initializer_list<const char*> of) {
    return *(of.begin() + static_cast<long>(random_.Below(of.size())));
  }
  std::string Service() {
    if (OneIn(60)) return Pick({"nobody", R"(s\u00001)", R"(s\u00e91)"});
    return "s" + std::to_string(random_.Below(6));
  }
  std::string Label() {
    if (OneIn(60)) return Pick({R"(r\u0000x)", R"(r\"q\\)", R"(\u0072\u0031)", "é"});
    return "r" + std::to_string(random_.Below(24));
  }
  // Members that nobody knows are kept as they are; numbers and strings of every form.
  std::string Unknown() {
    return Pick({R"(,"note":"kept")", R"(,"x":[1.0,-0.0,1e3,0.1])",
                 R"(,"x":{"y":[null,true,{"z":12345678901234567890123}]})",
                 R"(,"x":"\u20ac\ud83d\ude00\/")", R"(,"label":"again")", R"(, "x" : -0 )", "", "",
                 "", "", "", ""});
  }
  std::string Target() {
    if (OneIn(40)) return Pick({"", R"(,"weighted-targets":[])", R"(,"target":7)"});
    std::string text;
    if (!OneIn(4)) text += R"(,"target":")" + Service() + "\"";
    if (text.empty() || OneIn(60)) {
      text += R"(,"weighted-targets":[{"target":")" + Service() + R"(","weight":)" +
              Pick({"0", "1", "9", "3"}) + R"(},{"weight":)" + Pick({"0", "1", "90", "2"}) +
              R"(,"target":")" + Service() + "\"}]";
    }
    return text;
  }
  std::string Route(const std::string& label) {
    std::string place = std::to_string(random_.Below(60));
    if (OneIn(40)) return Pick({R"({"host":"h"})", "7", R"({"label":7})", R"({"label":"r1"})"});
    return R"({"label":")" + label + R"(","host":")" + Pick({"h", "H", "a.b"}) + place +
           R"(","path-prefix":")" + (OneIn(60) ? "/a" : Pick({"/a/", "/", "/a/b/"})) +
           R"(","variant":")" + (OneIn(60) ? "perhaps" : "idempotent") + R"(","timeout-ms":)" +
           (OneIn(60) ? Pick({"0", "\"1\"", "1e99"}) : Pick({"5", "800", "1.5", "1e3"})) +
           Target() + Unknown() + "}";
  }
  std::string ServiceItem(const std::string& label) {
    return R"({"label":")" + label + R"(","max-conns":)" + (OneIn(40) ? "0" : "8") + Unknown() +
           "}";
  }
  std::string Items(bool routes, size_t most, bool apart) {
    std::string items;
    size_t count = random_.Below(most + 1);
    for (size_t i = 0; i < count; ++i) {
      std::string label = routes ? Label() : Service();
      if (apart) label = (routes ? "r" : "s") + std::to_string(i);
      items += (i ? "," : "") + (routes ? Route(label) : ServiceItem(label));
    }
    return items;
  }
  std::string Full(int64_t revision) {
    std::string services;
    for (int i = 0; i < 6; ++i) {
      services += (i ? "," : "") + ServiceItem("s" + std::to_string(i));
    }
    return R"({ "revision":)" + std::to_string(revision) + Unknown() + R"(,"route-list":[)" +
           Items(true, 3, true) + R"(],"service-list":[)" + services + "]" +
           (OneIn(5) ? R"(,"route-list":[])" : "") +
           (OneIn(5) ? R"(,"tenant-list":[{"label":"t"}])" : "") + Unknown() + "}";
  }
  std::string Patch(int64_t revision) {
    std::string text = "{";
    if (!OneIn(50)) text += R"("revision":)" + (OneIn(50) ? "\"x\"" : std::to_string(revision));
    auto names = [&](bool routes) {
      std::string all;
      for (size_t i = random_.Below(3); i-- > 0;) {
        all += "\"" + (routes ? Label() : Service()) + (i ? "\"," : "\"");
      }
      return OneIn(60) ? "7" : "[" + all + "]";
    };
    auto upsert = [&] {
      std::string part = R"(,"upsert":{"route-list":[)" + Items(true, 3, false) + "]";
      if (OneIn(3)) part += R"(,"service-list":[)" + Items(false, 2, false) + "]";
      if (OneIn(40)) part += R"(,"tenant-list":[{"label":"t","n":2.50}])";
      if (OneIn(40)) part += R"(,"note":[])";
      if (OneIn(40)) part += R"(,"route-list":[)" + Items(true, 2, false) + "]";
      return part + (OneIn(60) ? "" : "}");
    };
    auto remove = [&] {
      std::string part = R"(,"remove":{"route-list":)" + names(true);
      if (OneIn(3)) part += R"(,"service-list":)" + names(false);
      if (OneIn(40)) part += R"(,"tenant-list":["t"])";
      return part + "}";
    };
    if (OneIn(4)) text += remove();
    if (!OneIn(4)) text += upsert();
    if (OneIn(4)) text += remove();  // stands behind, and yet goes first; or stands twice
    return text + (OneIn(80) ? "" : "}");
  }

 private:
  base::Random random_;
};

// All that a table tells of the places that the writer writes, and of every service.
std::string TableDescribes(const RoutingTable& table, const base::Names& names) {
  std::string text = std::to_string(table.revision());
  for (int place = 0; place < 60; ++place) {
    for (const char* host : {"h", "a.b"}) {
      for (const char* path : {"/a/b/c", "/a/", "/x"}) {
        const Route* route = table.Match(host + std::to_string(place), path);
        if (!route) continue;
        text += "\n" + route->label + " " + route->host + route->prefix + " " +
                std::to_string(route->timeout_ms) + " " + std::to_string(route->weight_sum);
        for (const WeightedTarget& target : route->targets) {
          text += " " + names.Name(target.service) + "=" + std::to_string(target.weight);
        }
      }
    }
  }
  for (uint32_t i = 0; i <= names.size(); ++i) {
    if (const Service* service = table.service(i)) {
      text += "\n" + service->label + " " + std::to_string(service->max_conns);
    }
  }
  return text;
}

TEST(ParsedConfiguration, GivesTheTextAndVerdictsOfTheFullParse) {
  int by_parsed_patch = 0, full_parse = 0;
  std::set<std::string> reasons;
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    Writer writer(seed);
    FullConfiguration full;
    ConfigurationState state;
    base::Names names, regions;
    std::shared_ptr<const RoutingTable> table;
    ParsedConfiguration follower;  // as a proxy's: takes what was accepted without a check
    for (int step = 0; step < 60; ++step) {
      bool patch = full.revision() > 0 ? !writer.OneIn(25) : writer.OneIn(10);
      int64_t revision = full.revision() + (writer.OneIn(40) ? 0 : 1);
      int64_t match = full.revision() - (writer.OneIn(40) ? 1 : 0);
      Change change{patch, match, patch ? writer.Patch(revision) : writer.Full(revision)};
      if (!patch && writer.OneIn(6)) change.body.resize(change.body.size() / 2);
      std::string text;
      base::Verdict want = full.Evaluate(change, &text);
      bool by_patch = patch && state.document().CheckPatch(change.body).has_value();
      base::Verdict got = state.Evaluate(change);
      ASSERT_EQ(got.status, want.status) << change.body << "\n" << got.reason << want.reason;
      ASSERT_EQ(got.reason, want.reason) << change.body << "\n" << full.text();
      // Elsewhere nobody judged it before it is applied.
      if (writer.OneIn(2)) state = *transport::Decode<ConfigurationState>(transport::Encode(state));
      ASSERT_EQ(state.Apply(change), want.status == 0) << change.body;
      if (want.status != 0) {
        reasons.insert(want.reason.substr(0, want.reason.find(' ')));
        ASSERT_EQ(state.text(), full.text());
        continue;
      }
      (by_patch ? by_parsed_patch : full_parse) += patch ? 1 : 0;
      if (patch && !full.text().empty()) {
        ASSERT_TRUE(follower.ApplyUnchecked(change.body).has_value());
      } else {
        follower = ParsedConfiguration(text);
      }
      // A table made of the one before is as one made of the whole, and leaves that one as it was.
      auto built = RoutingTable::Build(text, &names, &regions);
      if (patch && table) {
        std::string before = TableDescribes(*table, names);
        auto next = RoutingTable::Patch(*table, change.body, &names, &regions);
        ASSERT_TRUE(next);
        ASSERT_EQ(TableDescribes(*next, names), TableDescribes(*built, names)) << change.body;
        ASSERT_EQ(TableDescribes(*table, names), before) << change.body;
        ASSERT_LE(next->changed().size(), 5u);
        table = next;
      } else {
        table = built;
      }
      full.Apply(std::move(text));
      ASSERT_EQ(state.text(), full.text()) << change.body;
      ASSERT_EQ(state.revision(), full.revision());
      ASSERT_EQ(follower.text(), full.text()) << change.body;
      ASSERT_EQ(state.document().RouteLabels(), RouteLabels(full.text()));
      for (const char* service : {"s0", "s5", "s", "nobody", ""}) {
        ASSERT_EQ(state.document().HasService(service), HasService(full.text(), service));
      }
    }
  }
  // Both ways were gone, and many kinds of refusals met.
  EXPECT_GT(by_parsed_patch, 500);
  EXPECT_GT(full_parse, 20);
  EXPECT_GT(reasons.size(), 12u);
}

// What the first way that comes to mind gets wrong, each by itself.
TEST(ParsedConfiguration, FoldsWhatEachPatchSays) {
  auto route = [](const std::string& label, const std::string& prefix, const std::string& service) {
    return R"({"label":")" + label + R"(","host":"h","path-prefix":")" + prefix +
           R"(","variant":"effectful","timeout-ms":5,"target":")" + service + "\"}";
  };
  const std::string base = R"({"revision":1,"route-list":[)" + route("a", "/a/", "s") + "," +
                           route("b", "/b/", "s") +
                           R"(],"service-list":[{"label":"s"},{"label":"t"}]})";
  struct Case {
    const char* what;
    std::string patch;
    int status;
    const char* reason;  // part of it
    bool fold;
  } cases[] = {
      {"two routes change places",
       R"("upsert":{"route-list":[)" + route("a", "/b/", "s") + "," + route("b", "/a/", "s") + "]}",
       0, "", true},
      {"takes another's place", R"("upsert":{"route-list":[)" + route("a", "/b/", "s") + "]}", 400,
       "route b: another", false},
      {"takes the place of one that goes",
       R"("upsert":{"route-list":[)" + route("a", "/b/", "s") +
           R"(]},"remove":{"route-list":["b"]})",
       0, "", true},
      {"a host in capitals is the same place",
       R"("upsert":{"route-list":[{"label":"c","host":"H","path-prefix":"/a/","variant":"effectful","timeout-ms":5,"target":"s"}]})",
       400, "same host", false},
      {"a service in use goes", R"("remove":{"service-list":["s"]})", 400,
       "route a: unknown service s", false},
      {"a service that nobody uses goes", R"("remove":{"service-list":["t"]})", 0, "", true},
      {"a service goes with its routes",
       R"("upsert":{"route-list":[)" + route("a", "/a/", "t") +
           R"(]},"remove":{"route-list":["b"],"service-list":["s"]})",
       0, "", true},
      {"a service goes and comes back",
       R"("upsert":{"service-list":[{"label":"s"}]},"remove":{"service-list":["s"]})", 0, "", true},
      {"a route names a service that comes with it",
       R"("upsert":{"route-list":[)" + route("a", "/a/", "u") +
           R"(],"service-list":[{"label":"u"}]})",
       0, "", true},
      {"a route names a service that goes",
       R"("upsert":{"route-list":[)" + route("a", "/a/", "t") +
           R"(]},"remove":{"service-list":["t"]})",
       400, "unknown service t", false},
      {"put twice, the last counts",
       R"("upsert":{"route-list":[)" + route("a", "/c/", "x") + "," + route("a", "/d/", "s") + "]}",
       0, "", true},
      {"breaks the form", R"("upsert":{"route-list":[)" + route("b", "/b", "s") + "]}", 400,
       "route-list/1/path-prefix", false},
      {"another list", R"("upsert":{"tenant-list":[{"label":"t"}]})", 0, "", false},
  };
  for (const Case& c : cases) {
    ConfigurationState state;
    ASSERT_TRUE(state.Apply({false, 0, base}));
    Change change{true, 1, R"({"revision":2,)" + c.patch + "}"};
    EXPECT_EQ(state.document().CheckPatch(change.body).has_value(), c.fold) << c.what;
    base::Verdict verdict = state.Evaluate(change);
    EXPECT_EQ(verdict.status, c.status) << c.what << ": " << verdict.reason;
    EXPECT_NE(verdict.reason.find(c.reason), std::string::npos) << c.what << ": " << verdict.reason;
    if (c.status != 0) continue;
    ASSERT_TRUE(state.Apply(change)) << c.what;
    EXPECT_EQ(state.text(), *ApplyPatch(base, change.body)) << c.what;
    // The checks go on from what was by_parsed_patch.
    Change again{true, 2,
                 R"({"revision":3,"upsert":{"route-list":[)" + route("z", "/b/", "t") + "]}}"};
    auto valid = Validate(*ApplyPatch(state.text(), again.body));
    EXPECT_EQ(state.Evaluate(again).reason, valid ? "" : valid.error().reason) << c.what;
    EXPECT_EQ(state.document().CheckPatch(again.body).has_value(), valid.has_value()) << c.what;
  }
}

TEST(ParsedConfiguration, DistinguishesLabelsBehindANul) {
  ParsedConfiguration document(
      R"({"revision":1,"route-list":[],"service-list":[{"label":"s\u0000x"}]})");
  EXPECT_FALSE(document.HasService("s"));
  EXPECT_TRUE(document.HasService(std::string("s\0x", 3)));
}

// A verdict that was kept holds for the state it was found on, and for that very body.
TEST(ParsedConfiguration, AKeptVerdictIsOfItsChangeAlone) {
  auto full = [](int64_t revision, const char* prefix) {
    return R"({"revision":)" + std::to_string(revision) +
           R"(,"route-list":[{"label":"a","host":"h","path-prefix":")" + prefix +
           R"(","variant":"effectful","timeout-ms":5,"target":"s"}],"service-list":[{"label":"s"}]})";
  };
  ConfigurationState state;
  Change good{false, 0, full(5, "/")}, bad{false, 0, full(5, "x")};
  EXPECT_EQ(state.Evaluate(good).status, 0);
  EXPECT_EQ(state.Evaluate(bad).status, 400);
  EXPECT_FALSE(state.Apply(bad));
  EXPECT_EQ(state.Evaluate(good).status, 0);
  EXPECT_TRUE(state.Apply({false, 0, full(7, "/")}));  // overtakes the one that was judged
  EXPECT_EQ(state.Evaluate(good).status, 412);
  EXPECT_FALSE(state.Apply(good));
  EXPECT_EQ(state.text(), full(7, "/"));
}

}  // namespace
}  // namespace elderkeel::configuration
