#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "forwarding/request_router.h"
#include "forwarding/stand_in.h"

namespace elderkeel::once {

using stand_in::Client;
using stand_in::Deed;
using stand_in::Server;

struct Options {
  uint64_t seed = 1;
  base::Millis run_ms = 4000;  // then it waits for what is still under way, and ends
  int proxies = 3;
  int servers = 4;
  int clients = 24;
};

// What was seen. The first group must be 0.
struct Report {
  int doubled = 0;                 // requests that may run once and ran more often
  int foreign = 0;                 // answers, or bytes, that belong to no request of that client
  int broken_promises = 0;         // 503, 429, 408 or 421 for what ran
  int reused = 0;                  // requests on a connection that had brought surplus bytes
  std::vector<std::string> first;  // a few of those, in words

  int once = 0, repeatable = 0;  // requests sent by clients
  int runs = 0, answers = 0, promises = 0, without_answer = 0;
  int sent_again = 0;  // arrivals of what may run once past the first
  int misdeeds = 0, resets = 0, other_incarnations = 0, left = 0, kills = 0, freezes = 0;
  bool Holds() const { return doubled + foreign + broken_promises + reused == 0; }
  std::string Line() const {
    char line[400];
    snprintf(line, sizeof line,
             "at_most_once_run: doubled=%d foreign=%d broken_promises=%d reused=%d | once=%d "
             "repeatable=%d "
             "runs=%d "
             "answers=%d promises=%d without_answer=%d sent_again=%d misdeeds=%d resets=%d "
             "other_lives=%d left=%d kills=%d freezes=%d",
             doubled, foreign, broken_promises, reused, once, repeatable, runs, answers, promises,
             without_answer, sent_again, misdeeds, resets, other_incarnations, left, kills,
             freezes);
    return line;
  }
};

// Proxies (processes of their own, each with a real RequestRouter), stand-in servers that stutter
// and clients that leave, all on loopback; proxies are killed, frozen and started again,
// connections reset, addresses held by another life for a while. Decisions are drawn from the seed;
// when they take effect is up to the machine, so a run can't be repeated to the letter.
class World {
 public:
  explicit World(const Options& options) : options_(options), random_(options.seed) {}
  ~World() {
    for (Proxy& p : proxies_) Kill(&p);
  }

  Report Run() {
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < options_.servers; ++i) AddServer(i);
    for (int i = 0; i < options_.proxies; ++i) {
      proxies_.emplace_back();
      proxies_.back().front = {"127.0.0.1", FreePort()};
      Start(&proxies_.back());
    }
    for (int i = 0; i < options_.clients; ++i) {
      callers_.push_back(std::make_unique<Caller>());
      Later(callers_.back().get(), 300 + Draw(50));
    }
    base::Timer fault;
    std::function<void()> next = [&] {
      Fault();
      fault.Start(&loop_, 40 + Draw(100), next);
    };
    fault.Start(&loop_, 600, next);
    Turn(options_.run_ms);
    fault.Cancel();
    stopping_ = true;
    for (Proxy& p : proxies_) {
      if (p.pid > 0) kill(p.pid, SIGCONT);
    }
    // Deadlines end, and whatever is to run later has run.
    Turn(kLongestMs + 800);
    for (auto& caller : callers_) End(caller.get());
    for (const auto& [attempt, seen] : seen_) {
      if (seen.once && seen.runs > 1) {
        ++report_.doubled;
        Note("ran " + std::to_string(seen.runs) + " times: " + attempt);
      }
      if (seen.promised != 0 && seen.runs > 0) {
        ++report_.broken_promises;
        Note("ran, and answered " + std::to_string(seen.promised) + ": " + attempt);
      }
    }
    return report_;
  }

 private:
  static constexpr int kLongestMs = 600;

  struct Proxy {
    base::Address front;
    pid_t pid = -1;
    base::Timer timer;
  };
  // One client: a connection, and the requests on it that wait for an answer.
  struct Caller {
    std::unique_ptr<Client> client;
    std::vector<std::string> asked;
    size_t judged = 0;
    base::Timer timer;
  };
  struct Seen {
    bool once = false;
    int arrivals = 0, runs = 0, promised = 0;
    std::set<int> statuses;  // that servers gave it
  };

  int Draw(int below) { return static_cast<int>(random_() % static_cast<uint64_t>(below)); }
  bool Chance(int percent) { return Draw(100) < percent; }
  void Note(const std::string& what) {
    if (report_.first.size() < 5) report_.first.push_back(what);
  }
  void Turn(base::Millis ms) {
    base::Timer stop;
    stop.Start(&loop_, ms, [this] { loop_.Stop(); });
    loop_.Run();
  }

  void AddServer(int i) {
    balancer_.push_back(std::make_unique<Server>(&loop_, "i-" + std::to_string(i), 25000));
    Server* server = balancer_.back().get();
    server->choose = [this](const http::Message&) { return Choose(); };
    server->on_connection = [this] {
      static const Deed kDeeds[] = {Deed::kResetFirst, Deed::kHalfCloseFirst, Deed::kNoAnswerAtAll,
                                    Deed::kOtherFirst, Deed::kNoIdFirst};
      return Chance(6) ? kDeeds[Draw(5)] : Deed::kWell;
    };
    server->on_part = [this] {
      static const Deed kDeeds[] = {Deed::kResetMiddle, Deed::kHalfCloseMiddle,
                                    Deed::kNoAnswerInTheMiddle};
      return Chance(20) ? kDeeds[Draw(3)] : Deed::kWell;
    };
    server->on_arrival = [this](const Server::Arrival& arrival) {
      auto at = seen_.find(arrival.attempt);
      if (at == seen_.end()) {
        ++report_.foreign;
        return Note("a request that no client sent: " + arrival.attempt);
      }
      Seen& seen = at->second;
      if (++seen.arrivals > 1 && seen.once) ++report_.sent_again;
      seen.statuses.insert(arrival.status);
      if (arrival.spoilt) {
        ++report_.reused;
        Note("on a connection with surplus bytes: " + arrival.attempt);
      }
      if (!arrival.ran) return;
      ++seen.runs;
      ++report_.runs;
    };
  }

  Server::Play Choose() {
    static const Deed kDeeds[] = {
        Deed::kInterim,         Deed::kTwice,       Deed::kTwiceLater,  Deed::kPieces,
        Deed::kOtherThenOwn,    Deed::kOtherId,     Deed::kNoId,        Deed::kTwoIds,
        Deed::kNotExecuted,     Deed::kNotExecuted, Deed::kNotExecuted, Deed::kOtherNotExecuted,
        Deed::kNoIdNotExecuted, Deed::kGluedReason, Deed::kGluedValue,  Deed::kCutHead,
        Deed::kCutBody,         Deed::kExtra,       Deed::kReset,       Deed::kHalfClose,
        Deed::kNoAnswer,        Deed::kResetIdle,   Deed::kNoiseIdle};
    static const int kStatuses[] = {200, 200, 200, 200, 200, 200, 200, 200,
                                    409, 404, 500, 503, 429, 408, 421};
    Server::Play play;
    play.status = kStatuses[Draw(15)];
    if (Chance(25)) {
      play.deed = kDeeds[Draw(23)];
      ++report_.misdeeds;
    } else if (Chance(40)) {
      play.deed = Deed::kLate;
      play.late_ms = Draw(60);
    }
    return play;
  }

  uint16_t FreePort() {
    transport::Listener listener;
    while (
        !listener.Open(&loop_, {"127.0.0.1", next_port_}, [](int fd) { close(fd); }).has_value()) {
      ++next_port_;
    }
    return next_port_++;
  }

  void Start(Proxy* p) {
    std::vector<discovery::Server> list;
    for (size_t i = 0; i < balancer_.size(); ++i) {
      list.push_back({"i-" + std::to_string(i), "s", balancer_[i]->address().ToString(),
                      i % 2 ? "b" : "a", "v", 6, false, 0, 0});
    }
    p->pid = fork();
    if (p->pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The servers' and clients' sockets are the parent's alone, or their resets wouldn't be any.
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    base::Loop loop;
    base::Settings settings;
    settings.zone = "a";
    settings.front = p->front;
    settings.retry_ratio = 1;
    settings.retry_slack = 200;
    settings.connect_ms = 200;
    telemetry::Recorder recorder(telemetry::Recorder::Options(),
                                 telemetry::MakeCallSink([](std::string) { return true; }));
    forwarding::RequestRouter front(&loop, settings, &recorder);
    front.SetServing(true);
    if (!front.Listen().has_value()) _exit(3);
    front.SetProxies(static_cast<size_t>(options_.proxies), static_cast<size_t>(options_.proxies));
    front.Adopt(configuration::RoutingTable::Build(stand_in::ConfigurationText(1000, 200, 3000),
                                                   front.names(), front.regions()));
    front.Adopt(discovery::EndpointSnapshot{1, 1, list});
    loop.Run();
    _exit(0);
  }
  void Kill(Proxy* p) {
    if (p->pid <= 0) return;
    kill(p->pid, SIGKILL);
    waitpid(p->pid, nullptr, 0);
    p->pid = -1;
  }

  void Fault() {
    Proxy* p = &proxies_[static_cast<size_t>(Draw(options_.proxies))];
    Server* server = balancer_[static_cast<size_t>(Draw(options_.servers))].get();
    // Each kind once, then as it is drawn.
    switch (troubles_++ < 6 ? troubles_ - 1 : Draw(6)) {
      case 0:
        if (p->timer.armed()) return;
        ++report_.kills;
        Kill(p);
        return p->timer.Start(&loop_, 20 + Draw(100), [this, p] { Start(p); });
      case 1:
      case 2:
        if (p->timer.armed()) return;
        ++report_.freezes;
        kill(p->pid, SIGSTOP);
        return p->timer.Start(&loop_, 10 + Draw(kLongestMs), [p] { kill(p->pid, SIGCONT); });
      case 3:
      case 4:
        ++report_.resets;
        return server->ResetAll();
      default: {
        // The address is another's for a while.
        std::string id = server->id();
        if (id.find("else") != std::string::npos) return;
        ++report_.other_incarnations;
        server->SetId(id + "-else");
        incarnations_.push_back(std::make_unique<base::Timer>());
        incarnations_.back()->Start(&loop_, 20 + Draw(150), [server, id] { server->SetId(id); });
      }
    }
  }

  void Later(Caller* caller, base::Millis after) {
    caller->timer.Start(&loop_, after, [this, caller] { Ask(caller); });
  }

  void Ask(Caller* caller) {
    if (stopping_) return;
    if (!caller->client || caller->client->closed || Chance(15)) {
      End(caller);
      const Proxy& proxy = proxies_[static_cast<size_t>(Draw(options_.proxies))];
      caller->client = std::make_unique<Client>(&loop_, proxy.front);
      caller->client->on_change = [this, caller] { Received(caller); };
    }
    int requests = Chance(25) ? 2 + Draw(3) : 1;
    int remaining = 100 + Draw(kLongestMs - 200);
    std::string bytes;
    for (int i = 0; i < requests; ++i) {
      bool once = Chance(60);
      std::string attempt = (once ? "p" : "g") + std::to_string(++last_attempt_);
      seen_[attempt].once = once;
      ++(once ? report_.once : report_.repeatable);
      caller->asked.push_back(attempt);
      bytes += stand_in::RequestText(!once, attempt, remaining, Chance(10) ? 200000 : 4);
    }
    caller->client->Send(bytes);
    if (Chance(8)) {
      // It leaves soon, with a reset or in order.
      ++report_.left;
      bool reset = Chance(50);
      caller->timer.Start(&loop_, Draw(30), [this, caller, reset] {
        if (reset) caller->client->Reset();
        End(caller);
        Later(caller, 1 + Draw(5));
      });
      return;
    }
    // It waits as long as it said, then gives up.
    caller->timer.Start(&loop_, remaining + 100, [this, caller] {
      End(caller);
      Later(caller, 1 + Draw(5));
    });
  }

  void Received(Caller* caller) {
    Client& client = *caller->client;
    for (; caller->judged < client.answers.size(); ++caller->judged) {
      Judge(caller, client.answers[caller->judged]);
    }
    if (client.no_answer) {
      ++report_.foreign;
      Note("bytes that are no answer");
      client.no_answer = false;
      client.closed = true;
    }
    if (client.closed || caller->judged == caller->asked.size()) Later(caller, 1 + Draw(25));
  }

  void Judge(Caller* caller, const http::Message& answer) {
    ++report_.answers;
    if (caller->judged >= caller->asked.size()) {
      ++report_.foreign;
      return Note("an answer on a connection where no request waits");
    }
    const std::string& attempt = caller->asked[caller->judged];
    Seen& seen = seen_[attempt];
    int status = answer.status;
    const std::string* id = answer.Find(stand_in::kAttempt);
    bool sealed = answer.Find("Elderkeel-Server-Seal") != nullptr;
    bool own = sealed && id && *id == attempt && seen.statuses.count(status) > 0 &&
               (answer.body.empty() || answer.body == Server::BodyOf(attempt));
    if ((sealed && !own) || (!sealed && (status / 100 == 2 || id != nullptr))) {
      ++report_.foreign;
      Note("not the answer of " + attempt + ": " + std::to_string(status) + " " + answer.body);
    }
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      seen.promised = status;
      ++report_.promises;
    }
  }

  void End(Caller* caller) {
    caller->timer.Cancel();
    report_.without_answer += static_cast<int>(caller->asked.size() - caller->judged);
    caller->asked.clear();
    caller->judged = 0;
    if (!caller->client) return;
    // It may be on the stack of its own callback.
    caller->client->on_change = nullptr;
    std::shared_ptr<Client> last(std::move(caller->client));
    loop_.Defer([last] {});
  }

  Options options_;
  std::mt19937_64 random_;
  base::Loop loop_;
  std::vector<std::unique_ptr<Server>> balancer_;
  std::deque<Proxy> proxies_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<base::Timer>> incarnations_;
  std::unordered_map<std::string, Seen> seen_;
  Report report_;
  uint64_t last_attempt_ = 0;
  int troubles_ = 0;
  uint16_t next_port_ = 27500;
  bool stopping_ = false;
};

}  // namespace elderkeel::once
