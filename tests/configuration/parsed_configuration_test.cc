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

// A reference implementation that validates the full document for every change. ConfigurationState
// must produce the same documents and the same reasons for rejections.
class FullConfiguration {
 public:
  base::Verdict Evaluate(const Change& change, std::string* text) const {
    base::Status parsed = CheckSyntax(change.body);
    if (!parsed) return {400, parsed.error().reason};
    if (change.if_match != revision_) {
      return {412, "If-Match: revision " + std::to_string(revision_) + " is current"};
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
      return {400, "revision: must be greater than " + std::to_string(revision_)};
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

// Generates random changes of all kinds, most of them valid. It uses few labels, so that changes
// affect the same items.
class ChangeGenerator {
 public:
  explicit ChangeGenerator(uint64_t seed) : random_(seed) {}

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
  // Members that the gateway doesn't interpret, which must be preserved: numbers and strings of
  // many forms.
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
  // Returns at most `most` items, with distinct labels if `distinct`.
  std::string Items(bool routes, size_t most, bool distinct) {
    std::string items;
    size_t count = random_.Below(most + 1);
    for (size_t i = 0; i < count; ++i) {
      std::string label = routes ? Label() : Service();
      if (distinct) label = (routes ? "r" : "s") + std::to_string(i);
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
    // Written after the upserts, but applied before them; or a duplicate member.
    if (OneIn(4)) text += remove();
    return text + (OneIn(80) ? "" : "}");
  }

 private:
  base::Random random_;
};

// Describes the routes of a table at all locations that ChangeGenerator uses, and all its services.
std::string DescribeTable(const RoutingTable& table, const base::NameIndex& names) {
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

// Guards against controllers and proxies with different documents: checking and applying a patch by
// the index must give the same text, verdicts and routing table as parsing the full document.
TEST(ParsedConfiguration, TextAndVerdictsEqualThoseOfTheFullParse) {
  int by_parsed_patch = 0, full_parse = 0;
  std::set<std::string> reasons;
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    ChangeGenerator generator(seed);
    FullConfiguration full;
    ConfigurationState state;
    base::NameIndex names, regions;
    std::shared_ptr<const RoutingTable> table;
    ParsedConfiguration follower;  // as in a proxy: applies accepted changes without a check
    for (int step = 0; step < 60; ++step) {
      bool patch = full.revision() > 0 ? !generator.OneIn(25) : generator.OneIn(10);
      int64_t revision = full.revision() + (generator.OneIn(40) ? 0 : 1);
      int64_t match = full.revision() - (generator.OneIn(40) ? 1 : 0);
      Change change{patch, match, patch ? generator.Patch(revision) : generator.Full(revision)};
      if (!patch && generator.OneIn(6)) change.body.resize(change.body.size() / 2);
      std::string text;
      base::Verdict want = full.Evaluate(change, &text);
      bool by_patch = patch && state.document().CheckPatch(change.body).has_value();
      base::Verdict got = state.Evaluate(change);
      ASSERT_EQ(got.status, want.status) << change.body << "\n" << got.reason << want.reason;
      ASSERT_EQ(got.reason, want.reason) << change.body << "\n" << full.text();
      // A controller that didn't propose the change applies it without having evaluated it.
      if (generator.OneIn(2)) {
        state = *transport::Decode<ConfigurationState>(transport::Encode(state));
      }
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
      // A patched table equals one built from the full document, and the patched-from table is
      // unchanged.
      auto built = RoutingTable::Build(text, &names, &regions);
      if (patch && table) {
        std::string before = DescribeTable(*table, names);
        auto next = RoutingTable::Patch(*table, change.body, &names, &regions);
        ASSERT_TRUE(next);
        ASSERT_EQ(DescribeTable(*next, names), DescribeTable(*built, names)) << change.body;
        ASSERT_EQ(DescribeTable(*table, names), before) << change.body;
        ASSERT_LE(next->changed_routes().size(), 5u);
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
  // Both ways of checking were exercised, and many kinds of rejections occurred.
  EXPECT_GT(by_parsed_patch, 500);
  EXPECT_GT(full_parse, 20);
  EXPECT_GT(reasons.size(), 12u);
}

// Guards against a check of patches by the index that misses the interaction of their parts, such
// as two routes that swap locations or a service that is removed along with its routes.
TEST(ParsedConfiguration, ChecksTheCombinedEffectOfAPatch) {
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
    bool by_index;       // whether CheckPatch() alone finds it valid
  } cases[] = {
      {"two routes swap locations",
       R"("upsert":{"route-list":[)" + route("a", "/b/", "s") + "," + route("b", "/a/", "s") + "]}",
       0, "", true},
      {"takes another route's location",
       R"("upsert":{"route-list":[)" + route("a", "/b/", "s") + "]}", 400, "route b: another",
       false},
      {"takes the location of a removed route",
       R"("upsert":{"route-list":[)" + route("a", "/b/", "s") +
           R"(]},"remove":{"route-list":["b"]})",
       0, "", true},
      {"a host in upper case is the same location",
       R"("upsert":{"route-list":[{"label":"c","host":"H","path-prefix":"/a/","variant":"effectful","timeout-ms":5,"target":"s"}]})",
       400, "same host", false},
      {"removes a service in use", R"("remove":{"service-list":["s"]})", 400,
       "route a: unknown service s", false},
      {"removes an unused service", R"("remove":{"service-list":["t"]})", 0, "", true},
      {"removes a service and all its uses",
       R"("upsert":{"route-list":[)" + route("a", "/a/", "t") +
           R"(]},"remove":{"route-list":["b"],"service-list":["s"]})",
       0, "", true},
      {"removes and upserts the same service",
       R"("upsert":{"service-list":[{"label":"s"}]},"remove":{"service-list":["s"]})", 0, "", true},
      {"upserts a route and its new service",
       R"("upsert":{"route-list":[)" + route("a", "/a/", "u") +
           R"(],"service-list":[{"label":"u"}]})",
       0, "", true},
      {"upserts a route to a removed service",
       R"("upsert":{"route-list":[)" + route("a", "/a/", "t") +
           R"(]},"remove":{"service-list":["t"]})",
       400, "unknown service t", false},
      {"of a route upserted twice the last counts",
       R"("upsert":{"route-list":[)" + route("a", "/c/", "x") + "," + route("a", "/d/", "s") + "]}",
       0, "", true},
      {"violates the schema", R"("upsert":{"route-list":[)" + route("b", "/b", "s") + "]}", 400,
       "route-list/1/path-prefix", false},
      {"a list that is not indexed", R"("upsert":{"tenant-list":[{"label":"t"}]})", 0, "", false},
  };
  for (const Case& c : cases) {
    ConfigurationState state;
    ASSERT_TRUE(state.Apply({false, 0, base}));
    Change change{true, 1, R"({"revision":2,)" + c.patch + "}"};
    EXPECT_EQ(state.document().CheckPatch(change.body).has_value(), c.by_index) << c.what;
    base::Verdict verdict = state.Evaluate(change);
    EXPECT_EQ(verdict.status, c.status) << c.what << ": " << verdict.reason;
    EXPECT_NE(verdict.reason.find(c.reason), std::string::npos) << c.what << ": " << verdict.reason;
    if (c.status != 0) continue;
    ASSERT_TRUE(state.Apply(change)) << c.what;
    EXPECT_EQ(state.text(), *ApplyPatch(base, change.body)) << c.what;
    // The next patch is checked against the state after the first one.
    Change again{true, 2,
                 R"({"revision":3,"upsert":{"route-list":[)" + route("z", "/b/", "t") + "]}}"};
    auto valid = Validate(*ApplyPatch(state.text(), again.body));
    EXPECT_EQ(state.Evaluate(again).reason, valid ? "" : valid.error().reason) << c.what;
    EXPECT_EQ(state.document().CheckPatch(again.body).has_value(), valid.has_value()) << c.what;
  }
}

// Guards against labels being compared as C strings, which end at the first NUL.
TEST(ParsedConfiguration, LabelsThatDifferAfterANulAreDistinct) {
  ParsedConfiguration document(
      R"({"revision":1,"route-list":[],"service-list":[{"label":"s\u0000x"}]})");
  EXPECT_FALSE(document.HasService("s"));
  EXPECT_TRUE(document.HasService(std::string("s\0x", 3)));
}

// Guards against a cached verdict being used for another change, or after another change has been
// applied.
TEST(ParsedConfiguration, ACachedVerdictHoldsOnlyForItsChangeAndState) {
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
  // Another change is applied before the one that was evaluated.
  EXPECT_TRUE(state.Apply({false, 0, full(7, "/")}));
  EXPECT_EQ(state.Evaluate(good).status, 412);
  EXPECT_FALSE(state.Apply(good));
  EXPECT_EQ(state.text(), full(7, "/"));
}

}  // namespace
}  // namespace elderkeel::configuration
