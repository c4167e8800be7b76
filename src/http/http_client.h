#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http.h"
#include "transport/socket.h"

namespace elderkeel::http {

// One connection to a server, carrying one request at a time.
class HttpConnection {
 public:
  enum class Ending {
    kAnswer,   // a whole, self-delimited answer
    kNotSent,  // failed before one byte of the request was handed to the kernel
    kBroken,   // failed after that: the request may have arrived
  };
  struct Outcome {
    Ending ending = Ending::kBroken;
    Message answer;
    std::string reason;
  };
  using Done = std::function<void(Outcome&&)>;

  HttpConnection(base::Loop* loop, const base::Address& address, base::Millis connect_ms,
                 const Limits& limits);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends one request; `done` is called once, never from inside Send. Only when not busy.
  void Send(std::string bytes, bool to_head, Done done);
  // The next answer belongs to the request only if its `header` says `value`. One that names
  // another answers an earlier request, late: it reaches nobody, and the next one is awaited. One
  // that names none, or more than one, can't be told from that; the connection is then broken off.
  void Expect(const char* header, std::string value) {
    expect_header_ = header;
    expect_value_ = std::move(value);
  }
  // Called once when the answer's body is larger than the limit, with the head and what came so
  // far. If it returns a sink, the rest goes there and `done` gets the answer without its body; if
  // not, the answer is broken off.
  using BodySink = std::function<void(std::string_view)>;
  using Large = std::function<BodySink(const Message& so_far, int64_t length)>;
  void OnLarge(Large large) { large_ = std::move(large); }
  // Called when an answer of another request came, which is a sign that the server stutters.
  void OnStray(std::function<void()> stray) { stray_ = std::move(stray); }
  // Stops reading while whoever takes the body can't keep up, at the longest until its end.
  void Pause(bool pause);
  // Called when the connection, while idle, is closed or can no longer be trusted.
  void OnLost(std::function<void()> lost) { lost_ = std::move(lost); }

  bool busy() const { return done_ != nullptr; }
  bool connected() const { return connected_; }
  // Idle, alive and clean right now, as far as the kernel knows.
  bool Usable() const;
  bool closed() const { return closed_; }
  bool used() const { return used_; }  // an answer came on it before
  base::Millis idle_since() const { return idle_since_; }
  // How long the server says it keeps an idle connection; 0 if it did not say.
  base::Millis keep_alive_ms() const { return keep_alive_ms_; }
  const base::Address& address() const { return address_; }

 private:
  void Finish(Ending ending, std::string reason);
  void Close();
  enum class Owner { kOurs, kAnother, kUnknown };
  Owner OwnerOf(const Message& answer) const;
  void Read();
  static void OnReadable(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short what, void* self);

  base::Loop* loop_;
  base::Address address_;
  Limits limits_;
  transport::BuffereventPtr socket_;
  base::Timer connect_timer_;
  MessageReader reader_;
  Done done_;
  std::function<void()> lost_;
  Large large_;
  std::function<void()> stray_;
  const char* expect_header_ = nullptr;
  std::string expect_value_;
  bool spoilt_ = false;  // an answer of another request came; not to be used again
  bool streaming_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool any_sent_ = false;
  bool used_ = false;
  bool to_head_ = false;
  base::Millis idle_since_ = 0;
  base::Millis keep_alive_ms_ = 0;
};

// One request on a connection of its own, with a time limit; for the platform and for the commands.
class HttpCall {
 public:
  HttpCall(base::Loop* loop, const base::Address& address, base::Millis timeout_ms,
           const Limits& limits);
  void Start(std::string bytes, HttpConnection::Done done);

 private:
  base::Loop* loop_;
  base::Millis timeout_ms_;
  HttpConnection connection_;
  base::Timer timer_;
  HttpConnection::Done done_;
};

}  // namespace elderkeel::http
