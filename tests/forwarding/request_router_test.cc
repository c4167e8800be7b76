#include "forwarding/request_router.h"

#include <event2/bufferevent.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "proxy/shutdown.h"
#include "wire/socket.h"

namespace elderkeel::forwarding {
namespace {

// A server as the protocol describes one, which does what the test tells it to do.
class StandIn {
 public:
  // Gets each request as it came; returns the bytes to send, or nothing for silence. "RESET"
  // resets.
  using Script = std::function<std::string(const std::string& request)>;

  StandIn(base::Loop* loop, Script script) : loop_(loop), script_(std::move(script)) {
    for (uint16_t port = 21000; port < 22000; ++port) {
      address_ = {"127.0.0.1", port};
      if (listener_.Open(loop, address_, [this](int fd) { Accept(fd); }).has_value()) return;
    }
  }
  const base::Address& address() const { return address_; }
  std::vector<std::string> requests;
  int connections = 0;

 private:
  struct Connection {
    StandIn* self;
    wire::BuffereventPtr socket;
  };
  void Accept(int fd) {
    ++connections;
    auto c = std::make_unique<Connection>();
    c->self = this;
    c->socket.reset(bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        c->socket.get(),
        [](bufferevent* b, void* arg) {
          auto* self = static_cast<Connection*>(arg)->self;
          std::string bytes(evbuffer_get_length(bufferevent_get_input(b)), '\0');
          evbuffer_remove(bufferevent_get_input(b), bytes.data(), bytes.size());
          self->requests.push_back(bytes);
          std::string answer = self->script_(bytes);
          if (answer == "RESET") {
            linger hard{1, 0};
            setsockopt(bufferevent_getfd(b), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            bufferevent_setcb(b, nullptr, nullptr, nullptr, nullptr);
            shutdown(bufferevent_getfd(b), SHUT_RDWR);
            return;
          }
          bool close_after = answer.find("CUT") != std::string::npos;
          if (close_after) answer.erase(answer.find("CUT"));
          bufferevent_write(b, answer.data(), answer.size());
          if (close_after) {
            bufferevent_setcb(
                b, nullptr,
                [](bufferevent* b, void*) { shutdown(bufferevent_getfd(b), SHUT_RDWR); }, nullptr,
                nullptr);
          }
        },
        nullptr, [](bufferevent*, short, void*) {}, c.get());
    bufferevent_enable(c->socket.get(), EV_READ | EV_WRITE);
    open_.push_back(std::move(c));
  }

  base::Loop* loop_;
  Script script_;
  base::Address address_;
  wire::Listener listener_;
  std::vector<std::unique_ptr<Connection>> open_;
};

std::string HeaderOf(const std::string& request, const std::string& name) {
  size_t at = request.find(name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  return request.substr(at, request.find("\r\n", at) - at);
}

std::string Good(const std::string& request, const std::string& body = "hello") {
  return "HTTP/1.1 200 OK\r\nElderkeel-Attempt-Id: " + HeaderOf(request, "Elderkeel-Attempt-Id") +
         "\r\nElderkeel-Server-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

class RequestRouterTest : public ::testing::Test {
 protected:
  RequestRouterTest()
      : recorder_(telemetry::Recorder::Options(),
                  telemetry::MakeCallSink([this](std::string lines) {
                    std::lock_guard<std::mutex> lock(mutex_);
                    records_ += lines;
                    return true;
                  })) {
    settings_.zone = "a";
    settings_.retry_ratio = 1;
    settings_.retry_slack = 100;
    settings_.connect_ms = 150;
    for (uint16_t port = 20000; port < 21000; ++port) {
      settings_.front = {"127.0.0.1", port};
      router_ = std::make_unique<RequestRouter>(&loop_, settings_, &recorder_);
      router_->SetServing(true);
      if (router_->Listen().has_value()) break;
    }
  }

  StandIn* Serve(const std::string& id, StandIn::Script script) {
    balancer_.push_back(std::make_unique<StandIn>(&loop_, std::move(script)));
    Add(id, balancer_.back()->address().ToString());
    return balancer_.back().get();
  }
  void Add(const std::string& id, const std::string& address) {
    // The first one is preferred: it is in this node's zone.
    endpoints_.servers.push_back(
        {id, "s", address, endpoints_.servers.empty() ? "a" : "b", "v", 2, false, 0, 0});
  }
  void Configure(int64_t timeout_ms = 1000, int64_t target_latency_ms = 2000) {
    auto route = [&](const char* label, const char* prefix, const char* variant) {
      return std::string(R"({"label":")") + label + R"(","host":"h.example","path-prefix":")" +
             prefix + R"(","variant":")" + variant + R"(","timeout-ms":)" +
             std::to_string(timeout_ms) + R"(,"target-latency-ms":)" +
             std::to_string(target_latency_ms) + R"(,"max-attempts":2,"target":"s"})";
    };
    std::string text =
        R"({"revision":1,"route-list":[)" + route("get", "/get/", "idempotent") + "," +
        route("post", "/post/", "effectful") +
        R"(],"service-list":[{"label":"s","max-conns":100}],"limits":{"max-header-bytes":600,"max-body-bytes":1000,"header-timeout-ms":200,"idle-timeout-ms":3000}})";
    router_->Adopt(configuration::RoutingTable::Build(text, router_->names(), router_->regions()));
    router_->Adopt(endpoints_);
    // Some requests first, so that there is budget for further sends.
    for (int i = 0; i < 4; ++i) PendingRequest("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
  }

  // Sends bytes on a new connection and returns all that comes until the end, or `ms` have passed.
  std::string PendingRequest(const std::string& bytes, int ms = 1500) {
    int fd = wire::StartConnect(settings_.front, 0);
    std::string answer;
    bool sent = false;
    base::Millis end = base::SteadyMillis() + ms;
    base::Timer stop;
    while (base::SteadyMillis() < end) {
      stop.Start(&loop_, 2, [] {});
      event_base_loop(loop_.base(), EVLOOP_ONCE);
      if (!sent) {
        sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
        continue;
      }
      char buffer[4096];
      ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n == 0) break;
      if (n > 0) answer.append(buffer, static_cast<size_t>(n));
      if (n > 0 && ReadAnswer(answer) >= Requests(bytes)) break;
    }
    close(fd);
    return answer;
  }
  static int Requests(const std::string& bytes) {
    int n = 0;
    for (size_t at = 0; (at = bytes.find(" HTTP/1.1\r\n", at)) != std::string::npos; ++at) ++n;
    return std::max(1, n);
  }
  static int ReadAnswer(const std::string& bytes) {
    int n = 0;
    std::unique_ptr<evbuffer, decltype(&evbuffer_free)> buffer(evbuffer_new(), &evbuffer_free);
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    wire::MessageReader reader(HTTP_RESPONSE);
    while (reader.Read(buffer.get(), wire::Limits()) == wire::MessageReader::Progress::kDone) {
      ++n;
      reader.Reset();
    }
    return n;
  }
  std::string Ask(const std::string& kind, const std::string& id = "id-1",
                  const std::string& remaining = "900") {
    std::string head = (kind == "post" ? "POST" : "GET") + std::string(" /") + kind +
                       "/x?y=1 HTTP/1.1\r\nHost: h.example\r\n" + "Elderkeel-Attempt-Id: " + id +
                       "\r\nElderkeel-Remaining-Ms: " + remaining + "\r\n";
    return kind == "post" ? head + "Content-Length: 4\r\n\r\nbody" : head + "\r\n";
  }
  static int Status(const std::string& answer) {
    return answer.size() > 12 && answer.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(answer.c_str() + 9)
                                                                   : 0;
  }

  base::Loop loop_;
  base::Settings settings_;
  std::mutex mutex_;
  std::string records_;
  telemetry::Recorder recorder_;
  std::vector<std::unique_ptr<StandIn>> balancer_;
  discovery::EndpointSnapshot endpoints_{1, 1, {}};
  std::unique_ptr<RequestRouter> router_;
};

TEST_F(RequestRouterTest, ForwardsUnchangedWithDeadlineAndExpectedServer) {
  auto* server = Serve("i-1", [](const std::string& r) { return Good(r); });
  Configure();
  std::string answer = PendingRequest(
      "POST /post/x?y=%20z HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a7\r\n"
      "Elderkeel-Remaining-Ms: 500\r\nConnection: X-Hop, Elderkeel-Attempt-Id\r\nX-Hop: "
      "1\r\nX-Kept: 2\r\n"
      "Elderkeel-Expected-Server: forged\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  EXPECT_EQ(Status(answer), 200);
  EXPECT_NE(answer.find("Elderkeel-Server-Seal: seal"), std::string::npos);
  EXPECT_EQ(answer.substr(answer.size() - 5), "hello");
  ASSERT_EQ(server->requests.size(), 1u);
  const std::string& sent = server->requests[0];
  EXPECT_EQ(sent.rfind("POST /post/x?y=%20z HTTP/1.1\r\n", 0), 0u);
  EXPECT_EQ(HeaderOf(sent, "Elderkeel-Attempt-Id"), "a7");
  EXPECT_EQ(HeaderOf(sent, "Elderkeel-Expected-Server"), "i-1");
  EXPECT_EQ(HeaderOf(sent, "X-Kept"), "2");
  EXPECT_EQ(HeaderOf(sent, "X-Hop"), "");
  EXPECT_EQ(HeaderOf(sent, "Content-Length"), "2");
  EXPECT_LE(std::stoi(HeaderOf(sent, "Elderkeel-Remaining-Ms")), 500);
  EXPECT_EQ(sent.substr(sent.size() - 4), "\r\nhi");
}

// What a server does, and what the client gets: for what may be repeated, a second server that is
// well saves the day; for what may run once only, just when the first has certainly not run it.
TEST_F(RequestRouterTest, EachKindOfFailure) {
  struct Case {
    const char* name;
    StandIn::Script bad;
    int get_status, post_status;
    size_t post_arrivals;  // at both servers together
  };
  auto plain = [](const char* text) {
    return [text](const std::string&) { return std::string(text); };
  };
  // The same with the request's id, or with another's, behind the first line.
  auto named = [](const char* text, bool ours) {
    return [text, ours](const std::string& r) {
      std::string id = ours ? HeaderOf(r, "Elderkeel-Attempt-Id") : "another";
      std::string answer = text;
      return answer.insert(answer.find("\r\n") + 2, "Elderkeel-Attempt-Id: " + id + "\r\n");
    };
  };
  const char* busy = "HTTP/1.1 503 Busy\r\nElderkeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  std::vector<Case> cases = {
      {"well", [](const std::string& r) { return Good(r); }, 200, 200, 1},
      {"turned away", named(busy, true), 200, 200, 2},
      // Neither is a word about this request; so it may have run.
      {"another turned away", named(busy, false), 200, 504, 1},
      {"nobody turned away", plain(busy), 200, 502, 1},
      {"misdirected", named("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", true), 200, 200, 2},
      {"another's answer, late, then ours",
       [](const std::string& r) { return Good("Elderkeel-Attempt-Id: other\r\n") + Good(r); }, 200,
       200, 1},
      {"two of others",
       [](const std::string& r) {
         std::string other = Good("Elderkeel-Attempt-Id: other\r\n");
         return other + other + Good(r);
       },
       200, 502, 1},
      {"reset", plain("RESET"), 200, 502, 1},
      {"cut short",
       plain("HTTP/1.1 200 OK\r\nElderkeel-Server-Seal: s\r\nContent-Length: 50\r\n\r\nhalfCUT"),
       200, 502, 1},
      {"no answer but bytes", plain("%%%% what is this\r\n\r\n"), 200, 502, 1},
      {"no seal",
       [](const std::string& r) {
         return "HTTP/1.1 200 OK\r\nElderkeel-Attempt-Id: " + HeaderOf(r, "Elderkeel-Attempt-Id") +
                "\r\nContent-Length: 2\r\n\r\nhi";
       },
       200, 502, 1},
      {"answer to another",
       [](const std::string&) { return Good("Elderkeel-Attempt-Id: other\r\n"); }, 200, 504, 1},
      {"encoded",
       [](const std::string& r) {
         std::string good = Good(r);
         return good.insert(17, "Content-Encoding: gzip\r\n");
       },
       200, 502, 1},
      {"no end of its own",
       [](const std::string& r) {
         return "HTTP/1.1 200 OK\r\nElderkeel-Server-Seal: s\r\nElderkeel-Attempt-Id: " +
                HeaderOf(r, "Elderkeel-Attempt-Id") + "\r\n\r\nhiCUT";
       },
       200, 502, 1},
      {"own failure", named("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true), 200, 500, 1},
      // A status that promises "not run" without saying so is not passed on.
      {"busy, but it may have run", named("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true),
       200, 502, 1},
      {"own refusal", named("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", true), 409, 409,
       1},
      {"more than its answer", [](const std::string& r) { return Good(r) + "HTTP/1.1 200 OK\r\n"; },
       200, 200, 1},
  };
  for (const Case& c : cases) {
    for (const char* kind : {"get", "post"}) {
      settings_.front.port += 1;
      router_ = std::make_unique<RequestRouter>(&loop_, settings_, &recorder_);
      while (!router_->Listen().has_value()) {
        settings_.front.port += 1;
        router_ = std::make_unique<RequestRouter>(&loop_, settings_, &recorder_);
      }
      router_->SetServing(true);
      endpoints_.servers.clear();
      auto* bad = Serve("i-bad", c.bad);
      auto* good = Serve("i-good", [](const std::string& r) { return Good(r); });
      Configure();
      for (int i = 0; i < 3; ++i) PendingRequest(Ask("get", "warm-" + std::to_string(i)));
      // The warm-up may have taught the node to avoid the bad server: a fresh view, with the
      // budget.
      endpoints_.servers[0].id = "i-bad-2";
      router_->Adopt(endpoints_);
      size_t before = bad->requests.size() + good->requests.size();
      std::string answer = PendingRequest(Ask(kind));
      std::string want =
          kind == std::string("get") ? std::to_string(c.get_status) : std::to_string(c.post_status);
      EXPECT_EQ(std::to_string(Status(answer)), want) << c.name << " " << kind << ": " << answer;
      if (kind == std::string("post")) {
        EXPECT_EQ(bad->requests.size() + good->requests.size() - before, c.post_arrivals) << c.name;
      }
    }
  }
}

TEST_F(RequestRouterTest, ServesNothingUntilItsStateIsConfirmed) {
  auto* server = Serve("i-1", [](const std::string& r) { return Good(r); });
  Configure();
  router_->SetServing(false);
  EXPECT_EQ(Status(PendingRequest(Ask("get"))), 503);
  EXPECT_TRUE(server->requests.empty());
  router_->SetServing(true);
  EXPECT_EQ(Status(PendingRequest(Ask("get"))), 200);
}

// That a route does not exist is said only by what is known to be recent.
TEST_F(RequestRouterTest, DeniesNothingByAStateThatMayBeOutOfDate) {
  Serve("i-1", [](const std::string& r) { return Good(r); });
  Configure();
  bool recent = false;
  router_->SetDenialGuard([&] { return recent; });
  std::string unknown = "GET /got/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\n\r\n";
  std::string answer = PendingRequest(unknown);
  EXPECT_EQ(Status(answer), 503);
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_EQ(Status(PendingRequest(Ask("get"))), 200);  // what is there is served all the same
  recent = true;
  EXPECT_EQ(Status(PendingRequest(unknown)), 404);
}

// Clients come to a proxy that ends until it is gone, each on a connection of its own, and its
// server never answers. Whatever was offered to the server gets an answer before the end, and what
// comes late is rejected without being offered.
TEST_F(RequestRouterTest, AStoppingProxyAnswersEveryRequestThatItAccepts) {
  auto* server = Serve("i-1", [](const std::string&) { return std::string(); });
  endpoints_.servers.back().capacity = 100;
  Configure(5000, 5000);
  struct Client {
    int fd = -1;
    std::string id;
    base::Millis begun = 0;  // since the end began
    bool sent = false;
    std::string answer = "";
  };
  lifecycle::Lifecycle::Options options;
  options.grace = 1200;
  options.notice = 500;
  lifecycle::Lifecycle lifecycle(options);
  base::Millis begin = base::SteadyMillis();
  lifecycle.Leave(begin);
  router_->SetLeaving();
  std::vector<Client> clients;
  base::Timer tick, wake;
  bool ended = false;
  tick.Repeat(&loop_, 20, [&] {
    ended |= proxy::AdvanceShutdown(lifecycle.PhaseAt(base::SteadyMillis(), router_->busy()),
                                    router_.get());
  });
  auto receive = [](Client* client) {
    char buffer[4096];
    for (ssize_t n; (n = recv(client->fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;) {
      client->answer.append(buffer, static_cast<size_t>(n));
    }
  };
  base::Millis next = begin;
  while (!ended && base::SteadyMillis() - begin < 3000) {
    base::Millis now = base::SteadyMillis();
    if (now >= next) {
      next = now + 15;
      clients.push_back({wire::StartConnect(settings_.front, 0),
                         "late-" + std::to_string(clients.size()), now - begin});
    }
    wake.Start(&loop_, 2, [] {});
    event_base_loop(loop_.base(), EVLOOP_ONCE);
    for (Client& client : clients) {
      std::string bytes = Ask("post", client.id, "9000");
      if (!client.sent) client.sent = send(client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
      receive(&client);
    }
  }
  EXPECT_TRUE(ended);
  router_.reset();  // as a process that ends
  int offered = 0, rejected = 0;
  for (Client& client : clients) {
    receive(&client);
    bool ran = std::any_of(
        server->requests.begin(), server->requests.end(),
        [&](const std::string& r) { return HeaderOf(r, "Elderkeel-Attempt-Id") == client.id; });
    offered += ran;
    rejected += Status(client.answer) == 503;
    if (ran) {
      EXPECT_EQ(ReadAnswer(client.answer), 1) << client.id << " at " << client.begun << " ms";
      EXPECT_LT(client.begun, options.grace * 5 / 8 + 60) << client.id;
    }
    close(client.fd);
  }
  EXPECT_GT(offered, 10);
  EXPECT_GT(rejected, 5);
}

TEST_F(RequestRouterTest, RejectsWhatItMustNotForward) {
  auto* server = Serve("i-1", [](const std::string& r) { return Good(r); });
  std::string big(700, 'x');
  EXPECT_EQ(Status(PendingRequest(Ask("get"))), 503);  // nothing known yet
  Configure();
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  } cases[] = {
      {"unknown host", "GET /get/ HTTP/1.1\r\nHost: other\r\nElderkeel-Attempt-Id: a\r\n\r\n", 404},
      {"unknown path", "GET /got/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\n\r\n",
       404},
      {"no attempt id", "GET /get/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 400},
      {"two attempt ids",
       "GET /get/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\nElderkeel-Attempt-Id: "
       "b\r\n\r\n",
       400},
      {"bad deadline",
       "GET /get/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: "
       "a\r\nElderkeel-Remaining-Ms: soon\r\n\r\n",
       400},
      {"connect", "CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n", 405},
      {"whole address",
       "GET http://h.example/get/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\n\r\n",
       400},
      {"unknown method", "FROB /get/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 501},
      {"smuggled",
       "POST /post/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\nContent-Length: "
       "5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /get/ HTTP/1.1\r\n",
       400},
      {"head too large", "GET /get/" + big + " HTTP/1.1\r\nHost: h.example\r\n\r\n", 431},
      {"body too large", "POST /post/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1001\r\n\r\n",
       413},
      {"head too slow", "GET /get/ HTTP/1.1\r\nHost:", 408},
  };
  for (const Case& c : cases) EXPECT_EQ(Status(PendingRequest(c.bytes)), c.status) << c.name;
  EXPECT_TRUE(server->requests.empty());
}

TEST_F(RequestRouterTest, AnswersPipelinedRequestsInTheirOrder) {
  Serve("i-1", [](const std::string& r) { return Good(r, HeaderOf(r, "Elderkeel-Attempt-Id")); });
  Configure();
  std::string answer =
      PendingRequest(Ask("get", "first") + Ask("post", "second") + Ask("get", "third"));
  size_t first = answer.find("\r\n\r\nfirst"), second = answer.find("\r\n\r\nsecond"),
         third = answer.find("\r\n\r\nthird");
  ASSERT_NE(third, std::string::npos) << answer;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

TEST_F(RequestRouterTest, ASilentServerEndsNothingBeforeTheDeadline) {
  settings_.second_sends = false;
  Serve("i-1", [](const std::string&) { return std::string(); });
  Configure();
  base::Millis begun = base::SteadyMillis();
  EXPECT_EQ(Status(PendingRequest(Ask("post", "a", "300"))), 504);
  base::Millis took = base::SteadyMillis() - begun;
  EXPECT_GE(took, 290);
  EXPECT_LT(took, 600);
}

TEST_F(RequestRouterTest, ALateIdempotentRequestIsHedged) {
  auto* silent = Serve("i-1", [](const std::string&) { return std::string(); });
  auto* well = Serve("i-2", [](const std::string& r) { return Good(r); });
  Configure(1000, 200);
  for (int i = 0; i < 3; ++i) PendingRequest(Ask("get", "w" + std::to_string(i)));
  endpoints_.servers[0].id = "i-1-again";
  router_->Adopt(endpoints_);
  size_t before = silent->requests.size();
  EXPECT_EQ(Status(PendingRequest(Ask("get", "late"))), 200);
  EXPECT_EQ(silent->requests.size(), before + 1);
  EXPECT_FALSE(well->requests.empty());
}

TEST_F(RequestRouterTest, StreamsAnswersTooLargeToBuffer) {
  settings_.held_body_bytes = 1000;
  std::string large(300000, 'x');
  bool cut = false, chunks = false;
  Serve("i-1", [&](const std::string& r) {
    std::string good = Good(r, large);
    if (chunks) {
      size_t at = good.find("Content-Length");
      good.erase(at, good.find("\r\n", at) - at);
      good.insert(at, "Transfer-Encoding: chunked");
      good.insert(good.size() - large.size(), "493e0\r\n");
      good += "\r\n0\r\n\r\n";
    }
    return cut ? good.substr(0, 200000) + "CUT" : good;
  });
  Configure();
  for (bool in_chunks : {false, true}) {
    chunks = in_chunks;
    cut = false;
    std::string answer = PendingRequest(Ask("get", "whole"));
    EXPECT_EQ(ReadAnswer(answer), 1) << answer.substr(0, 300);
    EXPECT_GT(answer.size(), large.size());
    EXPECT_EQ(answer.find("chunked") != std::string::npos, in_chunks);
    cut = true;
    answer = PendingRequest(Ask("get", "cut"));
    EXPECT_GT(answer.size(), 1000u);
    EXPECT_EQ(ReadAnswer(answer), 0);  // never looks complete
  }
}

TEST_F(RequestRouterTest, AfterASuspensionSendsNothingForClientsThatLeft) {
  // Found in an incident: a node that was frozen woke and sent all that had piled up to the
  // servers.
  auto* server = Serve("i-1", [](const std::string& r) { return Good(r); });
  Configure();
  std::vector<int> clients;
  for (int i = 0; i < 5; ++i) {
    int fd = wire::StartConnect(settings_.front, 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::string bytes = Ask(i % 2 ? "post" : "get", "gone-" + std::to_string(i));
    EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    if (i < 4) {
      shutdown(fd, SHUT_WR);
      close(fd);
    } else {
      clients.push_back(fd);
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // the loop does not run
  PendingRequest("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
  EXPECT_EQ(Status(PendingRequest(Ask("get", "after"))), 200);
  // Only the one that waited, and the one after.
  EXPECT_EQ(server->requests.size(), 2u);
  for (int fd : clients) close(fd);
}

TEST_F(RequestRouterTest, AnUnreachableServerCountsAsNoArrival) {
  Add("i-gone", "127.0.0.1:1");
  auto* well = Serve("i-2", [](const std::string& r) { return Good(r); });
  Configure();
  EXPECT_EQ(Status(PendingRequest(Ask("post"))), 200);
  EXPECT_EQ(well->requests.size(), 1u);
}

TEST_F(RequestRouterTest, ReusesConnectionsAndRecordsFailures) {
  auto* server = Serve("i-1", [](const std::string& r) { return Good(r); });
  Configure();
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(Status(PendingRequest(Ask("get", "r" + std::to_string(i)))), 200);
  EXPECT_EQ(server->connections, 1);
  endpoints_.servers[0].draining = true;
  router_->Adopt(endpoints_);
  std::string answer = PendingRequest(Ask("get", "nobody-there"));
  EXPECT_EQ(Status(answer), 503);
  EXPECT_FALSE(HeaderOf(answer, "Retry-After").empty());
  recorder_.Flush();
  std::lock_guard<std::mutex> lock(mutex_);
  EXPECT_NE(records_.find("attempt=nobody-there status=503 step=admission reason=\"the service has "
                          "no server\" route=get service=s"),
            std::string::npos)
      << records_;
}

}  // namespace
}  // namespace elderkeel::forwarding
