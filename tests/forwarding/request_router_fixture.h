#pragma once

#include <event2/bufferevent.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "forwarding/request_router.h"
#include "transport/socket.h"

// A RequestRouter on loopback, between servers and clients that the test controls.

namespace elderkeel::forwarding {

// A server on loopback that answers with bytes chosen by the test. Runs on the test's event loop.
class FakeServer {
 public:
  // Called with the bytes of each request; returns the bytes to send, empty for no answer. "RESET"
  // resets the connection; with "CUT" the bytes before it are sent and the connection is closed.
  using Script = std::function<std::string(const std::string& request)>;

  FakeServer(base::Loop* loop, Script script) : loop_(loop), script_(std::move(script)) {
    for (uint16_t port = 21000; port < 22000; ++port) {
      address_ = {"127.0.0.1", port};
      if (listener_.Open(loop, address_, [this](int fd) { Accept(fd); }).has_value()) return;
    }
  }
  const base::Address& address() const { return address_; }
  // Sends bytes on the connection of request `number`, counted from 0; for scripts that returned
  // none.
  void SendLate(size_t number, const std::string& bytes) {
    bufferevent_write(request_sockets_[number], bytes.data(), bytes.size());
  }
  std::vector<std::string> requests;  // received so far
  int connections = 0;                // accepted so far

 private:
  struct Connection {
    FakeServer* self;
    transport::BuffereventPtr socket;
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
          self->request_sockets_.push_back(b);
          std::string answer = self->script_(bytes);
          if (answer == "RESET") {
            linger reset_on_close{1, 0};
            setsockopt(bufferevent_getfd(b), SOL_SOCKET, SO_LINGER, &reset_on_close,
                       sizeof reset_on_close);
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
    connections_.push_back(std::move(c));
  }

  base::Loop* loop_;
  Script script_;
  base::Address address_;
  transport::Listener listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<bufferevent*> request_sockets_;  // by request
};

// A client connection that stays open between requests.
class OpenConnection {
 public:
  explicit OpenConnection(const base::Address& address)
      : fd_(transport::StartConnect(address, 0)) {}
  OpenConnection(OpenConnection&& other) noexcept
      : answers_(std::move(other.answers_)), fd_(std::exchange(other.fd_, -1)) {}
  ~OpenConnection() {
    if (fd_ >= 0) close(fd_);
  }

  // Returns whether the kernel took all bytes; it doesn't until the connection is established.
  bool TrySend(const std::string& bytes) {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  // Reads what has arrived, at most `most` bytes, without blocking.
  void Receive(size_t most = SIZE_MAX) {
    char buffer[4096];
    while (most > 0) {
      ssize_t n = recv(fd_, buffer, std::min(most, sizeof buffer), MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN)) closed_ = true;
      if (n <= 0) return;
      answers_.append(buffer, static_cast<size_t>(n));
      most -= static_cast<size_t>(n);
    }
  }
  const std::string& answers() const { return answers_; }
  bool closed() const { return closed_; }

 private:
  std::string answers_;
  int fd_;
  bool closed_ = false;
};

// The value of a header in the bytes of a message; empty if it is absent.
inline std::string HeaderOf(const std::string& request, const std::string& name) {
  size_t at = request.find(name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  return request.substr(at, request.find("\r\n", at) - at);
}

// A successful answer to `request` that passes all checks.
inline std::string SuccessAnswer(const std::string& request, const std::string& body = "hello") {
  return "HTTP/1.1 200 OK\r\nElderkeel-Attempt-Id: " + HeaderOf(request, "Elderkeel-Attempt-Id") +
         "\r\nElderkeel-Server-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A RequestRouter with its own event loop. Tests add servers with AddServer(), call Configure(),
// and send requests with Exchange() or Open().
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

  // Starts a server and adds it to the endpoint list.
  FakeServer* AddServer(const std::string& id, FakeServer::Script script) {
    servers_.push_back(std::make_unique<FakeServer>(&loop_, std::move(script)));
    AddEndpoint(id, servers_.back()->address().ToString());
    return servers_.back().get();
  }
  void AddEndpoint(const std::string& id, const std::string& address) {
    // The router prefers the first server: it is in the router's own zone.
    endpoints_.servers.push_back(
        {id, "s", address, endpoints_.servers.empty() ? "a" : "b", "v", 2, false, 0, 0});
  }
  // Puts in force a configuration with an idempotent and a non-idempotent route, and the endpoints.
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
    router_->Adopt(
        configuration::RoutingTable::Build(text, router_->service_names(), router_->regions()));
    router_->Adopt(endpoints_);
    // These match no route and get 404; they run the loop, but don't add to the retry budget.
    for (int i = 0; i < 4; ++i) Exchange("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
  }

  // Sends bytes on a new connection. Returns the bytes received until all requests are answered,
  // the connection is closed, or `ms` milliseconds have passed.
  std::string Exchange(const std::string& bytes, int ms = 1500) {
    int fd = transport::StartConnect(settings_.front, 0);
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
      if (n > 0 && CountAnswers(answer) >= CountRequests(bytes)) break;
    }
    close(fd);
    return answer;
  }
  // Runs the loop until `condition` holds; returns false if it doesn't within 5 s.
  bool RunUntil(const std::function<bool()>& condition) {
    base::Millis end = base::SteadyMillis() + 5000;
    base::Timer wake;
    while (!condition()) {
      if (base::SteadyMillis() > end) return false;
      wake.Start(&loop_, 2, [] {});
      event_base_loop(loop_.base(), EVLOOP_ONCE);
    }
    return true;
  }
  // Opens a connection and sends `bytes` on it.
  OpenConnection Open(const std::string& bytes) {
    OpenConnection connection(settings_.front);
    EXPECT_TRUE(RunUntil([&] { return connection.TrySend(bytes); }));
    return connection;
  }
  // The number of requests in `bytes`, at least 1.
  static int CountRequests(const std::string& bytes) {
    int n = 0;
    for (size_t at = 0; (at = bytes.find(" HTTP/1.1\r\n", at)) != std::string::npos; ++at) ++n;
    return std::max(1, n);
  }
  // The number of complete answers at the start of `bytes`.
  static int CountAnswers(const std::string& bytes) {
    int n = 0;
    std::unique_ptr<evbuffer, decltype(&evbuffer_free)> buffer(evbuffer_new(), &evbuffer_free);
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    http::MessageReader reader(HTTP_RESPONSE);
    while (reader.Read(buffer.get(), http::Limits()) == http::MessageReader::Progress::kComplete) {
      ++n;
      reader.Reset();
    }
    return n;
  }
  // A request of kind "get" (idempotent) or "post" (non-idempotent).
  std::string RequestText(const std::string& kind, const std::string& id = "id-1",
                          const std::string& remaining = "900") {
    std::string head = (kind == "post" ? "POST" : "GET") + std::string(" /") + kind +
                       "/x?y=1 HTTP/1.1\r\nHost: h.example\r\n" + "Elderkeel-Attempt-Id: " + id +
                       "\r\nElderkeel-Remaining-Ms: " + remaining + "\r\n";
    return kind == "post" ? head + "Content-Length: 4\r\n\r\nbody" : head + "\r\n";
  }
  // The status of the first answer; 0 if there is none.
  static int Status(const std::string& answer) {
    return answer.size() > 12 && answer.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(answer.c_str() + 9)
                                                                   : 0;
  }

  base::Loop loop_;
  base::Settings settings_;
  std::mutex mutex_;
  std::string records_;
  telemetry::Recorder recorder_;
  std::vector<std::unique_ptr<FakeServer>> servers_;
  discovery::EndpointSnapshot endpoints_{1, 1, {}};
  std::unique_ptr<RequestRouter> router_;
};

}  // namespace elderkeel::forwarding
