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
// How long a lingering connection waits for the client to close.
constexpr base::Millis kLingerMs = 1000;
constexpr base::Millis kSuspensionCheckMs = 100;
// A check that is later than this after the previous one means that the process was suspended.
constexpr base::Millis kSuspensionMs = 400;
// Bytes of further requests that are buffered on a connection while no more requests are accepted.
constexpr size_t kMaxPipelinedBytes = 64 << 10;
// Retry-After of a request that was rejected because of max_buffered_bytes.
constexpr const char* kRetryAfterSeconds = "0.1";
}  // namespace

// The response to one request that was accepted, as far as it exists.
struct HttpServer::PendingResponse {
  Ticket ticket = 0;
  bool keep_alive = true;
  bool head_request = false;
  bool close = false;                 // close the connection after this response
  std::unique_ptr<Message> response;  // complete, kept until the earlier ones are written
  enum class Stream { kNone, kOpen, kEnded } stream = Stream::kNone;
  bool chunks = false;
  transport::EvbufferPtr buffered;  // of a streamed response until the earlier ones are written
  size_t body_bytes = 0;  // of the request; counted in buffered_body_bytes_ until this is written
};

struct HttpServer::Connection {
  explicit Connection(HttpServer* s) : server(s), reader(HTTP_REQUEST) {}

  HttpServer* server;
  uint64_t id = 0;
  transport::BuffereventPtr socket;
  MessageReader reader;
  base::Timer timer;
  enum class Timeout { kNone, kIdle, kHeader, kBody } timeout = Timeout::kNone;
  std::deque<PendingResponse> pending;  // in the order of the requests; only the first is written
  std::unique_ptr<Message> deferred;    // a request that starts when `pending` is empty
  size_t deferred_bytes = 0;            // of its body; counted in buffered_body_bytes_
  bool no_more_requests = false;        // later requests on this connection are not accepted
  bool closing = false;                 // to be closed once the written bytes are sent
  bool lingering = false;               // shut down for writing, waits for the client to close
  bool processing = false;              // inside ProcessRequests()
  bool sent_continue = false;           // 100 Continue was sent for the request being read
  size_t counted_bytes = 0;             // of the body being read; counted in buffered_body_bytes_
};

HttpServer::HttpServer(base::Loop* loop, Options options, Handler handler)
    : loop_(loop), options_(std::move(options)), handler_(std::move(handler)) {
  if (!options_.detect_suspension) return;
  last_tick_at_ = base::SteadyMillis();
  suspension_timer_.Repeat(loop_, kSuspensionCheckMs, [this] {
    base::Millis now = base::SteadyMillis();
    if (now - last_tick_at_ > kSuspensionMs) suspected_until_ = now + kSuspensionCheckMs;
    last_tick_at_ = now;
  });
}

// Whether the client has closed the connection although its request may have arrived during a
// suspension of this process. Without this check a request would run whose client has given up.
bool HttpServer::ClientLeftDuringSuspension(const Connection* c) const {
  if (!options_.detect_suspension) return false;
  base::Millis now = base::SteadyMillis();
  if (now - last_tick_at_ <= kSuspensionMs && now >= suspected_until_) return false;
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
  transport::ConfigureSocket(fd, 10000);
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
  UpdateTimeout(c);
}

// Sets the timeout of a connection by the state of the next request: partly read body, partly read
// head, or idle. There is none while requests are in flight and nothing of the next one was read,
// or while a request is deferred.
void HttpServer::UpdateTimeout(Connection* c) {
  using Timeout = Connection::Timeout;
  Limits limits = options_.limits();
  Timeout timeout = c->deferred             ? Timeout::kNone
                    : c->reader.head_done() ? Timeout::kBody
                    : c->reader.started()   ? Timeout::kHeader
                    : c->pending.empty()    ? Timeout::kIdle
                                            : Timeout::kNone;
  // The timeout of a head starts at its first byte. Those of a body and of an idle connection
  // restart at each call: when bytes of the body arrive, or a response is written.
  if (timeout == c->timeout && timeout != Timeout::kBody && timeout != Timeout::kIdle) return;
  c->timeout = timeout;
  switch (timeout) {
    case Timeout::kNone:
      c->timer.Cancel();
      break;
    case Timeout::kIdle:
      c->timer.Start(loop_, limits.idle_timeout_ms, [this, c] { Drop(c); });
      break;
    case Timeout::kHeader:
      c->timer.Start(loop_, limits.header_timeout_ms,
                     [this, c] { Reject(c, 408, "request head not received in time"); });
      break;
    case Timeout::kBody:
      c->timer.Start(loop_, limits.idle_timeout_ms,
                     [this, c] { Reject(c, 408, "request body not received in time"); });
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
  c->server->ProcessRequests(c);
}

// Reads and starts requests until Options::pipeline are in flight or no complete one is left.
void HttpServer::ProcessRequests(Connection* c) {
  if (c->processing) return;  // the handler answered at once; the loop of the outer call continues
  c->processing = true;
  uint64_t id = c->id;
  for (;;) {
    if (connections_.count(id) == 0) return;  // dropped
    if (c->closing || c->no_more_requests) break;
    if (c->deferred) {
      if (!c->pending.empty()) break;
      std::unique_ptr<Message> request = std::move(c->deferred);
      StartRequest(c, std::move(*request), std::exchange(c->deferred_bytes, 0));
      continue;
    }
    if (c->pending.size() >= options_.pipeline) break;
    if (!ReadRequest(c)) break;
  }
  if (connections_.count(id) == 0) return;
  c->processing = false;
  // Reading continues while no request is accepted, since only a read detects that the client
  // closed the connection; the watermark bounds the memory that this takes.
  bool blocked = c->deferred || c->no_more_requests || c->pending.size() >= options_.pipeline;
  bufferevent_setwatermark(c->socket.get(), EV_READ, 0, blocked ? kMaxPipelinedBytes : 0);
  if (!c->closing) UpdateTimeout(c);
}

// Reads one request and starts or defers it. Returns false if none is complete, or if it was
// rejected or dropped.
bool HttpServer::ReadRequest(Connection* c) {
  Limits limits = options_.limits();
  evbuffer* in = bufferevent_get_input(c->socket.get());
  MessageReader::Progress progress = c->reader.Read(in, limits);
  size_t size = c->reader.body_size();
  buffered_body_bytes_ += size - c->counted_bytes;
  c->counted_bytes = size;
  if (progress == MessageReader::Progress::kInvalid) {
    Reject(c, c->reader.error_status(), c->reader.error_reason());
    return false;
  }
  if (c->counted_bytes > 0 && buffered_body_bytes_ > options_.max_buffered_bytes) {
    Reject(c, 503, "no memory for the request body");
    return false;
  }
  if (progress == MessageReader::Progress::kNeedMore) {
    // While earlier requests are unanswered, the client would take 100 Continue for the response to
    // one of those.
    if (c->reader.wants_continue() && !c->sent_continue && c->pending.empty()) {
      c->sent_continue = true;
      bufferevent_write(c->socket.get(), "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    return false;
  }
  if (ClientLeftDuringSuspension(c)) {
    Drop(c);
    return false;
  }
  Message request = c->reader.Take();
  c->reader.Reset();
  c->sent_continue = false;
  size_t body_bytes = std::exchange(c->counted_bytes, 0);
  if (!request.keep_alive) c->no_more_requests = true;
  if (!c->pending.empty() &&
      !(options_.may_run_out_of_order && options_.may_run_out_of_order(request))) {
    c->deferred = std::make_unique<Message>(std::move(request));
    c->deferred_bytes = body_bytes;
    c->no_more_requests = false;  // set again when this request starts
    return true;
  }
  StartRequest(c, std::move(request), body_bytes);
  return true;
}

void HttpServer::StartRequest(Connection* c, Message&& request, size_t body_bytes) {
  PendingResponse entry;
  entry.body_bytes = body_bytes;
  entry.ticket = next_ticket_++;
  entry.keep_alive = request.keep_alive;
  entry.head_request = request.method == "HEAD";
  if (!request.keep_alive) c->no_more_requests = true;
  Ticket ticket = entry.ticket;
  c->pending.push_back(std::move(entry));
  unanswered_[ticket] = c;
  UpdateTimeout(c);
  handler_(ticket, std::move(request));
}

// Responds to a request that is not passed to the handler, after the earlier requests of its
// connection, and then closes the connection.
void HttpServer::Reject(Connection* c, int status, const char* reason) {
  if (rejected_) rejected_(status, reason);
  c->timer.Cancel();
  c->timeout = Connection::Timeout::kNone;
  c->no_more_requests = true;
  PendingResponse entry;
  entry.close = true;
  entry.response = std::make_unique<Message>(OwnAnswer(status, reason));
  if (status == 503) entry.response->headers.push_back({"Retry-After", kRetryAfterSeconds});
  c->pending.push_back(std::move(entry));
  WriteReadyResponses(c);
}

HttpServer::PendingResponse* HttpServer::Find(Ticket ticket, Connection** connection) const {
  auto at = unanswered_.find(ticket);
  if (at == unanswered_.end()) return nullptr;
  for (PendingResponse& entry : at->second->pending) {
    if (entry.ticket != ticket) continue;
    *connection = at->second;
    return &entry;
  }
  return nullptr;
}

// Returns where bytes of a streamed response go: to the socket if it is the first of its
// connection, otherwise to a buffer of its own.
evbuffer* HttpServer::OutputBuffer(Connection* c, PendingResponse* entry) const {
  if (entry == &c->pending.front()) return bufferevent_get_output(c->socket.get());
  if (!entry->buffered) entry->buffered.reset(evbuffer_new());
  return entry->buffered.get();
}

// Writes all responses that are complete and not preceded by an incomplete one.
void HttpServer::WriteReadyResponses(Connection* c) {
  evbuffer* out = bufferevent_get_output(c->socket.get());
  bool wrote = false;
  while (!c->pending.empty() && !c->closing) {
    PendingResponse& entry = c->pending.front();
    if (entry.buffered) {
      evbuffer_add_buffer(out, entry.buffered.get());
      entry.buffered.reset();
    }
    if (entry.response) {
      entry.close |= !entry.keep_alive || (draining_ && IsLast(*c, entry));
      WriteResponse(out, *entry.response, entry.close, entry.head_request,
                    options_.limits().idle_timeout_ms / 1000 - 1);
    } else if (entry.stream != PendingResponse::Stream::kEnded) {
      break;
    }
    wrote = true;
    bool close = entry.close;
    unanswered_.erase(entry.ticket);
    buffered_body_bytes_ -= entry.body_bytes;
    c->pending.pop_front();
    if (close) Close(c);
  }
  if (!wrote) return;
  if (c->closing) {
    if (evbuffer_get_length(out) > 0) return;
    // The output is empty already, so libevent will not call OnWritten(), which starts the linger.
    uint64_t id = c->id;
    loop_->Defer([this, id] {
      auto found = connections_.find(id);
      if (found != connections_.end()) OnWritten(nullptr, found->second.get());
    });
    return;
  }
  ProcessRequests(c);
}

// Called after the last response of a connection was written, and by Drop(). Discards the requests
// that follow it and reports them as gone; Connection: close makes the client send them again.
void HttpServer::Close(Connection* c) {
  c->closing = true;
  c->deferred.reset();
  buffered_body_bytes_ -= std::exchange(c->deferred_bytes, 0);
  std::deque<PendingResponse> discarded = std::move(c->pending);
  c->pending.clear();
  for (PendingResponse& entry : discarded) {
    buffered_body_bytes_ -= entry.body_bytes;
    if (entry.ticket && unanswered_.erase(entry.ticket) && client_closed_) {
      client_closed_(entry.ticket);
    }
  }
}

bool HttpServer::Respond(Ticket ticket, const Message& response, bool close) {
  Connection* c = nullptr;
  PendingResponse* entry = Find(ticket, &c);
  if (!entry || entry->response) return false;
  entry->response = std::make_unique<Message>(response);
  entry->close = close;
  if (entry == &c->pending.front()) WriteReadyResponses(c);
  return true;
}

void HttpServer::RespondToAll(const Message& response) {
  std::vector<Ticket> unanswered;
  for (const auto& [ticket, connection] : unanswered_) {
    Connection* c = nullptr;
    const PendingResponse* entry = Find(ticket, &c);
    if (!entry->response && entry->stream == PendingResponse::Stream::kNone)
      unanswered.push_back(ticket);
  }
  for (Ticket ticket : unanswered) Respond(ticket, response);
}

bool HttpServer::BeginResponse(Ticket ticket, const Message& head, int64_t length) {
  Connection* c = nullptr;
  PendingResponse* entry = Find(ticket, &c);
  if (!entry) return false;
  entry->close = !entry->keep_alive || (draining_ && IsLast(*c, *entry));
  if (entry->close) c->no_more_requests = true;  // the head carries Connection: close
  entry->chunks = length < 0;
  entry->stream = PendingResponse::Stream::kOpen;
  WriteResponseHead(OutputBuffer(c, entry), head, entry->close, length);
  return true;
}

bool HttpServer::WriteBody(Ticket ticket, std::string_view bytes) {
  Connection* c = nullptr;
  PendingResponse* entry = Find(ticket, &c);
  if (!entry) return false;
  if (bytes.empty()) return true;
  evbuffer* out = OutputBuffer(c, entry);
  if (entry->chunks) evbuffer_add_printf(out, "%zx\r\n", bytes.size());
  evbuffer_add(out, bytes.data(), bytes.size());
  if (entry->chunks) evbuffer_add(out, "\r\n", 2);
  return true;
}

void HttpServer::EndResponse(Ticket ticket) {
  Connection* c = nullptr;
  PendingResponse* entry = Find(ticket, &c);
  if (!entry) return;
  if (entry->chunks) evbuffer_add(OutputBuffer(c, entry), "0\r\n\r\n", 5);
  entry->stream = PendingResponse::Stream::kEnded;
  if (entry == &c->pending.front()) WriteReadyResponses(c);
}

size_t HttpServer::Unsent(Ticket ticket) const {
  Connection* c = nullptr;
  PendingResponse* entry = Find(ticket, &c);
  return entry ? evbuffer_get_length(OutputBuffer(c, entry)) : 0;
}

void HttpServer::Reset(Ticket ticket) {
  auto at = unanswered_.find(ticket);
  if (at == unanswered_.end()) return;
  Connection* c = at->second;
  unanswered_.erase(at);
  linger reset_on_close{1, 0};
  setsockopt(bufferevent_getfd(c->socket.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof reset_on_close);
  Drop(c);
}

void HttpServer::OnWritten(bufferevent*, void* arg) {
  auto* c = static_cast<Connection*>(arg);
  HttpServer* server = c->server;
  if (c->closing && !c->lingering) {
    server->Linger(c);
  } else if (!c->pending.empty() && c->pending.front().stream == PendingResponse::Stream::kOpen &&
             server->output_flushed_) {
    server->output_flushed_(c->pending.front().ticket);
  }
}

// Closing a socket with unread bytes resets the connection, and the client could lose the response.
// So this shuts down the sending side, discards what the client still sends, and closes when the
// client closes, at the latest after kLingerMs.
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
    // The client may have shut down only its sending side and still read the rest of a response.
    bool sending = evbuffer_get_length(bufferevent_get_output(c->socket.get())) > 0;
    if (c->pending.empty() && sending && !c->lingering && !(what & BEV_EVENT_ERROR)) {
      c->closing = true;
      return;
    }
    c->server->Drop(c);
  }
}

void HttpServer::Drop(Connection* c) {
  auto at = connections_.find(c->id);
  if (at == connections_.end()) return;
  buffered_body_bytes_ -= c->counted_bytes;
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

// Whether no byte of a later request has been received on the connection.
bool HttpServer::IsLast(const Connection& c, const PendingResponse& entry) {
  return &entry == &c.pending.back() && !c.deferred && !c.reader.started() &&
         evbuffer_get_length(bufferevent_get_input(c.socket.get())) == 0;
}

// A lingering connection is busy: if the process ended now, bytes that the client sent meanwhile
// could reset the connection, and the client could lose the response.
bool HttpServer::Busy(const Connection& c) {
  return !c.pending.empty() || c.deferred || c.lingering || (c.reader.started() && !c.closing) ||
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
    occupancy.waiting += !c->pending.empty();
    occupancy.reading += c->reader.started();
    occupancy.unsent += unsent_bytes > 0;
    occupancy.unsent_bytes += unsent_bytes;
    occupancy.lingering += c->lingering;
  }
  return occupancy;
}

}  // namespace elderkeel::http
