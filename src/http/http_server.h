#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/http.h"
#include "transport/socket.h"

namespace elderkeel::http {

// Serves one HTTP listener. Calls the handler with each complete request; the owner responds once
// per request by its ticket, from inside the handler or later. Pipelined requests may be passed to
// the handler before earlier ones are answered (Options::pipeline); responses are written in the
// order of the requests. Runs on the event loop.
class HttpServer {
 public:
  using Ticket = uint64_t;  // identifies a request that has not been answered; never 0
  struct Options {
    std::function<Limits()> limits;  // called for each message, so that changes apply at once
    // After this process was suspended (frozen, or without processor time), drops the requests that
    // arrived meanwhile if their clients have closed the connection.
    bool detect_suspension = false;
    size_t max_connections = 1000;
    // At most this many requests of one connection are in flight. A request is passed to the
    // handler while earlier ones are unanswered only if `may_run_out_of_order` returns true for it.
    size_t pipeline = 1;
    std::function<bool(const Message&)> may_run_out_of_order;
    // Limit on the bodies of all requests together, each counted from its first byte until its
    // response is written. A request beyond the limit is rejected with 503.
    size_t max_buffered_bytes = 64u << 20;
  };
  using Handler = std::function<void(Ticket, Message&&)>;
  // Called when the response to a request can no longer be sent: the client closed the connection,
  // or an earlier response on it carried Connection: close.
  using ClientClosedHandler = std::function<void(Ticket)>;
  // Called when a request is rejected without the handler, for example because it is malformed.
  using RejectedHandler = std::function<void(int status, const char* reason)>;

  HttpServer(base::Loop* loop, Options options, Handler handler);
  ~HttpServer();

  // Returns an error if the address can't be bound.
  base::Status Listen(const base::Address& address);
  void StopListening() { listener_.Close(); }
  void OnClientClosed(ClientClosedHandler closed) { client_closed_ = std::move(closed); }
  void OnRejected(RejectedHandler rejected) { rejected_ = std::move(rejected); }

  // Sends a complete response. `close` closes the connection after it. Returns false if the request
  // was answered already or its client has closed the connection.
  bool Respond(Ticket ticket, const Message& response, bool close = false);
  // Sends this response to every request that has none yet. Streamed responses that have begun are
  // not affected.
  void RespondToAll(const Message& response);
  // Streams a response that is too large to buffer: the head, the body in parts, the end. `length`
  // is the Content-Length; < 0 selects chunked transfer coding. The first two return false if the
  // client has closed the connection.
  bool BeginResponse(Ticket ticket, const Message& head, int64_t length);
  bool WriteBody(Ticket ticket, std::string_view bytes);
  void EndResponse(Ticket ticket);
  // Returns the bytes of a streamed response that the kernel has not taken yet. While the response
  // is first on its connection, bytes of earlier responses count too.
  size_t Unsent(Ticket ticket) const;
  // `drained` is called when the kernel has taken all bytes of a streamed response written so far.
  void OnOutputFlushed(std::function<void(Ticket)> flushed) {
    output_flushed_ = std::move(flushed);
  }
  // Resets the connection of a streamed response that can't be completed. A regular close could
  // look like the end of the response to the client.
  void Reset(Ticket ticket);
  // While this process shuts down, the last response that is due on a connection carries
  // Connection: close.
  void SetDraining(bool draining) { draining_ = draining; }
  // Closes the connections that have neither a request nor response bytes in flight.
  void CloseIdle();
  // Returns the number of connections with a request in flight or partly read, with unsent response
  // bytes, or lingering: waiting for the client to close.
  size_t busy() const;
  // Counts of connections by state, which show why a shutdown has to wait. One connection may count
  // in several of them.
  struct Occupancy {
    size_t connections = 0;
    size_t waiting = 0;       // with a request whose response is not complete
    size_t reading = 0;       // with a partly read request
    size_t unsent = 0;        // with response bytes that the kernel has not taken
    size_t unsent_bytes = 0;  // sum of those bytes
    size_t lingering = 0;     // waiting for the client to close
  };
  Occupancy GetOccupancy() const;
  size_t connections() const { return connections_.size(); }
  // The bytes that Options::max_buffered_bytes limits.
  size_t buffered_bytes() const { return buffered_body_bytes_; }

 private:
  struct PendingResponse;
  struct Connection;
  void Accepted(int fd);
  // Closes the socket at once and reports its unanswered requests as gone.
  void Drop(Connection* c);
  void ProcessRequests(Connection* c);
  bool ReadRequest(Connection* c);
  void StartRequest(Connection* c, Message&& request, size_t body_bytes);
  void WriteReadyResponses(Connection* c);
  void Reject(Connection* c, int status, const char* reason);
  void UpdateTimeout(Connection* c);
  void Close(Connection* c);
  void Linger(Connection* c);
  // Returns the unfinished response and sets `*connection`; nullptr if there is none.
  PendingResponse* Find(Ticket ticket, Connection** connection) const;
  evbuffer* OutputBuffer(Connection* c, PendingResponse* pending) const;
  bool ClientLeftDuringSuspension(const Connection* c) const;
  static bool Busy(const Connection& c);
  static bool IsLast(const Connection& c, const PendingResponse& pending);
  static void OnReadable(bufferevent*, void* arg);
  static void OnWritten(bufferevent*, void* arg);
  static void OnEvent(bufferevent*, short what, void* arg);

  base::Loop* loop_;
  Options options_;
  Handler handler_;
  ClientClosedHandler client_closed_;
  std::function<void(Ticket)> output_flushed_;
  RejectedHandler rejected_;
  transport::Listener listener_;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<Ticket, Connection*> unanswered_;
  uint64_t next_id_ = 1;
  Ticket next_ticket_ = 1;
  size_t buffered_body_bytes_ = 0;
  bool draining_ = false;
  base::Timer suspension_timer_;
  base::Millis last_tick_at_ = 0;  // when suspension_timer_ fired last
  // Until then, requests that are read may have arrived during a suspension.
  base::Millis suspected_until_ = 0;
};

}  // namespace elderkeel::http
