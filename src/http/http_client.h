#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http.h"
#include "transport/socket.h"

namespace elderkeel::http {

// One TCP connection from this process to an HTTP server, with at most one request in flight. The
// constructor starts connecting; the owner may call Send() at once. The connection pool keeps idle
// connections and checks Usable() before it sends the next request on one.
class HttpConnection {
 public:
  enum class Result {
    kResponse,  // a complete, self-delimited response
    kNotSent,   // failed before the kernel took any byte of the request
    kBroken,    // failed after that: the server may have received the request
  };
  struct Outcome {
    Result ending = Result::kBroken;
    Message response;    // the response, where `ending` is kResponse
    std::string reason;  // of the failure, where `ending` is not kResponse
  };
  using Done = std::function<void(Outcome&&)>;

  // `connect_ms`: the limit on the time until the connection is established.
  HttpConnection(base::Loop* loop, const base::Address& address, base::Millis connect_ms,
                 const Limits& limits);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends one serialized request. Calls `done` once, never from inside Send(). `head_request`: the
  // method is HEAD, so the response has no body. REQUIRES: !busy().
  void Send(std::string bytes, bool head_request, Done done);
  // Accepts a response to the next request only if its header `header` has the value `value`. A
  // response with another value is a late one to an earlier request: it is discarded, and the next
  // response is awaited. The request ends with kBroken and the connection is closed if the header
  // is missing or repeated, so that the response can't be attributed to a request; or if a late
  // response is the second one, has a body that was passed to a sink, or ends the connection.
  void Expect(const char* header, std::string value) {
    expect_header_ = header;
    expect_value_ = std::move(value);
  }
  // `callback` is called once when the body of a response, or its Content-Length, exceeds the
  // limit: with the head, the part of the body that has arrived, and the Content-Length (-1 if
  // none). If it returns a sink, the rest of the body is passed to it, and `done` receives the
  // response with the first part of the body only. If it returns nullptr, the connection is closed
  // and the request ends with kBroken.
  using BodySink = std::function<void(std::string_view)>;
  using OversizedBodyHandler = std::function<BodySink(const Message& response, int64_t length)>;
  void OnOversizedBody(OversizedBodyHandler callback) { oversized_body_ = std::move(callback); }
  // `callback` is called when a response to another request was discarded and its successor has not
  // arrived yet. It indicates that the server responds late.
  void OnUnmatchedResponse(std::function<void()> callback) {
    unmatched_response_ = std::move(callback);
  }
  // Stops or resumes reading, for a receiver of the body that is slower than the server. Reading
  // resumes at the end of the response in any case.
  void Pause(bool pause);
  // `callback` is called when the connection closes while idle, or receives bytes that answer no
  // request.
  void OnIdleClosed(std::function<void()> callback) { idle_closed_ = std::move(callback); }

  // Whether a request is in flight.
  bool busy() const { return done_ != nullptr; }
  bool connected() const { return connected_; }
  // Whether a request may be sent: not busy, not closed by either side and without unread bytes, as
  // far as the kernel has received them. True while still connecting.
  bool Usable() const;
  bool closed() const { return closed_; }
  bool used() const { return used_; }  // a response was received on it before
  // When the last response ended, on the steady clock; 0 before the first.
  base::Millis idle_since() const { return idle_since_; }
  // The timeout of the server's last Keep-Alive header; 0 if it sent none.
  base::Millis keep_alive_ms() const { return keep_alive_ms_; }
  const base::Address& address() const { return address_; }

 private:
  // Ends the request in flight with a failure; if there is none, calls OnIdleClosed()'s callback.
  void Finish(Result ending, std::string reason);
  void Close();
  // Which request a response answers, by the header given to Expect().
  enum class Match { kThisRequest, kOtherRequest, kUnknown };
  Match MatchResponse(const Message& response) const;
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
  std::function<void()> idle_closed_;
  OversizedBodyHandler oversized_body_;
  std::function<void()> unmatched_response_;
  const char* expect_header_ = nullptr;
  std::string expect_value_;
  bool received_unmatched_ = false;  // a response to another request came; close after this request
  bool streaming_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool any_sent_ = false;  // the kernel took a byte of the current request
  bool used_ = false;
  bool head_request_ = false;
  base::Millis idle_since_ = 0;
  base::Millis keep_alive_ms_ = 0;
};

// One request on a connection of its own, with a time limit on connecting and the response
// together. HealthProber and the command-line programs use it. Destroying it cancels the request.
class HttpCall {
 public:
  HttpCall(base::Loop* loop, const base::Address& address, base::Millis timeout_ms,
           const Limits& limits);
  // Calls `done` once, on a timeout with Result::kBroken. REQUIRES: not called before.
  void Start(std::string bytes, HttpConnection::Done done);

 private:
  base::Loop* loop_;
  base::Millis timeout_ms_;
  HttpConnection connection_;
  base::Timer timer_;
  HttpConnection::Done done_;
};

}  // namespace elderkeel::http
