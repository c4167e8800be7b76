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
#include "forwarding/test_server.h"

namespace elderkeel::at_most_once {

using test_server::Behavior;
using test_server::Client;
using test_server::Server;

struct Options {
  uint64_t seed = 1;
  base::Millis run_ms = 4000;  // without the time in which requests in flight come to an end
  int proxies = 3;
  int servers = 4;
  int clients = 24;
};

// Counts of one run. Those of the first group are violations and must be 0.
struct Report {
  int doubled = 0;          // non-idempotent requests that ran more than once
  int foreign = 0;          // answers, or bytes, that don't belong to the client's request
  int broken_promises = 0;  // 503, 429, 408 or 421 ("not executed") for requests that ran
  int reused = 0;           // requests on a connection that had carried surplus bytes
  std::vector<std::string> first_violations;  // descriptions of the first violations

  int once = 0, repeatable = 0;  // requests sent by clients: non-idempotent, idempotent
  int runs = 0, answers = 0, promises = 0, without_answer = 0;
  int sent_again = 0;  // arrivals of non-idempotent requests after the first
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

// Runs proxies (child processes, each with a real RequestRouter), servers that misbehave and
// clients that disconnect, all on loopback. Proxies are killed, suspended and restarted,
// connections are reset, and a server's address is taken over by another server for a while.
// Decisions are drawn from the seed, but their timing depends on the machine, so a run can't be
// reproduced exactly.
class World {
 public:
  explicit World(const Options& options) : options_(options), random_(options.seed) {}
  ~World() {
    for (Proxy& p : proxies_) KillProxy(&p);
  }

  // Runs once and returns the counts.
  Report Run() {
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < options_.servers; ++i) AddServer(i);
    for (int i = 0; i < options_.proxies; ++i) {
      proxies_.emplace_back();
      proxies_.back().address = {"127.0.0.1", FreePort()};
      StartProxy(&proxies_.back());
    }
    for (int i = 0; i < options_.clients; ++i) {
      clients_.push_back(std::make_unique<ClientState>());
      ScheduleSend(clients_.back().get(), 300 + Draw(50));
    }
    base::Timer fault_timer;
    std::function<void()> next = [&] {
      InjectFault();
      fault_timer.Start(&loop_, 40 + Draw(100), next);
    };
    fault_timer.Start(&loop_, 600, next);
    RunLoopFor(options_.run_ms);
    fault_timer.Cancel();
    stopping_ = true;
    for (Proxy& p : proxies_) {
      if (p.pid > 0) kill(p.pid, SIGCONT);
    }
    // Until all deadlines have passed and all delayed requests have run.
    RunLoopFor(kMaxClientWaitMs + 800);
    for (auto& state : clients_) Disconnect(state.get());
    for (const auto& [attempt, stats] : attempts_) {
      if (stats.once && stats.runs > 1) {
        ++report_.doubled;
        RecordViolation("ran " + std::to_string(stats.runs) + " times: " + attempt);
      }
      if (stats.promised != 0 && stats.runs > 0) {
        ++report_.broken_promises;
        RecordViolation("ran, but was answered " + std::to_string(stats.promised) + ": " + attempt);
      }
    }
    return report_;
  }

 private:
  static constexpr int kMaxClientWaitMs = 600;  // above the longest deadline plus 100 ms

  // One proxy process; while `timer` runs it is killed or suspended.
  struct Proxy {
    base::Address address;  // of its listener for clients
    pid_t pid = -1;         // -1 while killed
    base::Timer timer;
  };
  // One client: its connection, and the requests sent on it.
  struct ClientState {
    std::unique_ptr<Client> client;
    std::vector<std::string> sent;
    size_t checked = 0;  // answers; the next one belongs to sent[checked]
    base::Timer timer;
  };
  // What happened to one attempt id.
  struct AttemptStats {
    bool once = false;
    int arrivals = 0, runs = 0;
    int promised = 0;        // status that promised the client "not executed"; 0 for none
    std::set<int> statuses;  // of the servers' answers
  };

  int Draw(int below) { return static_cast<int>(random_() % static_cast<uint64_t>(below)); }
  bool Chance(int percent) { return Draw(100) < percent; }
  void RecordViolation(const std::string& what) {
    if (report_.first_violations.size() < 5) report_.first_violations.push_back(what);
  }
  void RunLoopFor(base::Millis ms) {
    base::Timer stop;
    stop.Start(&loop_, ms, [this] { loop_.Stop(); });
    loop_.Run();
  }

  void AddServer(int i) {
    servers_.push_back(std::make_unique<Server>(&loop_, "i-" + std::to_string(i), 25000));
    Server* server = servers_.back().get();
    server->choose = [this](const http::Message&) { return ChooseBehaviour(); };
    server->on_connection = [this] {
      static const Behavior kBehaviors[] = {Behavior::kResetFirst, Behavior::kHalfCloseFirst,
                                            Behavior::kNoAnswerAtAll, Behavior::kOtherFirst,
                                            Behavior::kNoIdFirst};
      return Chance(6) ? kBehaviors[Draw(5)] : Behavior::kAnswer;
    };
    server->on_part = [this] {
      static const Behavior kBehaviors[] = {Behavior::kResetMiddle, Behavior::kHalfCloseMiddle,
                                            Behavior::kNoAnswerInTheMiddle};
      return Chance(20) ? kBehaviors[Draw(3)] : Behavior::kAnswer;
    };
    server->on_arrival = [this](const Server::Arrival& arrival) {
      auto at = attempts_.find(arrival.attempt);
      if (at == attempts_.end()) {
        ++report_.foreign;
        return RecordViolation("a server received a request that no client sent: " +
                               arrival.attempt);
      }
      AttemptStats& stats = at->second;
      if (++stats.arrivals > 1 && stats.once) ++report_.sent_again;
      stats.statuses.insert(arrival.status);
      if (arrival.excess_bytes_before) {
        ++report_.reused;
        RecordViolation("request sent on a connection with surplus bytes: " + arrival.attempt);
      }
      if (!arrival.ran) return;
      ++stats.runs;
      ++report_.runs;
    };
  }

  Server::Response ChooseBehaviour() {
    static const Behavior kBehaviors[] = {Behavior::kInterim,
                                          Behavior::kTwice,
                                          Behavior::kTwiceLater,
                                          Behavior::kPieces,
                                          Behavior::kOtherThenOwn,
                                          Behavior::kOtherId,
                                          Behavior::kNoId,
                                          Behavior::kTwoIds,
                                          Behavior::kNotExecuted,
                                          Behavior::kNotExecuted,
                                          Behavior::kNotExecuted,
                                          Behavior::kOtherNotExecuted,
                                          Behavior::kNoIdNotExecuted,
                                          Behavior::kCutStatusLineFirst,
                                          Behavior::kCutHeaderFirst,
                                          Behavior::kCutHead,
                                          Behavior::kCutBody,
                                          Behavior::kExtra,
                                          Behavior::kReset,
                                          Behavior::kHalfClose,
                                          Behavior::kNoAnswer,
                                          Behavior::kResetIdle,
                                          Behavior::kOtherIdle};
    static const int kStatuses[] = {200, 200, 200, 200, 200, 200, 200, 200,
                                    409, 404, 500, 503, 429, 408, 421};
    Server::Response play;
    play.status = kStatuses[Draw(15)];
    if (Chance(25)) {
      play.behavior = kBehaviors[Draw(23)];
      ++report_.misdeeds;
    } else if (Chance(40)) {
      play.behavior = Behavior::kLate;
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

  void StartProxy(Proxy* p) {
    std::vector<discovery::Server> list;
    for (size_t i = 0; i < servers_.size(); ++i) {
      list.push_back({"i-" + std::to_string(i), "s", servers_[i]->address().ToString(),
                      i % 2 ? "b" : "a", "v", 6, false, 0, 0});
    }
    p->pid = fork();
    if (p->pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // Closes inherited sockets of servers and clients; held open here, the parent's close would not
    // reset them.
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    base::Loop loop;
    base::Settings settings;
    settings.zone = "a";
    settings.front = p->address;
    settings.retry_ratio = 1;
    settings.retry_slack = 200;
    settings.connect_ms = 200;
    telemetry::Recorder recorder(telemetry::Recorder::Options(),
                                 telemetry::MakeCallSink([](std::string) { return true; }));
    forwarding::RequestRouter router(&loop, settings, &recorder);
    router.SetServing(true);
    if (!router.Listen().has_value()) _exit(3);
    router.SetProxyCounts(static_cast<size_t>(options_.proxies),
                          static_cast<size_t>(options_.proxies));
    router.Adopt(configuration::RoutingTable::Build(test_server::ConfigurationText(1000, 200, 3000),
                                                    router.service_names(), router.regions()));
    router.Adopt(discovery::EndpointSnapshot{1, 1, list});
    loop.Run();
    _exit(0);
  }
  void KillProxy(Proxy* p) {
    if (p->pid <= 0) return;
    kill(p->pid, SIGKILL);
    waitpid(p->pid, nullptr, 0);
    p->pid = -1;
  }

  void InjectFault() {
    Proxy* p = &proxies_[static_cast<size_t>(Draw(options_.proxies))];
    Server* server = servers_[static_cast<size_t>(Draw(options_.servers))].get();
    // Each kind once, then at random.
    switch (faults_injected_++ < 6 ? faults_injected_ - 1 : Draw(6)) {
      case 0:
        if (p->timer.armed()) return;
        ++report_.kills;
        KillProxy(p);
        return p->timer.Start(&loop_, 20 + Draw(100), [this, p] { StartProxy(p); });
      case 1:
      case 2:
        if (p->timer.armed()) return;
        ++report_.freezes;
        kill(p->pid, SIGSTOP);
        return p->timer.Start(&loop_, 10 + Draw(kMaxClientWaitMs), [p] { kill(p->pid, SIGCONT); });
      case 3:
      case 4:
        ++report_.resets;
        return server->ResetAll();
      default: {
        // Another server takes over the address for a while.
        std::string id = server->id();
        if (id.find("else") != std::string::npos) return;
        ++report_.other_incarnations;
        server->SetId(id + "-else");
        id_restore_timers_.push_back(std::make_unique<base::Timer>());
        id_restore_timers_.back()->Start(&loop_, 20 + Draw(150),
                                         [server, id] { server->SetId(id); });
      }
    }
  }

  void ScheduleSend(ClientState* state, base::Millis after) {
    state->timer.Start(&loop_, after, [this, state] { SendRequests(state); });
  }

  void SendRequests(ClientState* state) {
    if (stopping_) return;
    if (!state->client || state->client->closed || Chance(15)) {
      Disconnect(state);
      const Proxy& proxy = proxies_[static_cast<size_t>(Draw(options_.proxies))];
      state->client = std::make_unique<Client>(&loop_, proxy.address);
      state->client->on_change = [this, state] { OnReceived(state); };
    }
    int requests = Chance(25) ? 2 + Draw(3) : 1;
    int remaining = 100 + Draw(kMaxClientWaitMs - 200);
    std::string bytes;
    for (int i = 0; i < requests; ++i) {
      bool once = Chance(60);
      std::string attempt = (once ? "p" : "g") + std::to_string(++last_attempt_);
      attempts_[attempt].once = once;
      ++(once ? report_.once : report_.repeatable);
      state->sent.push_back(attempt);
      bytes += test_server::RequestText(!once, attempt, remaining, Chance(10) ? 200000 : 4);
    }
    state->client->Send(bytes);
    if (Chance(8)) {
      // The client disconnects soon, by a reset or an orderly close.
      ++report_.left;
      bool reset = Chance(50);
      state->timer.Start(&loop_, Draw(30), [this, state, reset] {
        if (reset) state->client->Reset();
        Disconnect(state);
        ScheduleSend(state, 1 + Draw(5));
      });
      return;
    }
    // The client disconnects if it has no answer 100 ms after its deadline.
    state->timer.Start(&loop_, remaining + 100, [this, state] {
      Disconnect(state);
      ScheduleSend(state, 1 + Draw(5));
    });
  }

  void OnReceived(ClientState* state) {
    Client& client = *state->client;
    for (; state->checked < client.answers.size(); ++state->checked) {
      CheckAnswer(state, client.answers[state->checked]);
    }
    if (client.invalid_answer) {
      ++report_.foreign;
      RecordViolation("a client received bytes that are no HTTP answer");
      client.invalid_answer = false;
      client.closed = true;
    }
    if (client.closed || state->checked == state->sent.size()) ScheduleSend(state, 1 + Draw(25));
  }

  void CheckAnswer(ClientState* state, const http::Message& answer) {
    ++report_.answers;
    if (state->checked >= state->sent.size()) {
      ++report_.foreign;
      return RecordViolation("an answer on a connection without a pending request");
    }
    const std::string& attempt = state->sent[state->checked];
    AttemptStats& stats = attempts_[attempt];
    int status = answer.status;
    const std::string* id = answer.Find(test_server::kAttempt);
    bool sealed = answer.Find("Elderkeel-Server-Seal") != nullptr;
    bool own = sealed && id && *id == attempt && stats.statuses.count(status) > 0 &&
               (answer.body.empty() || answer.body == Server::BodyOf(attempt));
    if ((sealed && !own) || (!sealed && (status / 100 == 2 || id != nullptr))) {
      ++report_.foreign;
      RecordViolation("not the answer to " + attempt + ": " + std::to_string(status) + " " +
                      answer.body);
    }
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      stats.promised = status;
      ++report_.promises;
    }
  }

  void Disconnect(ClientState* state) {
    state->timer.Cancel();
    report_.without_answer += static_cast<int>(state->sent.size() - state->checked);
    state->sent.clear();
    state->checked = 0;
    if (!state->client) return;
    // Destruction is deferred: a callback of the client may be on the stack.
    state->client->on_change = nullptr;
    std::shared_ptr<Client> disconnected(std::move(state->client));
    loop_.Defer([disconnected] {});
  }

  Options options_;
  std::mt19937_64 random_;
  base::Loop loop_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::deque<Proxy> proxies_;
  std::vector<std::unique_ptr<ClientState>> clients_;
  std::vector<std::unique_ptr<base::Timer>> id_restore_timers_;
  std::unordered_map<std::string, AttemptStats> attempts_;
  Report report_;
  uint64_t last_attempt_ = 0;
  int faults_injected_ = 0;
  uint16_t next_port_ = 27500;
  bool stopping_ = false;
};

}  // namespace elderkeel::at_most_once
