#pragma once

#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/loop.h"
#include "http/http.h"
#include "transport/socket.h"

namespace elderkeel::stand_in {

constexpr const char* kAttempt = "Elderkeel-Attempt-Id";

// What a server does with one request, or with the connection around it.
enum class Deed {
  kWell,
  kInterim,       // interim answers before its own
  kTwice,         // its answer twice at once
  kTwiceLater,    // the second one a little later, while nothing is asked
  kPieces,        // half of an earlier answer behind its own; the other half with the next request
  kOtherThenOwn,  // an earlier request's answer, then its own
  kOtherId,       // the answer carries another's id
  kNoId,          // or none
  kTwoIds,        // or its own and another's
  kNotExecuted,   // turned away
  kOtherNotExecuted,
  kNoIdNotExecuted,
  kGluedReason,  // a piece of an earlier answer's first line, then its own answer
  kGluedValue,   // the same, cut in the value of a header
  kCutHead,
  kCutBody,
  kExtra,  // bytes that are no answer behind its own
  kReset,  // after the whole request
  kHalfClose,
  kNoAnswer,
  kResetMiddle,  // with a part of the request read
  kHalfCloseMiddle,
  kNoAnswerInTheMiddle,
  kResetIdle,   // answers, then resets the connection while it is idle
  kNoiseIdle,   // answers, then sends another's answer while nothing is asked
  kResetFirst,  // on a new connection, before anything is read
  kHalfCloseFirst,
  kNoAnswerAtAll,
  kOtherFirst,  // another's answer before anything is asked
  kNoIdFirst,
  kLate,  // well, but only after `late_ms`
};

// One server of the protocol on loopback. It counts what it ran; what it turns away (421, a request
// that expects another server, Elderkeel-Not-Executed) it didn't run.
class Server {
 public:
  struct Play {
    Deed deed = Deed::kWell;
    int status = 200;
    base::Millis late_ms = 0;
  };
  struct Arrival {
    std::string attempt;
    int connection;  // counted from 1
    bool ran;
    int status;   // that its own answer bears, if it gets one
    bool spoilt;  // on a connection that had brought more than an answer, in one piece with it
  };

  Server(base::Loop* loop, std::string id, uint16_t first_port) : loop_(loop), id_(std::move(id)) {
    for (uint16_t port = first_port; port < first_port + 2000; ++port) {
      address_ = {"127.0.0.1", port};
      if (listener_.Open(loop, address_, [this](int fd) { Accept(fd); }).has_value()) return;
    }
  }
  ~Server() {
    for (auto& c : open_) bufferevent_setcb(c->socket.get(), nullptr, nullptr, nullptr, nullptr);
  }

  const base::Address& address() const { return address_; }
  const std::string& id() const { return id_; }
  // Another life, maybe of another service, at this address.
  void SetId(std::string id) { id_ = std::move(id); }

  std::function<Play(const http::Message&)> choose = [](const http::Message&) { return Play(); };
  // Asked for each new connection, and once the first part of a request has come.
  std::function<Deed()> on_connection = [] { return Deed::kWell; };
  std::function<Deed()> on_part = [] { return Deed::kWell; };
  // Told of each request that came whole, but for probes; without it they are kept.
  std::function<void(const Arrival&)> on_arrival;
  std::vector<Arrival> arrivals;
  int connections = 0;

  void ResetAll() {
    for (size_t n = open_.size(); n-- > 0;) Reset(open_[n].get());
  }

  // The body names the request, so that a caller can tell whose it got.
  static std::string BodyOf(const std::string& attempt) { return "body of " + attempt + "."; }
  static std::string Answer(int status, const std::vector<std::string>& ids,
                            const std::string& body, const std::string& more = "") {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const std::string& id : ids) text += std::string(kAttempt) + ": " + id + "\r\n";
    return text + "Elderkeel-Server-Seal: seal\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  struct Connection {
    Server* self = nullptr;
    int number = 0;
    transport::BuffereventPtr socket;
    http::MessageReader reader{HTTP_REQUEST};
    bool dead = false;
    bool part_asked = false;
    bool spoilt = false;
    std::string with_next;  // bytes that come once the next request is here
    std::string before;     // the attempt id of the request before
    base::Timer timer;
  };

  void Write(Connection* c, const std::string& bytes) {
    if (!c->dead) bufferevent_write(c->socket.get(), bytes.data(), bytes.size());
  }
  void StopAnswering(Connection* c) {
    c->dead = true;
    bufferevent_disable(c->socket.get(), EV_READ);
  }
  void Reset(Connection* c) {
    c->dead = true;
    linger hard{1, 0};
    setsockopt(bufferevent_getfd(c->socket.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Drop(c);
  }
  // What was written goes out first.
  void EndSide(Connection* c) {
    c->dead = true;
    if (evbuffer_get_length(bufferevent_get_output(c->socket.get())) == 0) {
      shutdown(bufferevent_getfd(c->socket.get()), SHUT_WR);
      return;
    }
    bufferevent_setcb(
        c->socket.get(), nullptr,
        [](bufferevent* b, void*) { shutdown(bufferevent_getfd(b), SHUT_WR); }, &OnEvent, c);
  }
  void Drop(Connection* c) {
    c->timer.Cancel();
    for (size_t i = 0; i < open_.size(); ++i) {
      if (open_[i].get() != c) continue;
      std::shared_ptr<Connection> last(std::move(open_[i]));
      open_.erase(open_.begin() + static_cast<long>(i));
      bufferevent_setcb(last->socket.get(), nullptr, nullptr, nullptr, nullptr);
      last->socket.reset();
      loop_->Defer([last] {});
      return;
    }
  }

  void Accept(int fd) {
    auto made = std::make_unique<Connection>();
    Connection* c = made.get();
    c->self = this;
    c->number = ++connections;
    transport::TuneSocket(fd, 10000);  // what is written goes out at once
    c->socket.reset(bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(c->socket.get(), &OnReadable, nullptr, &OnEvent, c);
    open_.push_back(std::move(made));
    switch (on_connection()) {
      case Deed::kResetFirst:
        return Reset(c);
      case Deed::kNoAnswerAtAll:
        return StopAnswering(c);
      case Deed::kHalfCloseFirst:
        bufferevent_enable(c->socket.get(), EV_READ | EV_WRITE);
        return EndSide(c);
      case Deed::kOtherFirst:
        Write(c, Answer(200, {"other"}, BodyOf("other")));
        break;
      case Deed::kNoIdFirst:
        Write(c, Answer(200, {}, BodyOf("other")));
        break;
      default:
        break;
    }
    bufferevent_enable(c->socket.get(), EV_READ | EV_WRITE);
  }

  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) c->self->Drop(c);
  }
  static void OnReadable(bufferevent* b, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    evbuffer* in = bufferevent_get_input(b);
    if (c->dead) {
      evbuffer_drain(in, evbuffer_get_length(in));
      return;
    }
    http::Limits limits;
    auto progress = c->reader.Read(in, limits);
    if (progress == http::MessageReader::Progress::kMore) {
      if (c->part_asked) return;
      c->part_asked = true;
      switch (c->self->on_part()) {
        case Deed::kResetMiddle:
          return c->self->Reset(c);
        case Deed::kHalfCloseMiddle:
          return c->self->EndSide(c);
        case Deed::kNoAnswerInTheMiddle:
          return c->self->StopAnswering(c);
        default:
          return;
      }
    }
    if (progress == http::MessageReader::Progress::kBad) return c->self->Reset(c);
    http::Message request = c->reader.Take();
    c->reader.Reset();
    c->part_asked = false;
    c->self->Serve(c, request);
  }

  void Serve(Connection* c, const http::Message& request) {
    const std::string* named = request.Find(kAttempt);
    if (!named) {  // a health probe
      return Write(c, "HTTP/1.1 200 OK\r\nElderkeel-Server-Id: " + id_ +
                          "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    const std::string& attempt = *named;
    const std::string* expected = request.Find("Elderkeel-Expected-Server");
    Play play = choose(request);
    Deed deed = play.deed;
    bool misplaced = expected && *expected != id_;
    bool rejected = misplaced || play.status == 421 || deed == Deed::kNotExecuted;
    int refusal = play.status / 100 == 2 ? 503 : play.status;
    int answered = misplaced ? 421 : deed == Deed::kNotExecuted ? refusal : play.status;
    Arrival arrival{attempt, c->number, !rejected, answered, c->spoilt};
    if (on_arrival) {
      on_arrival(arrival);
    } else {
      arrivals.push_back(arrival);
    }
    if (!c->with_next.empty()) Write(c, c->with_next);
    c->with_next.clear();

    std::string body = request.method == "HEAD" ? "" : BodyOf(attempt);
    std::string own = Answer(play.status, {attempt}, body);
    std::string before = c->before.empty() ? "other" : c->before;
    std::string other = Answer(play.status, {before}, BodyOf(before));
    const std::string refused = "Elderkeel-Not-Executed: 1\r\n";
    c->before = attempt;
    c->spoilt |= !misplaced && (deed == Deed::kTwice || deed == Deed::kPieces ||
                                deed == Deed::kOtherThenOwn || deed == Deed::kExtra);
    if (misplaced) return Write(c, Answer(421, {attempt}, ""));
    switch (deed) {
      case Deed::kInterim:
        return Write(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n" +
                            std::string(kAttempt) + ": other\r\n\r\n" + own);
      case Deed::kTwice:
        return Write(c, own + own);
      case Deed::kTwiceLater:
        Write(c, own);
        return c->timer.Start(loop_, 5, [this, c, own] { Write(c, own); });
      case Deed::kPieces:
        c->with_next = other.substr(other.size() / 2);
        return Write(c, own + other.substr(0, other.size() / 2));
      case Deed::kOtherThenOwn:
        return Write(c, other + own);
      case Deed::kOtherId:
        return Write(c, other);
      case Deed::kNoId:
        return Write(c, Answer(play.status, {}, body));
      case Deed::kTwoIds:
        return Write(c, Answer(play.status, {attempt, "other"}, body));
      case Deed::kNotExecuted:
        return Write(c, Answer(refusal, {attempt}, "", refused));
      case Deed::kOtherNotExecuted:
        return Write(c, Answer(refusal, {before}, "", refused));
      case Deed::kNoIdNotExecuted:
        return Write(c, Answer(refusal, {}, "", refused));
      case Deed::kGluedReason:
        return Write(c, "HTTP/1.1 421 " + own);
      case Deed::kGluedValue:
        return Write(c, "HTTP/1.1 421 X\r\nX-Cut: " + own);
      case Deed::kCutHead:
        Write(c, own.substr(0, 30));
        return EndSide(c);
      case Deed::kCutBody:
        Write(c, own.substr(0, own.size() - 3));
        return EndSide(c);
      case Deed::kExtra:
        return Write(c, own + "%%%% what is this\r\n\r\n");
      case Deed::kReset:
        return Reset(c);
      case Deed::kHalfClose:
        return EndSide(c);
      case Deed::kNoAnswer:
        return StopAnswering(c);
      case Deed::kResetIdle:
        Write(c, own);
        return c->timer.Start(loop_, 5, [this, c] { Reset(c); });
      case Deed::kNoiseIdle:
        Write(c, own);
        return c->timer.Start(loop_, 5, [this, c, other] { Write(c, other); });
      case Deed::kLate:
        return c->timer.Start(loop_, play.late_ms, [this, c, own] { Write(c, own); });
      default:
        return Write(c, own);
    }
  }

  base::Loop* loop_;
  std::string id_;
  base::Address address_;
  transport::Listener listener_;
  std::vector<std::unique_ptr<Connection>> open_;
};

// A client's connection to a proxy; requests may be sent before earlier ones are answered.
class Client {
 public:
  Client(base::Loop* loop, const base::Address& to) {
    int fd = transport::StartConnect(to, 0);
    if (fd < 0) {
      closed = true;
      return;
    }
    socket_.reset(bufferevent_socket_new(loop->base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(socket_.get(), &OnReadable, nullptr, &OnEvent, this);
    bufferevent_socket_connect(socket_.get(), nullptr, 0);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  }
  ~Client() {
    if (socket_) bufferevent_setcb(socket_.get(), nullptr, nullptr, nullptr, nullptr);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& bytes) {
    if (!closed) bufferevent_write(socket_.get(), bytes.data(), bytes.size());
  }
  void Reset() {
    if (!socket_) return;
    linger hard{1, 0};
    setsockopt(bufferevent_getfd(socket_.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    bufferevent_setcb(socket_.get(), nullptr, nullptr, nullptr, nullptr);
    socket_.reset();
    closed = true;
  }
  std::function<void()> on_change;
  std::vector<http::Message> answers;
  bool closed = false;
  bool no_answer = false;  // bytes came that are none in the protocol

 private:
  static void OnReadable(bufferevent* b, void* arg) {
    auto* c = static_cast<Client*>(arg);
    evbuffer* in = bufferevent_get_input(b);
    while (!c->no_answer && evbuffer_get_length(in) > 0) {
      auto progress = c->reader_.Read(in, http::Limits());
      if (progress == http::MessageReader::Progress::kMore) break;
      if (progress == http::MessageReader::Progress::kBad) {
        c->no_answer = true;
        break;
      }
      c->answers.push_back(c->reader_.Take());
      c->reader_.Reset();
    }
    if (c->on_change) c->on_change();
  }
  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* c = static_cast<Client*>(arg);
    if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) return;
    c->closed = true;
    if (c->on_change) c->on_change();
  }

  transport::BuffereventPtr socket_;
  http::MessageReader reader_{HTTP_RESPONSE};
};

// A request as a client sends it: GET what may be repeated, POST what may run once.
inline std::string RequestText(bool idempotent, const std::string& attempt, int remaining_ms,
                               size_t body_bytes = 4) {
  std::string head = std::string(idempotent ? "GET /get/" : "POST /post/") +
                     "x HTTP/1.1\r\nHost: h.example\r\n" + kAttempt + ": " + attempt +
                     "\r\nElderkeel-Remaining-Ms: " + std::to_string(remaining_ms) + "\r\n";
  if (idempotent && body_bytes <= 4) return head + "\r\n";
  return head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'b');
}

// Routes /get/ (idempotent) and /post/ (effectful) of h.example to service `s`.
inline std::string ConfigurationText(int64_t timeout_ms, int64_t target_latency_ms,
                                     int64_t idle_ms) {
  auto route = [&](const std::string& label, const std::string& variant) {
    return R"({"label":")" + label + R"(","host":"h.example","path-prefix":"/)" + label +
           R"(/","variant":")" + variant + R"(","timeout-ms":)" + std::to_string(timeout_ms) +
           R"(,"target-latency-ms":)" + std::to_string(target_latency_ms) +
           R"(,"max-attempts":2,"target":"s"})";
  };
  return R"({"revision":1,"route-list":[)" + route("get", "idempotent") + "," +
         route("post", "effectful") +
         R"(],"service-list":[{"label":"s","max-conns":400}],"limits":{"max-header-bytes":8000,"max-body-bytes":4000000,"header-timeout-ms":1000,"idle-timeout-ms":)" +
         std::to_string(idle_ms) + "}}";
}

}  // namespace elderkeel::stand_in
