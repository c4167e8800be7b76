#pragma once

#include <event2/buffer.h>
#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace elderkeel::http {

// Compares ASCII text case-insensitively.
bool EqualNoCase(std::string_view a, std::string_view b);
// Parses a non-negative decimal number; the text must hold digits only. Returns -1 if it is not
// such a number or has more than 15 digits (every result is below 2^53 and exact as a double).
int64_t ParseDecimal(std::string_view text);

struct Header {
  std::string name;
  std::string value;
};

// A complete HTTP request or response.
struct Message {
  std::string method;     // requests only
  std::string target;     // requests only
  int status = 0;         // responses only
  std::string reason;     // responses only: the reason phrase
  int minor_version = 1;  // of HTTP/1.x
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;  // the sender keeps the connection open after this message

  // Returns the value of the first header of this name (case-insensitive), nullptr if there is
  // none.
  const std::string* Find(std::string_view name) const;
  // Returns how many headers have this name (case-insensitive).
  size_t Count(std::string_view name) const;
  // Returns the target without its query.
  std::string_view Path() const;
};

// Limits on one message. MessageReader applies the sizes, HttpServer also the times.
struct Limits {
  size_t header_bytes = 16384;  // request or status line and headers together
  size_t body_bytes = 64u << 20;
  int64_t header_timeout_ms = 3000;  // from the first byte of a head until the head is complete
  int64_t idle_timeout_ms = 15000;   // between two parts of a body, and between two requests
};

// Parses one HTTP message at a time from a buffer. http-parser checks the grammar; this class also
// rejects what http-parser accepts although peers may interpret it differently: folded headers,
// bare line feeds, repeated Content-Length headers, transfer codings other than chunked. Bytes
// after the end of the message stay in the buffer. HttpServer and HttpConnection call Read()
// whenever bytes arrive, and Reset() before the next message.
class MessageReader {
 public:
  enum class Progress {
    kNeedMore,  // the message is incomplete
    kComplete,  // the message is complete; Take() returns it
    kInvalid,   // the message is invalid or exceeds a limit; see error_status() and error_reason()
  };

  explicit MessageReader(http_parser_type type);
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Prepares for the next message. `head_request`: the next message is the response to a HEAD
  // request and has no body.
  void Reset(bool head_request = false);
  // Consumes bytes of `in`. After kInvalid every call returns kInvalid until Reset().
  Progress Read(evbuffer* in, const Limits& limits);

  // Whether the first byte of the message was read.
  bool started() const { return started_; }
  // Whether the head is complete.
  bool head_done() const { return head_done_; }
  // The status with which a server answers an invalid request; 0 if no error was found.
  int error_status() const { return error_status_; }
  const char* error_reason() const { return error_reason_; }
  // Whether the message itself determines where it ends, by Content-Length, chunks or its status.
  // Otherwise it ends when the connection closes; Read() rejects such responses.
  bool self_delimited() const { return self_delimited_; }
  // Whether the request has `Expect: 100-continue`.
  bool wants_continue() const { return wants_continue_; }
  size_t body_size() const { return message_.body.size(); }
  // The value of Content-Length; -1 if there is none.
  int64_t content_length() const { return content_length_; }
  const Message& message() const { return message_; }
  // Passes the rest of the body to `sink` as it arrives instead of appending it to the message.
  void StreamTo(std::function<void(std::string_view)> sink) { sink_ = std::move(sink); }
  // Moves the message out. REQUIRES: Read() returned kComplete.
  Message Take() { return std::move(message_); }

 private:
  // Records the error and returns kInvalid.
  Progress Fail(int status, const char* reason);
  Progress ReadHead(evbuffer* in, const Limits& limits);
  // Checks what http-parser does not: message length, Host and the status.
  Progress CheckHead(const Limits& limits);

  static int OnField(http_parser* p, const char* data, size_t n);
  static int OnValue(http_parser* p, const char* data, size_t n);
  static int OnUrl(http_parser* p, const char* data, size_t n);
  static int OnStatus(http_parser* p, const char* data, size_t n);
  static int OnHeaders(http_parser* p);
  static int OnBody(http_parser* p, const char* data, size_t n);
  static int OnComplete(http_parser* p);
  static const http_parser_settings& Callbacks();

  const http_parser_type type_;
  http_parser parser_;
  Message message_;
  size_t body_limit_ = 0;
  bool started_ = false;
  bool head_done_ = false;
  bool head_request_ = false;
  bool complete_ = false;
  bool value_seen_ = false;  // the last header has a value, so the next field is a new header
  bool self_delimited_ = true;
  bool wants_continue_ = false;
  bool too_large_ = false;
  bool skip_body_ = false;
  size_t trailers_ = 0;
  int64_t content_length_ = -1;
  std::function<void(std::string_view)> sink_;
  int error_status_ = 0;
  const char* error_reason_ = "";
};

// Whether a header applies to one connection only and must not be forwarded: the hop-by-hop headers
// of HTTP/1.1 and those listed in `connection`, the value of the Connection header.
bool IsHopByHop(std::string_view name, std::string_view connection);

// Appends a complete response with Content-Length to `out`. `close` adds Connection: close;
// otherwise `keep_alive_s` > 0 adds a Keep-Alive header with that timeout. With `head_request` the
// body is left out and a Content-Length header of `response` is kept.
void WriteResponse(evbuffer* out, const Message& response, bool close, bool head_request,
                   int64_t keep_alive_s);
// Appends only the head of a response whose body is streamed: with Content-Length, or with chunked
// transfer coding if `length` < 0.
void WriteResponseHead(evbuffer* out, const Message& response, bool close, int64_t length);
// Returns the standard reason phrase, "Unknown" for a status that has none.
const char* ReasonPhrase(int status);

// Returns a response that this process generates itself: {"error": `reason`} as JSON.
Message OwnAnswer(int status, std::string_view reason);

}  // namespace elderkeel::http
