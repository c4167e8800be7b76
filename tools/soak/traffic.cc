#include "soak/traffic.h"

#include <unistd.h>

#include <algorithm>
#include <memory>

#include "base/loop.h"
#include "base/random.h"
#include "http/http_client.h"

namespace elderkeel::soak {
namespace {

constexpr base::Millis kDeadlineMs = 3000;  // of a client's request
constexpr base::Millis kProbeIntervalMs = 1000;
constexpr base::Millis kCallTimeoutMs = 1000;
constexpr base::Millis kRetryMs = 100;
constexpr int kFailedProbesToRemove = 2;  // consecutive
constexpr int kMaxCallAttempts = 60;
constexpr uint64_t kOneInSlow = 8;  // of the requests

constexpr uint64_t kOneInDisconnects = 4;  // of the requests of a client that disconnects early
constexpr base::Millis kMaxDisconnectMs = 300;  // after the request was sent
constexpr uint64_t kOneInIdles = 16;  // of the requests of a client that lets connections idle
constexpr base::Millis kIdleTimeoutMs = 15000;  // in the configuration
constexpr base::Millis kIdleStepMs = 20;        // between two checks for Stop()

// How a client behaves besides sending requests: kDisconnects closes its connection before some
// responses, kIdles pauses before some requests.
enum class Behaviour { kPlain, kDisconnects, kIdles };

Behaviour BehaviourOf(int client) {
  // Odd and even clients use different zones; the division gives both zones clients of each kind.
  int kind = client / 2 % 4;
  if (kind == 2) return Behaviour::kDisconnects;
  return kind == 3 ? Behaviour::kIdles : Behaviour::kPlain;
}

// A random duration from 1 to `max`.
base::Millis RandomMillis(base::Random* random, base::Millis max) {
  return 1 + static_cast<base::Millis>(random->Below(static_cast<uint64_t>(max)));
}

struct CallResult {
  int status = 0;  // 0 without a complete response
  http::Message answer;
};

// Sends `bytes` as one request on a new connection and blocks until the response or a time-out.
CallResult CallOnce(const base::Address& to, const std::string& bytes) {
  base::Loop loop;
  CallResult result;
  http::HttpCall call(&loop, to, kCallTimeoutMs, http::Limits());
  call.Start(bytes, [&](http::HttpConnection::Outcome&& outcome) {
    if (outcome.ending == http::HttpConnection::Result::kResponse) {
      result.status = outcome.response.status;
      result.answer = std::move(outcome.response);
    }
    loop.Stop();
  });
  loop.Run();
  return result;
}

// A random request to one of the two routes that every revision contains. Its path gives the time
// that the server works on it, in milliseconds.
Request MakeRequest(base::Random* random) {
  bool slow = random->Below(kOneInSlow) == 0;
  uint64_t work_ms = slow ? 300 + random->Below(1900) : 5 + random->Below(40);
  Request request;
  request.effectful = random->Below(3) == 0;
  request.method = request.effectful ? "POST" : "GET";
  request.path = (request.effectful ? "/write/work-" : "/read/work-") + std::to_string(work_ms);
  return request;
}

std::string Serialize(const Request& request) {
  return request.method + " " + request.path +
         " HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: " + request.attempt_id +
         "\r\nElderkeel-Remaining-Ms: " + std::to_string(kDeadlineMs) + "\r\n" +
         (request.effectful ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

// Copies the outcome of the exchange into the client's record of the request.
void ApplyOutcome(http::HttpConnection::Outcome&& outcome, Request* request) {
  request->any_byte_sent = outcome.ending != http::HttpConnection::Result::kNotSent;
  request->reason = outcome.reason;
  if (outcome.ending != http::HttpConnection::Result::kResponse) return;
  request->status = outcome.response.status;
  request->body = outcome.response.body;
  const std::string* seal = outcome.response.Find("Elderkeel-Server-Seal");
  if (seal) request->seal = *seal;
}

// Sends the request and blocks until it has a response or has failed. Gives up 100 ms after the
// deadline or, if `disconnect_after` is not negative, disconnects after that many ms. Returns
// whether the connection can be reused.
bool Exchange(base::Loop* loop, http::HttpConnection* connection, base::Millis disconnect_after,
              Request* request) {
  request->sent_at = base::SteadyMillis();
  request->deadline = request->sent_at + kDeadlineMs;
  bool done = false;
  bool keep = false;
  connection->Send(Serialize(*request), false, [&](http::HttpConnection::Outcome&& outcome) {
    done = true;
    keep = outcome.ending == http::HttpConnection::Result::kResponse && outcome.response.keep_alive;
    ApplyOutcome(std::move(outcome), request);
  });
  base::Millis wait = disconnect_after < 0 ? kDeadlineMs + kRetryMs : disconnect_after;
  base::Timer give_up;
  give_up.Start(loop, wait, [] {});
  while (!done && base::SteadyMillis() < request->sent_at + wait) {
    event_base_loop(loop->base(), EVLOOP_ONCE);
  }
  request->ended_at = base::SteadyMillis();
  if (!done && disconnect_after >= 0) request->client_closed_at = request->ended_at;
  return done && keep;
}

// The address in a URL of the form http://ADDRESS/PATH; empty if it has no "//".
std::string AddressOf(const std::string& location) {
  size_t begin = location.find("//");
  if (begin == std::string::npos) return "";
  begin += 2;
  return location.substr(begin, location.find('/', begin) - begin);
}

}  // namespace

ReadinessProber::ReadinessProber(const Options& options, const Addresses& addresses)
    : options_(options),
      addresses_(addresses),
      failed_probes_(static_cast<size_t>(options.proxies)) {
  for (auto& failed : failed_probes_) failed = kFailedProbesToRemove;
  thread_ = std::thread([this] { Run(); });
}

ReadinessProber::~ReadinessProber() {
  stop_ = true;
  thread_.join();
}

void ReadinessProber::Run() {
  base::Loop loop;
  std::vector<std::unique_ptr<http::HttpCall>> calls(failed_probes_.size());
  base::Timer probe_timer, stop_timer;
  auto probe_all = [&] {
    for (size_t i = 0; i < failed_probes_.size(); ++i) {
      calls[i] = std::make_unique<http::HttpCall>(&loop, addresses_.Readiness(static_cast<int>(i)),
                                                  kCallTimeoutMs / 2, http::Limits());
      calls[i]->Start("GET /elderkeel/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
                      [this, i](http::HttpConnection::Outcome&& outcome) {
                        bool ready = outcome.ending == http::HttpConnection::Result::kResponse &&
                                     outcome.response.status == 200;
                        failed_probes_[i] = ready ? 0 : failed_probes_[i] + 1;
                      });
    }
  };
  probe_all();
  probe_timer.Repeat(&loop, kProbeIntervalMs, probe_all);
  stop_timer.Repeat(&loop, kRetryMs, [&] {
    if (stop_) loop.Stop();
  });
  loop.Run();
}

int ReadinessProber::Choose(int zone, uint64_t random) const {
  std::vector<int> ready, all;
  for (int i = 0; i < options_.proxies; ++i) {
    if (i % 2 != zone) continue;
    all.push_back(i);
    if (failed_probes_[static_cast<size_t>(i)] < kFailedProbesToRemove) ready.push_back(i);
  }
  const std::vector<int>& candidates = ready.size() * 2 < all.size() ? all : ready;
  if (candidates.empty()) return 0;
  return candidates[random % candidates.size()];
}

bool ReadinessProber::AllReady() const {
  return std::all_of(failed_probes_.begin(), failed_probes_.end(),
                     [](const auto& failed) { return failed == 0; });
}

Clients::Clients(const Options& options, const Addresses& addresses,
                 const ReadinessProber& readiness, Record* record)
    : options_(options),
      addresses_(addresses),
      readiness_(readiness),
      record_(record),
      running_(options.clients) {
  for (int i = 0; i < options.clients; ++i) threads_.emplace_back([this, i] { Run(i); });
}

Clients::~Clients() {
  Stop();
  for (std::thread& thread : threads_) thread.join();
}

void Clients::Run(int number) {
  base::Random random(options_.seed * 1000 + static_cast<uint64_t>(number));
  base::Loop loop;
  std::unique_ptr<http::HttpConnection> connection;
  Behaviour behaviour = options_.varied ? BehaviourOf(number) : Behaviour::kPlain;
  int proxy = 0;
  int served = 0;  // requests on this connection
  for (int count = 0; !stop_; ++count) {
    if (!connection || !connection->Usable()) {
      proxy = readiness_.Choose(number % 2, random.Next());
      connection = std::make_unique<http::HttpConnection>(&loop, addresses_.ProxyListener(proxy),
                                                          kCallTimeoutMs, http::Limits());
    }
    Request request = MakeRequest(&random);
    request.attempt_id = "a" + std::to_string(number) + "-" + std::to_string(count);
    request.proxy = "p" + std::to_string(proxy);
    bool disconnects = behaviour == Behaviour::kDisconnects && random.Below(kOneInDisconnects) == 0;
    base::Millis disconnect_after = disconnects ? RandomMillis(&random, kMaxDisconnectMs) : -1;
    request.on_reused_connection = served > 0;
    bool keep = Exchange(&loop, connection.get(), disconnect_after, &request);
    served = keep ? served + 1 : 0;
    bool refused = request.status == 503 || !request.any_byte_sent;
    record_->Add(std::move(request));
    if (!keep) connection.reset();
    if (refused) usleep(static_cast<useconds_t>(kRetryMs * 1000));
    if (behaviour == Behaviour::kIdles && random.Below(kOneInIdles) == 0) {
      Idle(RandomMillis(&random, kIdleTimeoutMs * 4 / 5));
    }
  }
  --running_;
}

void Clients::Idle(base::Millis span) const {
  base::Millis until = base::SteadyMillis() + span;
  while (!stop_ && base::SteadyMillis() < until)
    usleep(static_cast<useconds_t>(kIdleStepMs * 1000));
}

Operator::Operator(const Options& options, const Addresses& addresses, Record* record)
    : options_(options), addresses_(addresses), record_(record), thread_([this] { Run(); }) {}

Operator::~Operator() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
}

std::string Operator::Document(int64_t revision) const {
  auto route = [&](const char* label, const char* variant, const char* service, int timeout_ms) {
    return std::string(R"({"label":"r-)") + label + R"(","host":"h.example","path-prefix":"/)" +
           label + R"(/","variant":")" + variant + R"(","timeout-ms":)" +
           std::to_string(timeout_ms) +
           R"(,"target-latency-ms":1500,"priority":1,"max-attempts":2,"target":")" + service +
           "\"}";
  };
  auto service = [](const char* label) {
    return std::string(R"({"label":")") + label +
           R"(","health-path":"/health","max-conns":200,"protocol":"h1","tls":false,)" +
           R"("warmup-s":3,"warmup-per-s":6})";
  };
  std::string routes = route("read", "idempotent", "reading", revision % 2 == 0 ? 3000 : 4000) +
                       "," + route("write", "effectful", "writing", 4000);
  if (revision % 3 == 0) routes += "," + route("extra", "idempotent", "reading", 1000);
  return R"({"revision":)" + std::to_string(revision) + R"(,"route-list":[)" + routes +
         R"(],"service-list":[)" + service("reading") + "," + service("writing") +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,)" +
         R"("header-timeout-ms":3000,"idle-timeout-ms":)" + std::to_string(kIdleTimeoutMs) + "}}";
}

int Operator::Send(const std::string& method, int64_t base, const std::string& body,
                   std::string* answer) {
  std::string bytes = method + " /elderkeel/config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n" +
                      "If-Match: " + std::to_string(base) +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  for (int attempt = 0; attempt < kMaxCallAttempts; ++attempt) {
    base::Address to = addresses_.Control(attempt % options_.controllers);
    for (int redirects = 0; redirects <= 2; ++redirects) {
      CallResult result = CallOnce(to, bytes);
      if (answer) *answer = result.answer.body;
      if (result.status == 307) {
        const std::string* location = result.answer.Find("Location");
        auto next = base::ParseAddress(location ? AddressOf(*location) : "");
        if (!next) break;
        to = *next;
        continue;
      }
      if (result.status > 0 && result.status < 500 && result.status != 404) return result.status;
      break;
    }
    usleep(static_cast<useconds_t>(kRetryMs * 1000));
  }
  return 0;
}

void Operator::Run() {
  base::Random random(options_.seed * 77 + 5);
  int64_t base = 0;
  for (int64_t revision = 1; !stop_; ++revision) {
    Change change;
    change.revision = revision;
    change.sent_at = base::SteadyMillis();
    change.status = Send("PUT", base, Document(revision), nullptr);
    record_->Add(change);
    if (change.status == 200) {
      base = revision;
      configured_ = true;
    }
    base::Millis pause = 200 + static_cast<base::Millis>(random.Below(1500));
    for (base::Millis waited = 0; waited < pause && !stop_; waited += kRetryMs) {
      usleep(static_cast<useconds_t>(kRetryMs * 1000));
    }
  }
}

int64_t Operator::ReadBack() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  std::string document;
  if (Send("GET", 0, "", &document) != 200) return -1;
  constexpr std::string_view kKey = "\"revision\":";
  size_t at = document.find(kKey);
  return at == std::string::npos ? -1 : std::atoll(document.c_str() + at + kKey.size());
}

}  // namespace elderkeel::soak
