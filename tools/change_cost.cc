// Measures the cost of one configuration change by the size of the document: on the leader
// (evaluation, application, commit to the disseminator, encoding of a snapshot) and on a proxy
// (adoption of a patch or a full document, building of the routing table). Prints the median, the
// minimum and the maximum of each step in microseconds, and the heap memory in use in bytes. Not
// part of CI; docs/CAPACITY.md lists the results.
//
//   change_cost [SIZES, such as 400,4300,20000] [REPEATS]

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>

#include "configuration/configuration_state.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "dissemination/disseminator.h"
#include "membership/membership.h"
#include "transport/frame.h"

namespace elderkeel {
namespace {

constexpr int kServices = 170;

std::string Route(int r, int timeout_ms) {
  std::ostringstream f;
  f << R"({"label":"route-)" << r << R"(","host":"h)" << r
    << R"(.example","path-prefix":"/p/","variant":"idempotent","timeout-ms":)" << timeout_ms
    << R"(,"target-latency-ms":400,"priority":1,"target":"s)" << r % kServices
    << R"(","max-attempts":2,"allowed-regions":["r0","r1"]})";
  return f.str();
}

std::string FullDocument(int64_t revision, int routes) {
  std::ostringstream f;
  f << R"({"revision":)" << revision << R"(,"route-list":[)";
  for (int r = 0; r < routes; ++r) f << (r ? "," : "") << Route(r, 1000);
  f << R"(],"service-list":[)";
  for (int s = 0; s < kServices; ++s) {
    f << (s ? "," : "") << R"({"label":"s)" << s
      << R"(","health-path":"/health","max-conns":100,"protocol":"h1","tls":false})";
  }
  return f.str() + "]}";
}

std::string Patch(int64_t revision, int route) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"upsert":{"route-list":[)" +
         Route(route, 1000 + static_cast<int>(revision % 1000)) + "]}}";
}

size_t HeapBytes() { return mallinfo2().uordblks; }

// Collects the durations of named steps in microseconds and prints them in the order in which the
// steps were first used.
class Times {
 public:
  // Runs the step and adds its duration.
  template <class F>
  void Add(const std::string& name, F step) {
    auto begin = std::chrono::steady_clock::now();
    step();
    std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    auto [at, added] = durations_.emplace(name, std::vector<double>());
    if (added) order_.push_back(name);
    at->second.push_back(took.count());
  }
  void Print(int routes) {
    for (const std::string& name : order_) {
      std::vector<double>& all = durations_[name];
      std::sort(all.begin(), all.end());
      std::printf("%6d routes  %-44s %10.1f us  (%.1f to %.1f, %zu times)\n", routes, name.c_str(),
                  all[all.size() / 2], all.front(), all.back(), all.size());
    }
  }

 private:
  std::map<std::string, std::vector<double>> durations_;
  std::vector<std::string> order_;
};

membership::Membership::Options Self(membership::Program program) {
  membership::Membership::Options options;
  options.self.ip = "127.0.0.1";
  options.self.port = 1;
  options.self.id = 1;
  options.self.program = program;
  options.self.zone = "z";
  options.self.boot_id = 1;
  return options;
}

// Exits with 1 and the message `what` on stderr if the condition is false.
void Expect(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "change_cost: %s\n", what);
  std::exit(1);
}

// Measures full changes and patches of a document with this number of routes, and prints the
// results.
void Measure(int routes, int repeats) {
  Times times;
  membership::Membership controllers(Self(membership::Program::kController), {}, 0);
  membership::Membership proxies(Self(membership::Program::kProxy), {}, 0);
  const base::Address from{"127.0.0.2", 1};
  size_t before = HeapBytes();
  auto leader = std::make_unique<configuration::ConfigurationState>();
  auto controller_disseminator = std::make_unique<dissemination::Disseminator>(
      dissemination::Disseminator::Options(), &controllers, 0);
  auto proxy_disseminator = std::make_unique<dissemination::Disseminator>(
      dissemination::Disseminator::Options(), &proxies, 0);
  base::NameIndex names, regions;
  std::shared_ptr<const configuration::RoutingTable> table;
  int64_t revision = 0;
  // Takes one change through all steps on the leader and on the proxy. `kind` is the prefix of the
  // step names.
  auto change = [&](const std::string& kind, bool patch) {
    int64_t base = revision++;
    configuration::Change c{patch, base,
                            patch ? Patch(revision, static_cast<int>(revision * 7919 % routes))
                                  : FullDocument(revision, routes)};
    base::Verdict verdict;
    times.Add(kind + ", leader: Evaluate", [&] { verdict = leader->Evaluate(c); });
    Expect(verdict.status == 0, verdict.reason.c_str());
    bool applied = false;
    times.Add(kind + ", leader: Apply", [&] { applied = leader->Apply(c); });
    Expect(applied, "a change was not applied");
    times.Add(kind + ", leader: Evaluate after it", [&] { verdict = leader->Evaluate(c); });
    Expect(verdict.status == 200, "the leader did not recognize an applied change");
    times.Add(kind + ", leader: Disseminator::Commit", [&] {
      controller_disseminator->Commit(0, *leader);
      controller_disseminator->TakeEffects();
    });
    times.Add(kind + ", proxy: Disseminator::OnConfigurationUpdate", [&] {
      proxy_disseminator->OnConfigurationUpdate(0, from, {revision, patch ? base : 0, c.body});
      proxy_disseminator->TakeEffects();
    });
    Expect(proxy_disseminator->revision() == revision, "a change was not adopted");
    times.Add(kind + ", proxy: RoutingTable", [&] {
      table = patch ? configuration::RoutingTable::Patch(*table, c.body, &names, &regions)
                    : configuration::RoutingTable::Build(proxy_disseminator->configuration_text(),
                                                         &names, &regions);
    });
    Expect(table && table->revision() == revision,
           "the routing table has another revision than the change");
  };
  for (int i = 0; i < std::max(3, repeats / 4); ++i) change("full", false);
  size_t after_full = HeapBytes();
  change("first patch", true);
  for (int i = 0; i < repeats; ++i) change("patch", true);
  Expect(leader->text() == proxy_disseminator->configuration_text(),
         "leader and proxy hold different documents");
  for (int i = 0; i < std::max(3, repeats / 4); ++i) {
    bool has = false;
    times.Add("HasService", [&] { has = leader->document().HasService("s" + std::to_string(i)); });
    Expect(has, "a service is missing");
    size_t labels = 0;
    times.Add("RouteLabels", [&] { labels = leader->document().RouteLabels().size(); });
    Expect(labels == static_cast<size_t>(routes), "a label is missing");
    change("patch", true);
    size_t bytes = 0;
    times.Add("snapshot of the register", [&] { bytes = transport::Encode(*leader).size(); });
    Expect(bytes > leader->text().size(), "a snapshot is too short");
  }
  times.Print(routes);
  std::printf("%6d routes  document %zu bytes\n", routes, leader->text().size());
  change("patch", true);
  size_t all = HeapBytes();
  auto print = [&](const char* what, size_t bytes) {
    std::printf("%6d routes  heap: %-38s %10zu bytes\n", routes, what, bytes);
  };
  print("total after full changes", after_full - before);
  print("total after patches", all - before);
  auto drop = [&](const char* what, auto* of) {
    size_t full = HeapBytes();
    of->reset();
    print(what, full - HeapBytes());
  };
  drop("routing table of a proxy", &table);
  drop("disseminator of a proxy", &proxy_disseminator);
  drop("disseminator of a controller", &controller_disseminator);
  drop("register", &leader);
}

}  // namespace
}  // namespace elderkeel

int main(int argc, char** argv) {
  std::stringstream sizes(argc > 1 ? argv[1] : "400,4300,20000");
  int repeats = argc > 2 ? std::atoi(argv[2]) : 40;
  std::string size;
  while (std::getline(sizes, size, ',')) elderkeel::Measure(std::atoi(size.c_str()), repeats);
  return 0;
}
