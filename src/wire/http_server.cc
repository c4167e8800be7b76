#include "wire/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "base/log.h"

namespace elderkeel::wire {
namespace {
constexpr base::Millis kLingerMs = 1000;
constexpr base::Millis kAwakeEveryMs = 100;
constexpr base::Millis kAsleepMs = 400;
// Bytes of further requests that may wait on a connection while one is being answered.
constexpr size_t kPipelinedBytes = 64 << 10;
}  // namespace

struct HttpServer::Connection {
  explicit Connection(HttpServer* s) : server(s), reader(HTTP_REQUEST) {}

  HttpServer* server;
  uint64_t id = 0;
  BuffereventPtr socket;
  MessageReader reader;
  base::Timer timer;
  enum class State { kReading, kWaiting, kStreaming, kWriting, kLingering } state = State::kReading;
  enum class Clock { kNone, kIdle, kHeader, kBody } clock = Clock::kNone;
  Ticket ticket = 0;
  bool keep_alive = true;
  bool to_head = false;
  bool close_after = false;
  bool continued = false;
  bool chunks = false;
  size_t counted = 0;  // bytes of this connection's body in the server's sum
};

HttpServer::HttpServer(base::Loop* loop, Options options, Handler handler)
    : loop_(loop), options_(std::move(options)), handler_(std::move(handler)) {
  if (!options_.notice_sleep) return;
  awake_at_ = base::SteadyMillis();
  awake_timer_.Repeat(loop_, kAwakeEveryMs, [this] {
    base::Millis now = base::SteadyMillis();
    if (now - awake_at_ > kAsleepMs) slept_until_ = now + kAwakeEveryMs;
    awake_at_ = now;
  });
}

bool HttpServer::LeftWhileAsleep(const Connection* c) const {
  if (!options_.notice_sleep) return false;
  base::Millis now = base::SteadyMillis();
  if (now - awake_at_ <= kAsleepMs && now >= slept_until_) return false;
  char byte;
  ssize_t n = recv(bufferevent_getfd(c->socket.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

HttpServer::~HttpServer() = default;

base::Result<bool> HttpServer::Listen(const base::Address& address) {
  return listener_.Open(loop_, address, [this](int fd) { Accepted(fd); });
}

void HttpServer::Accepted(int fd) {
  if (connections_.size() >= options_.max_connections) {
    close(fd);
    return;
  }
  TuneSocket(fd, 10000);
  auto connection = std::make_unique<Connection>(this);
  Connection* c = connection.get();
  c->id = next_id_++;
  c->socket.reset(bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (!c->socket) {
    close(fd);
    return;
  }
  connections_.emplace(c->id, std::move(connection));
  bufferevent_setcb(c->socket.get(), &OnReadable, &OnWritten, &OnEvent, c);
  bufferevent_enable(c->socket.get(), EV_READ | EV_WRITE);
  WaitForRequest(c);
}

void HttpServer::WaitForRequest(Connection* c) {
  c->state = Connection::State::kReading;
  c->reader.Reset();
  c->continued = false;
  bufferevent_setwatermark(c->socket.get(), EV_READ, 0, 0);
  c->clock = Connection::Clock::kIdle;
  c->timer.Start(loop_, options_.limits().idle_ms, [this, c] { Drop(c); });
}

void HttpServer::OnReadable(bufferevent*, void* arg) {
  auto* c = static_cast<Connection*>(arg);
  if (c->state == Connection::State::kLingering) {
    evbuffer* in = bufferevent_get_input(c->socket.get());
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  if (c->state == Connection::State::kReading) c->server->Advance(c);
}

void HttpServer::Advance(Connection* c) {
  Limits limits = options_.limits();
  evbuffer* in = bufferevent_get_input(c->socket.get());
  MessageReader::Progress progress = c->reader.Read(in, limits);
  size_t size = c->reader.body_size();
  buffered_ += size - c->counted;
  c->counted = size;
  if (progress == MessageReader::Progress::kBad) {
    Refuse(c, c->reader.bad_status(), c->reader.bad_reason());
    return;
  }
  if (progress == MessageReader::Progress::kMore) {
    if (buffered_ > options_.max_buffered_bytes) {
      Refuse(c, 503, "no memory for another body");
      return;
    }
    if (!c->reader.started()) return;
    if (!c->reader.head_done()) {
      if (c->clock != Connection::Clock::kHeader) {
        c->clock = Connection::Clock::kHeader;
        c->timer.Start(loop_, limits.header_ms, [this, c] { Refuse(c, 408, "head too slow"); });
      }
      return;
    }
    if (c->reader.wants_continue() && !c->continued) {
      c->continued = true;
      bufferevent_write(c->socket.get(), "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    c->clock = Connection::Clock::kBody;
    c->timer.Start(loop_, limits.idle_ms, [this, c] { Refuse(c, 408, "body too slow"); });
    return;
  }
  if (LeftWhileAsleep(c)) {
    Drop(c);
    return;
  }
  c->timer.Cancel();
  c->clock = Connection::Clock::kNone;
  c->state = Connection::State::kWaiting;
  Message request = c->reader.Take();
  buffered_ -= c->counted;
  c->counted = 0;
  c->keep_alive = request.keep_alive;
  c->to_head = request.method == "HEAD";
  c->ticket = next_ticket_++;
  // Reading goes on so that a client that leaves is noticed, but not without bound.
  bufferevent_setwatermark(c->socket.get(), EV_READ, 0, kPipelinedBytes);
  waiting_[c->ticket] = c;
  handler_(c->ticket, std::move(request));
}

void HttpServer::Refuse(Connection* c, int status, const char* reason) {
  if (refused_) refused_(status, reason);
  c->timer.Cancel();
  c->close_after = true;
  c->state = Connection::State::kWriting;
  WriteAnswer(bufferevent_get_output(c->socket.get()), OwnAnswer(status, reason), true, false, 0);
}

bool HttpServer::Answer(Ticket ticket, const Message& answer, bool close) {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return false;
  Connection* c = at->second;
  waiting_.erase(at);
  c->ticket = 0;
  c->close_after = close || leaving_ || !c->keep_alive;
  c->state = Connection::State::kWriting;
  WriteAnswer(bufferevent_get_output(c->socket.get()), answer, c->close_after, c->to_head,
              options_.limits().idle_ms / 1000 - 1);
  return true;
}

bool HttpServer::BeginAnswer(Ticket ticket, const Message& head, int64_t length) {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return false;
  Connection* c = at->second;
  c->close_after = leaving_ || !c->keep_alive;
  c->chunks = length < 0;
  c->state = Connection::State::kStreaming;
  WriteHead(bufferevent_get_output(c->socket.get()), head, c->close_after, length);
  return true;
}

bool HttpServer::WriteBody(Ticket ticket, std::string_view bytes) {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return false;
  if (bytes.empty()) return true;
  evbuffer* out = bufferevent_get_output(at->second->socket.get());
  if (at->second->chunks) evbuffer_add_printf(out, "%zx\r\n", bytes.size());
  evbuffer_add(out, bytes.data(), bytes.size());
  if (at->second->chunks) evbuffer_add(out, "\r\n", 2);
  return true;
}

void HttpServer::EndAnswer(Ticket ticket) {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return;
  Connection* c = at->second;
  waiting_.erase(at);
  c->ticket = 0;
  c->state = Connection::State::kWriting;
  evbuffer* out = bufferevent_get_output(c->socket.get());
  if (c->chunks) evbuffer_add(out, "0\r\n\r\n", 5);
  // With nothing left to write no event would tell that it is written.
  if (evbuffer_get_length(out) == 0) {
    uint64_t id = c->id;
    loop_->Defer([this, id] {
      auto still = connections_.find(id);
      if (still != connections_.end()) OnWritten(nullptr, still->second.get());
    });
  }
}

size_t HttpServer::Unsent(Ticket ticket) const {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return 0;
  return evbuffer_get_length(bufferevent_get_output(at->second->socket.get()));
}

void HttpServer::Reset(Ticket ticket) {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return;
  Connection* c = at->second;
  waiting_.erase(at);
  c->ticket = 0;
  linger hard{1, 0};
  setsockopt(bufferevent_getfd(c->socket.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  Drop(c);
}

void HttpServer::OnWritten(bufferevent*, void* arg) {
  auto* c = static_cast<Connection*>(arg);
  HttpServer* server = c->server;
  if (c->state == Connection::State::kStreaming && server->drained_) server->drained_(c->ticket);
  if (c->state != Connection::State::kWriting) return;
  if (c->close_after) {
    server->Linger(c);
    return;
  }
  server->WaitForRequest(c);
  server->Advance(c);  // a pipelined request may already be here
}

// Closing with unread bytes would reset the connection and could take the answer with it: say that
// no more comes, read what is still on the way, then close.
void HttpServer::Linger(Connection* c) {
  c->state = Connection::State::kLingering;
  shutdown(bufferevent_getfd(c->socket.get()), SHUT_WR);
  evbuffer* in = bufferevent_get_input(c->socket.get());
  evbuffer_drain(in, evbuffer_get_length(in));
  bufferevent_setwatermark(c->socket.get(), EV_READ, 0, 0);
  c->timer.Start(loop_, kLingerMs, [this, c] { Drop(c); });
}

void HttpServer::OnEvent(bufferevent*, short what, void* arg) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    auto* c = static_cast<Connection*>(arg);
    // A client may end its own side and still read the rest of an answer that is on the way.
    if (c->state == Connection::State::kWriting && !(what & BEV_EVENT_ERROR)) {
      c->close_after = true;
      return;
    }
    c->server->Drop(c);
  }
}

void HttpServer::Drop(Connection* c) {
  auto at = connections_.find(c->id);
  if (at == connections_.end()) return;
  Ticket ticket = c->ticket;
  buffered_ -= c->counted;
  c->timer.Cancel();
  bufferevent_setcb(c->socket.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(c->socket.get(), EV_READ | EV_WRITE);
  std::shared_ptr<Connection> last(std::move(at->second));
  connections_.erase(at);
  loop_->Defer([last] {});
  if (ticket && waiting_.erase(ticket) && gone_) gone_(ticket);
}

void HttpServer::CloseIdle() {
  std::vector<Connection*> idle;
  for (auto& [id, c] : connections_) {
    if (c->state == Connection::State::kReading && !c->reader.started() &&
        evbuffer_get_length(bufferevent_get_input(c->socket.get())) == 0) {
      idle.push_back(c.get());
    }
  }
  for (Connection* c : idle) Drop(c);
}

size_t HttpServer::busy() const {
  size_t n = 0;
  for (const auto& [id, c] : connections_) {
    n += c->state == Connection::State::kWaiting || c->state == Connection::State::kStreaming ||
         c->state == Connection::State::kWriting ||
         (c->state == Connection::State::kReading && c->reader.started());
  }
  return n;
}

}  // namespace elderkeel::wire
