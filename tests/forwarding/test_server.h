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

// Stand-ins for the servers and clients around a proxy, on loopback: a server that misbehaves in
// chosen ways, a client, and the texts of requests and configurations.
namespace elderkeel::test_server {

constexpr const char* kAttempt = "Elderkeel-Attempt-Id";

// How a server behaves for one request, or on the connection that carries it. "Own answer" is the
// correct answer to the request; ids are attempt ids. The previous request is the one before on the
// same connection; if there is none, the id "other" takes its place.
enum class Behavior {
  kAnswer,        // sends its own answer
  kInterim,       // sends interim answers (1xx) before its own
  kTwice,         // sends its own answer twice, at once
  kTwiceLater,    // sends its own answer again 5 ms later, without a request
  kPieces,        // half of the previous answer after its own; the other half with the next request
  kOtherThenOwn,  // the previous request's answer, then its own
  kOtherId,       // only the previous request's answer, with that request's id
  kNoId,          // its own answer without an id
  kTwoIds,        // its own answer with a second id
  kNotExecuted,   // rejects the request as not executed
  kOtherNotExecuted,     // the same, with the previous request's id
  kNoIdNotExecuted,      // the same, without an id
  kCutStatusLineFirst,   // an incomplete status line, then its own answer
  kCutHeaderFirst,       // an answer that is cut off in a header's value, then its own answer
  kCutHead,              // cuts off its own answer within the head, then half-closes
  kCutBody,              // the same within the body
  kExtra,                // its own answer, then bytes that are no answer
  kReset,                // resets the connection after the complete request
  kHalfClose,            // half-closes after the complete request
  kNoAnswer,             // never answers the complete request
  kResetMiddle,          // resets after a part of the request
  kHalfCloseMiddle,      // half-closes after a part of the request
  kNoAnswerInTheMiddle,  // stops reading after a part of the request
  kResetIdle,            // answers, then resets the idle connection 5 ms later
  kOtherIdle,       // answers, then sends another request's answer 5 ms later, without a request
  kResetFirst,      // resets a new connection before it reads anything
  kHalfCloseFirst,  // half-closes a new connection before it reads anything
  kNoAnswerAtAll,   // reads nothing from a new connection
  kOtherFirst,      // sends another request's answer on a new connection, before any request
  kNoIdFirst,       // the same, without an id
  kLate,            // sends its own answer after `late_ms`
};

// A server of the protocol on loopback. Tests use it on the event loop's thread; its behaviour is
// set by the functions below. It records the requests that arrive and whether each ran. A request
// that it rejects (status 421, another server expected, or Elderkeel-Not-Executed) does not run.
class Server {
 public:
  // The behaviour for one request, and the status of its own answer.
  struct Response {
    Behavior behavior = Behavior::kAnswer;
    int status = 200;
    base::Millis late_ms = 0;  // for kLate
  };
  // A request that has arrived completely.
  struct Arrival {
    std::string attempt;
    int connection;  // counted from 1
    bool ran;
    int status;                // of its own answer, if one is sent
    bool excess_bytes_before;  // an earlier answer on this connection was sent with excess bytes,
                               // in one write
  };

  // Listens on the first free port of the 2000 from `first_port` on. `loop` must outlive it.
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
  // Simulates that another server, possibly of another service, has started at this address.
  void SetId(std::string id) { id_ = std::move(id); }

  // Called for each request; returns the behaviour for it.
  std::function<Response(const http::Message&)> choose = [](const http::Message&) {
    return Response();
  };
  // Called for each new connection, and when an incomplete request has been read; only the
  // behaviours for that moment have an effect.
  std::function<Behavior()> on_connection = [] { return Behavior::kAnswer; };
  std::function<Behavior()> on_part = [] { return Behavior::kAnswer; };
  // Called for each request that has arrived completely, except health probes. If it is not set,
  // they are appended to `arrivals`.
  std::function<void(const Arrival&)> on_arrival;
  std::vector<Arrival> arrivals;
  int connections = 0;

  // Resets all open connections.
  void ResetAll() {
    for (size_t n = open_.size(); n-- > 0;) Reset(open_[n].get());
  }

  // The body contains the attempt id, so that a test can detect another request's answer.
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
    bool stopped = false;              // ignores further requests and sends nothing more
    bool part_handled = false;         // on_part was called for the present request
    bool excess_bytes_before = false;  // as in Arrival, for later requests
    std::string before_next_answer;    // bytes sent when the next request arrives
    std::string previous_attempt;      // attempt id of the previous request
    base::Timer timer;
  };

  void Write(Connection* c, const std::string& bytes) {
    if (!c->stopped) bufferevent_write(c->socket.get(), bytes.data(), bytes.size());
  }
  void StopAnswering(Connection* c) {
    c->stopped = true;
    bufferevent_disable(c->socket.get(), EV_READ);
  }
  void Reset(Connection* c) {
    c->stopped = true;
    linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(c->socket.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    Remove(c);
  }
  // Ends the sending direction, after the bytes that are still buffered.
  void HalfClose(Connection* c) {
    c->stopped = true;
    if (evbuffer_get_length(bufferevent_get_output(c->socket.get())) == 0) {
      shutdown(bufferevent_getfd(c->socket.get()), SHUT_WR);
      return;
    }
    bufferevent_setcb(
        c->socket.get(), nullptr,
        [](bufferevent* b, void*) { shutdown(bufferevent_getfd(b), SHUT_WR); }, &OnEvent, c);
  }
  // Closes and forgets the connection. It is freed later, since callers may still refer to it.
  void Remove(Connection* c) {
    c->timer.Cancel();
    for (size_t i = 0; i < open_.size(); ++i) {
      if (open_[i].get() != c) continue;
      std::shared_ptr<Connection> removed(std::move(open_[i]));
      open_.erase(open_.begin() + static_cast<long>(i));
      bufferevent_setcb(removed->socket.get(), nullptr, nullptr, nullptr, nullptr);
      removed->socket.reset();
      loop_->Defer([removed] {});
      return;
    }
  }

  void Accept(int fd) {
    auto connection = std::make_unique<Connection>();
    Connection* c = connection.get();
    c->self = this;
    c->number = ++connections;
    transport::ConfigureSocket(fd, 10000);  // TCP_NODELAY; TCP user timeout of 10 s
    c->socket.reset(bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(c->socket.get(), &OnReadable, nullptr, &OnEvent, c);
    open_.push_back(std::move(connection));
    switch (on_connection()) {
      case Behavior::kResetFirst:
        return Reset(c);
      case Behavior::kNoAnswerAtAll:
        return StopAnswering(c);
      case Behavior::kHalfCloseFirst:
        bufferevent_enable(c->socket.get(), EV_READ | EV_WRITE);
        return HalfClose(c);
      case Behavior::kOtherFirst:
        Write(c, Answer(200, {"other"}, BodyOf("other")));
        break;
      case Behavior::kNoIdFirst:
        Write(c, Answer(200, {}, BodyOf("other")));
        break;
      default:
        break;
    }
    bufferevent_enable(c->socket.get(), EV_READ | EV_WRITE);
  }

  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) c->self->Remove(c);
  }
  static void OnReadable(bufferevent* b, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    evbuffer* in = bufferevent_get_input(b);
    if (c->stopped) {
      evbuffer_drain(in, evbuffer_get_length(in));
      return;
    }
    http::Limits limits;
    auto progress = c->reader.Read(in, limits);
    if (progress == http::MessageReader::Progress::kNeedMore) {
      if (c->part_handled) return;
      c->part_handled = true;
      switch (c->self->on_part()) {
        case Behavior::kResetMiddle:
          return c->self->Reset(c);
        case Behavior::kHalfCloseMiddle:
          return c->self->HalfClose(c);
        case Behavior::kNoAnswerInTheMiddle:
          return c->self->StopAnswering(c);
        default:
          return;
      }
    }
    if (progress == http::MessageReader::Progress::kInvalid) return c->self->Reset(c);
    http::Message request = c->reader.Take();
    c->reader.Reset();
    c->part_handled = false;
    c->self->Serve(c, request);
  }

  void Serve(Connection* c, const http::Message& request) {
    const std::string* attempt_header = request.Find(kAttempt);
    if (!attempt_header) {  // a health probe
      return Write(c, "HTTP/1.1 200 OK\r\nElderkeel-Server-Id: " + id_ +
                          "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    const std::string& attempt = *attempt_header;
    const std::string* expected = request.Find("Elderkeel-Expected-Server");
    Response play = choose(request);
    Behavior behavior = play.behavior;
    bool misplaced = expected && *expected != id_;
    bool rejected = misplaced || play.status == 421 || behavior == Behavior::kNotExecuted;
    int refusal = play.status / 100 == 2 ? 503 : play.status;
    int answered = misplaced ? 421 : behavior == Behavior::kNotExecuted ? refusal : play.status;
    Arrival arrival{attempt, c->number, !rejected, answered, c->excess_bytes_before};
    if (on_arrival) {
      on_arrival(arrival);
    } else {
      arrivals.push_back(arrival);
    }
    if (!c->before_next_answer.empty()) Write(c, c->before_next_answer);
    c->before_next_answer.clear();

    std::string body = request.method == "HEAD" ? "" : BodyOf(attempt);
    std::string own = Answer(play.status, {attempt}, body);
    std::string previous = c->previous_attempt.empty() ? "other" : c->previous_attempt;
    std::string other = Answer(play.status, {previous}, BodyOf(previous));
    const std::string refused = "Elderkeel-Not-Executed: 1\r\n";
    c->previous_attempt = attempt;
    c->excess_bytes_before |=
        !misplaced && (behavior == Behavior::kTwice || behavior == Behavior::kPieces ||
                       behavior == Behavior::kOtherThenOwn || behavior == Behavior::kExtra);
    if (misplaced) return Write(c, Answer(421, {attempt}, ""));
    switch (behavior) {
      case Behavior::kInterim:
        return Write(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n" +
                            std::string(kAttempt) + ": other\r\n\r\n" + own);
      case Behavior::kTwice:
        return Write(c, own + own);
      case Behavior::kTwiceLater:
        Write(c, own);
        return c->timer.Start(loop_, 5, [this, c, own] { Write(c, own); });
      case Behavior::kPieces:
        c->before_next_answer = other.substr(other.size() / 2);
        return Write(c, own + other.substr(0, other.size() / 2));
      case Behavior::kOtherThenOwn:
        return Write(c, other + own);
      case Behavior::kOtherId:
        return Write(c, other);
      case Behavior::kNoId:
        return Write(c, Answer(play.status, {}, body));
      case Behavior::kTwoIds:
        return Write(c, Answer(play.status, {attempt, "other"}, body));
      case Behavior::kNotExecuted:
        return Write(c, Answer(refusal, {attempt}, "", refused));
      case Behavior::kOtherNotExecuted:
        return Write(c, Answer(refusal, {previous}, "", refused));
      case Behavior::kNoIdNotExecuted:
        return Write(c, Answer(refusal, {}, "", refused));
      case Behavior::kCutStatusLineFirst:
        return Write(c, "HTTP/1.1 421 " + own);
      case Behavior::kCutHeaderFirst:
        return Write(c, "HTTP/1.1 421 X\r\nX-Cut: " + own);
      case Behavior::kCutHead:
        Write(c, own.substr(0, 30));
        return HalfClose(c);
      case Behavior::kCutBody:
        Write(c, own.substr(0, own.size() - 3));
        return HalfClose(c);
      case Behavior::kExtra:
        return Write(c, own + "%%%% what is this\r\n\r\n");
      case Behavior::kReset:
        return Reset(c);
      case Behavior::kHalfClose:
        return HalfClose(c);
      case Behavior::kNoAnswer:
        return StopAnswering(c);
      case Behavior::kResetIdle:
        Write(c, own);
        return c->timer.Start(loop_, 5, [this, c] { Reset(c); });
      case Behavior::kOtherIdle:
        Write(c, own);
        return c->timer.Start(loop_, 5, [this, c, other] { Write(c, other); });
      case Behavior::kLate:
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

// A client's connection to a proxy. Requests may be sent before earlier ones are answered. Used on
// the event loop's thread.
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
    linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(socket_.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    bufferevent_setcb(socket_.get(), nullptr, nullptr, nullptr, nullptr);
    socket_.reset();
    closed = true;
  }
  std::function<void()> on_change;  // called when bytes have arrived or the connection closed
  std::vector<http::Message> answers;
  bool closed = false;
  bool invalid_answer = false;  // bytes arrived that are no valid answer

 private:
  static void OnReadable(bufferevent* b, void* arg) {
    auto* c = static_cast<Client*>(arg);
    evbuffer* in = bufferevent_get_input(b);
    while (!c->invalid_answer && evbuffer_get_length(in) > 0) {
      auto progress = c->reader_.Read(in, http::Limits());
      if (progress == http::MessageReader::Progress::kNeedMore) break;
      if (progress == http::MessageReader::Progress::kInvalid) {
        c->invalid_answer = true;
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

// Returns a client's request: a GET if it is idempotent, otherwise a POST, which may run only once.
// A GET has a body only if `body_bytes` is above 4.
inline std::string RequestText(bool idempotent, const std::string& attempt, int remaining_ms,
                               size_t body_bytes = 4) {
  std::string head = std::string(idempotent ? "GET /get/" : "POST /post/") +
                     "x HTTP/1.1\r\nHost: h.example\r\n" + kAttempt + ": " + attempt +
                     "\r\nElderkeel-Remaining-Ms: " + std::to_string(remaining_ms) + "\r\n";
  if (idempotent && body_bytes <= 4) return head + "\r\n";
  return head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'b');
}

// Returns a configuration that routes /get/ (idempotent) and /post/ (effectful) of h.example to
// service `s`.
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

}  // namespace elderkeel::test_server
