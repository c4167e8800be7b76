#include "http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <utility>
#include <vector>

#include "base/log.h"

namespace elderkeel::http {
namespace {
constexpr base::Millis kLingerMs = 1000;
constexpr base::Millis kAwakeEveryMs = 100;
constexpr base::Millis kAsleepMs = 400;
// Bytes of further requests that may wait on a connection while one is being answered.
constexpr size_t kPipelinedBytes = 64 << 10;
// When a client may come again that there was no memory for, in seconds.
constexpr const char* kRetryAfter = "0.1";
}  // namespace

// A request that was taken, and its answer as far as there is one.
struct HttpServer::Slot {
  Ticket ticket = 0;
  bool keep_alive = true;
  bool to_head = false;
  bool close = false;               // the answer ends the connection
  std::unique_ptr<Message> answer;  // held whole until its turn
  enum class Stream { kNone, kOpen, kEnded } stream = Stream::kNone;
  bool chunks = false;
  transport::EvbufferPtr buffered;  // of a streamed answer, until its turn
  size_t body_bytes = 0;            // of the request, in the server's sum until the answer's turn
};

struct HttpServer::Connection {
  explicit Connection(HttpServer* s) : server(s), reader(HTTP_REQUEST) {}

  HttpServer* server;
  uint64_t id = 0;
  transport::BuffereventPtr socket;
  MessageReader reader;
  base::Timer timer;
  enum class Clock { kNone, kIdle, kHeader, kBody } clock = Clock::kNone;
  std::deque<Slot> slots;            // in the order of the requests; the first may be written
  std::unique_ptr<Message> waiting;  // read, but not to be begun before all slots are answered
  size_t waiting_bytes = 0;          // of its body, in the server's sum
  bool no_more = false;              // nothing behind what was read so far will be taken
  bool closing = false;              // to be closed once what was written is sent
  bool lingering = false;
  bool advancing = false;
  bool continued = false;
  size_t counted = 0;  // bytes of the body being read, in the server's sum
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

base::Status HttpServer::Listen(const base::Address& address) {
  return listener_.Open(loop_, address, [this](int fd) { Accepted(fd); });
}

void HttpServer::Accepted(int fd) {
  if (connections_.size() >= options_.max_connections) {
    close(fd);
    return;
  }
  transport::TuneSocket(fd, 10000);
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
  StartClock(c);
}

// The clock that a connection is under: none while requests of it are under way, else as far as the
// next request has come.
void HttpServer::StartClock(Connection* c) {
  using Clock = Connection::Clock;
  Limits limits = options_.limits();
  Clock clock = c->waiting              ? Clock::kNone
                : c->reader.head_done() ? Clock::kBody
                : c->reader.started()   ? Clock::kHeader
                : c->slots.empty()      ? Clock::kIdle
                                        : Clock::kNone;
  // A head has its time from its first byte; a body, from its last; an idle client, from its last
  // answer.
  if (clock == c->clock && clock != Clock::kBody && clock != Clock::kIdle) return;
  c->clock = clock;
  switch (clock) {
    case Clock::kNone:
      c->timer.Cancel();
      break;
    case Clock::kIdle:
      c->timer.Start(loop_, limits.idle_ms, [this, c] { Drop(c); });
      break;
    case Clock::kHeader:
      c->timer.Start(loop_, limits.header_ms, [this, c] { Refuse(c, 408, "head too slow"); });
      break;
    case Clock::kBody:
      c->timer.Start(loop_, limits.idle_ms, [this, c] { Refuse(c, 408, "body too slow"); });
      break;
  }
}

void HttpServer::OnReadable(bufferevent*, void* arg) {
  auto* c = static_cast<Connection*>(arg);
  if (c->lingering) {
    evbuffer* in = bufferevent_get_input(c->socket.get());
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  c->server->Advance(c);
}

// Takes as many requests as may be under way at once.
void HttpServer::Advance(Connection* c) {
  if (c->advancing) return;  // an answer given at once; the outer loop goes on
  c->advancing = true;
  uint64_t id = c->id;
  for (;;) {
    if (connections_.count(id) == 0) return;  // dropped
    if (c->closing || c->no_more) break;
    if (c->waiting) {
      if (!c->slots.empty()) break;
      std::unique_ptr<Message> request = std::move(c->waiting);
      Begin(c, std::move(*request), std::exchange(c->waiting_bytes, 0));
      continue;
    }
    if (c->slots.size() >= options_.pipeline) break;
    if (!ReadOne(c)) break;
  }
  if (connections_.count(id) == 0) return;
  c->advancing = false;
  // Reading goes on so that a client that leaves is noticed, but not without bound.
  bool blocked = c->waiting || c->no_more || c->slots.size() >= options_.pipeline;
  bufferevent_setwatermark(c->socket.get(), EV_READ, 0, blocked ? kPipelinedBytes : 0);
  if (!c->closing) StartClock(c);
}

// False if nothing more can be read now.
bool HttpServer::ReadOne(Connection* c) {
  Limits limits = options_.limits();
  evbuffer* in = bufferevent_get_input(c->socket.get());
  MessageReader::Progress progress = c->reader.Read(in, limits);
  size_t size = c->reader.body_size();
  buffered_ += size - c->counted;
  c->counted = size;
  if (progress == MessageReader::Progress::kBad) {
    Refuse(c, c->reader.bad_status(), c->reader.bad_reason());
    return false;
  }
  if (c->counted > 0 && buffered_ > options_.max_buffered_bytes) {
    Refuse(c, 503, "no memory for another body");
    return false;
  }
  if (progress == MessageReader::Progress::kMore) {
    // In between the answers of others an interim answer would be taken for one of them.
    if (c->reader.wants_continue() && !c->continued && c->slots.empty()) {
      c->continued = true;
      bufferevent_write(c->socket.get(), "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    return false;
  }
  if (LeftWhileAsleep(c)) {
    Drop(c);
    return false;
  }
  Message request = c->reader.Take();
  c->reader.Reset();
  c->continued = false;
  size_t body_bytes = std::exchange(c->counted, 0);
  if (!request.keep_alive) c->no_more = true;
  if (!c->slots.empty() &&
      !(options_.may_run_out_of_order && options_.may_run_out_of_order(request))) {
    c->waiting = std::make_unique<Message>(std::move(request));
    c->waiting_bytes = body_bytes;
    c->no_more = false;  // looked at again when its turn comes
    return true;
  }
  Begin(c, std::move(request), body_bytes);
  return true;
}

void HttpServer::Begin(Connection* c, Message&& request, size_t body_bytes) {
  Slot slot;
  slot.body_bytes = body_bytes;
  slot.ticket = next_ticket_++;
  slot.keep_alive = request.keep_alive;
  slot.to_head = request.method == "HEAD";
  if (!request.keep_alive) c->no_more = true;
  Ticket ticket = slot.ticket;
  c->slots.push_back(std::move(slot));
  waiting_[ticket] = c;
  StartClock(c);
  handler_(ticket, std::move(request));
}

// What can't be a request gets an answer of ours behind those before it, and ends the connection.
void HttpServer::Refuse(Connection* c, int status, const char* reason) {
  if (refused_) refused_(status, reason);
  c->timer.Cancel();
  c->clock = Connection::Clock::kNone;
  c->no_more = true;
  Slot slot;
  slot.close = true;
  slot.answer = std::make_unique<Message>(OwnAnswer(status, reason));
  if (status == 503) slot.answer->headers.push_back({"Retry-After", kRetryAfter});
  c->slots.push_back(std::move(slot));
  Flush(c);
}

HttpServer::Slot* HttpServer::Find(Ticket ticket, Connection** connection) const {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return nullptr;
  for (Slot& slot : at->second->slots) {
    if (slot.ticket != ticket) continue;
    *connection = at->second;
    return &slot;
  }
  return nullptr;
}

evbuffer* HttpServer::OutputOf(Connection* c, Slot* slot) const {
  if (slot == &c->slots.front()) return bufferevent_get_output(c->socket.get());
  if (!slot->buffered) slot->buffered.reset(evbuffer_new());
  return slot->buffered.get();
}

// Writes all answers whose turn has come.
void HttpServer::Flush(Connection* c) {
  evbuffer* out = bufferevent_get_output(c->socket.get());
  bool wrote = false;
  while (!c->slots.empty() && !c->closing) {
    Slot& slot = c->slots.front();
    if (slot.buffered) {
      evbuffer_add_buffer(out, slot.buffered.get());
      slot.buffered.reset();
    }
    if (slot.answer) {
      slot.close |= !slot.keep_alive || (leaving_ && IsLast(*c, slot));
      WriteAnswer(out, *slot.answer, slot.close, slot.to_head,
                  options_.limits().idle_ms / 1000 - 1);
    } else if (slot.stream != Slot::Stream::kEnded) {
      break;
    }
    wrote = true;
    bool close = slot.close;
    waiting_.erase(slot.ticket);
    buffered_ -= slot.body_bytes;
    c->slots.pop_front();
    if (close) Close(c);
  }
  if (!wrote) return;
  if (c->closing) {
    if (evbuffer_get_length(out) > 0) return;
    // With nothing left to write no event would tell that it is written.
    uint64_t id = c->id;
    loop_->Defer([this, id] {
      auto still = connections_.find(id);
      if (still != connections_.end()) OnWritten(nullptr, still->second.get());
    });
    return;
  }
  Advance(c);
}

// Nothing behind the answer just written will be answered here; the client sends it again.
void HttpServer::Close(Connection* c) {
  c->closing = true;
  c->waiting.reset();
  buffered_ -= std::exchange(c->waiting_bytes, 0);
  std::deque<Slot> behind = std::move(c->slots);
  c->slots.clear();
  for (Slot& slot : behind) {
    buffered_ -= slot.body_bytes;
    if (slot.ticket && waiting_.erase(slot.ticket) && gone_) gone_(slot.ticket);
  }
}

bool HttpServer::Answer(Ticket ticket, const Message& answer, bool close) {
  Connection* c = nullptr;
  Slot* slot = Find(ticket, &c);
  if (!slot || slot->answer) return false;
  slot->answer = std::make_unique<Message>(answer);
  slot->close = close;
  if (slot == &c->slots.front()) Flush(c);
  return true;
}

void HttpServer::AnswerAll(const Message& answer) {
  std::vector<Ticket> unanswered;
  for (const auto& [ticket, connection] : waiting_) {
    Connection* c = nullptr;
    const Slot* slot = Find(ticket, &c);
    if (!slot->answer && slot->stream == Slot::Stream::kNone) unanswered.push_back(ticket);
  }
  for (Ticket ticket : unanswered) Answer(ticket, answer);
}

bool HttpServer::BeginAnswer(Ticket ticket, const Message& head, int64_t length) {
  Connection* c = nullptr;
  Slot* slot = Find(ticket, &c);
  if (!slot) return false;
  slot->close = !slot->keep_alive || (leaving_ && IsLast(*c, *slot));
  if (slot->close) c->no_more = true;  // the client is told so
  slot->chunks = length < 0;
  slot->stream = Slot::Stream::kOpen;
  WriteHead(OutputOf(c, slot), head, slot->close, length);
  return true;
}

bool HttpServer::WriteBody(Ticket ticket, std::string_view bytes) {
  Connection* c = nullptr;
  Slot* slot = Find(ticket, &c);
  if (!slot) return false;
  if (bytes.empty()) return true;
  evbuffer* out = OutputOf(c, slot);
  if (slot->chunks) evbuffer_add_printf(out, "%zx\r\n", bytes.size());
  evbuffer_add(out, bytes.data(), bytes.size());
  if (slot->chunks) evbuffer_add(out, "\r\n", 2);
  return true;
}

void HttpServer::EndAnswer(Ticket ticket) {
  Connection* c = nullptr;
  Slot* slot = Find(ticket, &c);
  if (!slot) return;
  if (slot->chunks) evbuffer_add(OutputOf(c, slot), "0\r\n\r\n", 5);
  slot->stream = Slot::Stream::kEnded;
  if (slot == &c->slots.front()) Flush(c);
}

size_t HttpServer::Unsent(Ticket ticket) const {
  Connection* c = nullptr;
  Slot* slot = Find(ticket, &c);
  return slot ? evbuffer_get_length(OutputOf(c, slot)) : 0;
}

void HttpServer::Reset(Ticket ticket) {
  auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return;
  Connection* c = at->second;
  waiting_.erase(at);
  linger hard{1, 0};
  setsockopt(bufferevent_getfd(c->socket.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  Drop(c);
}

void HttpServer::OnWritten(bufferevent*, void* arg) {
  auto* c = static_cast<Connection*>(arg);
  HttpServer* server = c->server;
  if (c->closing && !c->lingering) {
    server->Linger(c);
  } else if (!c->slots.empty() && c->slots.front().stream == Slot::Stream::kOpen &&
             server->drained_) {
    server->drained_(c->slots.front().ticket);
  }
}

// Closing with unread bytes would reset the connection and could take the answer with it: say that
// no more comes, read what is still on the way, then close.
void HttpServer::Linger(Connection* c) {
  c->lingering = true;
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
    bool sending = evbuffer_get_length(bufferevent_get_output(c->socket.get())) > 0;
    if (c->slots.empty() && sending && !c->lingering && !(what & BEV_EVENT_ERROR)) {
      c->closing = true;
      return;
    }
    c->server->Drop(c);
  }
}

void HttpServer::Drop(Connection* c) {
  auto at = connections_.find(c->id);
  if (at == connections_.end()) return;
  buffered_ -= c->counted;
  c->timer.Cancel();
  bufferevent_setcb(c->socket.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(c->socket.get(), EV_READ | EV_WRITE);
  std::shared_ptr<Connection> last(std::move(at->second));
  connections_.erase(at);
  loop_->Defer([last] {});
  Close(c);
}

void HttpServer::CloseIdle() {
  std::vector<Connection*> idle;
  for (auto& [id, c] : connections_) {
    if (!Busy(*c) && evbuffer_get_length(bufferevent_get_input(c->socket.get())) == 0) {
      idle.push_back(c.get());
    }
  }
  for (Connection* c : idle) Drop(c);
}

// Whether nothing has been read behind the request of this slot, not even in part.
bool HttpServer::IsLast(const Connection& c, const Slot& slot) {
  return &slot == &c.slots.back() && !c.waiting && !c.reader.started() &&
         evbuffer_get_length(bufferevent_get_input(c.socket.get())) == 0;
}

// A connection that lingers is busy, too: if the process ended now, bytes that the client sent
// meanwhile could reset the connection and take the answer with it.
bool HttpServer::Busy(const Connection& c) {
  return !c.slots.empty() || c.waiting || c.lingering || (c.reader.started() && !c.closing) ||
         evbuffer_get_length(bufferevent_get_output(c.socket.get())) > 0;
}

size_t HttpServer::busy() const {
  return static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(),
                                           [](const auto& at) { return Busy(*at.second); }));
}

HttpServer::Occupancy HttpServer::GetOccupancy() const {
  Occupancy occupancy;
  occupancy.connections = connections_.size();
  for (const auto& [id, c] : connections_) {
    size_t unsent_bytes = evbuffer_get_length(bufferevent_get_output(c->socket.get()));
    occupancy.waiting += !c->slots.empty();
    occupancy.reading += c->reader.started();
    occupancy.unsent += unsent_bytes > 0;
    occupancy.unsent_bytes += unsent_bytes;
    occupancy.lingering += c->lingering;
  }
  return occupancy;
}

}  // namespace elderkeel::http
