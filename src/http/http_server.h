#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/http.h"
#include "transport/socket.h"

namespace elderkeel::http {

// Serves one HTTP listener. Requests come whole; each is answered once through its ticket, now or
// later. Of pipelined requests some may be begun ahead of their turn; the answers keep the order.
class HttpServer {
 public:
  using Ticket = uint64_t;  // names a request that waits for its answer
  struct Options {
    std::function<Limits()> limits;  // asked anew for each message
    // After this process slept (was frozen, or had no processor), requests that waited meanwhile
    // are taken only if their clients still are there.
    bool notice_sleep = false;
    size_t max_connections = 1000;
    // So many requests of one connection are under way at once, if `may_run_out_of_order` says of
    // each but the first that it may be begun before those in front of it are answered.
    size_t pipeline = 1;
    std::function<bool(const Message&)> may_run_out_of_order;
    // All bodies of requests together, from their first byte until they are answered.
    size_t max_buffered_bytes = 64u << 20;
  };
  using Handler = std::function<void(Ticket, Message&&)>;
  // The client closed before the answer to this request was given.
  using GoneHandler = std::function<void(Ticket)>;
  // A request that was refused before it was whole: status and reason, for the record.
  using RefusedHandler = std::function<void(int status, const char* reason)>;

  HttpServer(base::Loop* loop, Options options, Handler handler);
  ~HttpServer();

  base::Status Listen(const base::Address& address);
  void StopListening() { listener_.Close(); }
  void OnGone(GoneHandler gone) { gone_ = std::move(gone); }
  void OnRefused(RefusedHandler refused) { refused_ = std::move(refused); }

  // False if the client is no longer there.
  bool Answer(Ticket ticket, const Message& answer, bool close = false);
  // Gives this answer to every request that still waits for one, but for those whose answer was
  // begun.
  void AnswerAll(const Message& answer);
  // An answer too large to be held: its head, its body as it comes, its end. `length` < 0: chunks.
  bool BeginAnswer(Ticket ticket, const Message& head, int64_t length);
  bool WriteBody(Ticket ticket, std::string_view bytes);
  void EndAnswer(Ticket ticket);
  // Bytes of the answer that the client has not taken yet.
  size_t Unsent(Ticket ticket) const;
  // An answer that is being written has gone out as far as it was given.
  void OnDrained(std::function<void(Ticket)> drained) { drained_ = std::move(drained); }
  // For an answer that was begun and can't be completed: the client must see a broken connection.
  void Reset(Ticket ticket);
  // While leaving, the last answer that a connection waits for carries Connection: close, and idle
  // connections are closed by CloseIdle().
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  void CloseIdle();
  // Connections with a request read or being read, with answer bytes still to be sent, or that wait
  // for the client to close.
  size_t busy() const;
  // What the connections are at, for whoever asks why the server is still busy. One may count in
  // several of these.
  struct Occupancy {
    size_t connections = 0;
    size_t waiting = 0;  // for the answer to a request
    size_t reading = 0;  // a request in part
    size_t unsent = 0;   // with bytes of answers that the kernel has not taken
    size_t unsent_bytes = 0;
    size_t lingering = 0;  // for the client to close
  };
  Occupancy GetOccupancy() const;
  size_t connections() const { return connections_.size(); }
  size_t buffered_bytes() const { return buffered_; }

 private:
  struct Slot;
  struct Connection;
  void Accepted(int fd);
  void Drop(Connection* c);
  void Advance(Connection* c);
  bool ReadOne(Connection* c);
  void Begin(Connection* c, Message&& request, size_t body_bytes);
  void Flush(Connection* c);
  void Refuse(Connection* c, int status, const char* reason);
  void StartClock(Connection* c);
  void Close(Connection* c);
  void Linger(Connection* c);
  Slot* Find(Ticket ticket, Connection** connection) const;
  evbuffer* OutputOf(Connection* c, Slot* slot) const;
  bool LeftWhileAsleep(const Connection* c) const;
  static bool Busy(const Connection& c);
  static bool IsLast(const Connection& c, const Slot& slot);
  static void OnReadable(bufferevent*, void* arg);
  static void OnWritten(bufferevent*, void* arg);
  static void OnEvent(bufferevent*, short what, void* arg);

  base::Loop* loop_;
  Options options_;
  Handler handler_;
  GoneHandler gone_;
  std::function<void(Ticket)> drained_;
  RefusedHandler refused_;
  transport::Listener listener_;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<Ticket, Connection*> waiting_;
  uint64_t next_id_ = 1;
  Ticket next_ticket_ = 1;
  size_t buffered_ = 0;
  bool leaving_ = false;
  base::Timer awake_timer_;
  base::Millis awake_at_ = 0;     // the last sign of not being asleep
  base::Millis slept_until_ = 0;  // till then, what is read may have waited through a sleep
};

}  // namespace elderkeel::http
