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

bool EqualNoCase(std::string_view a, std::string_view b);
// Whole decimal number without sign or space; -1 when it is none or above 2^53.
int64_t ParseDecimal(std::string_view text);

struct Header {
  std::string name;
  std::string value;
};

// A request or an answer, whole.
struct Message {
  std::string method;  // requests
  std::string target;
  int status = 0;  // answers
  std::string reason;
  int minor = 1;
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;

  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
  // The path without the query.
  std::string_view Path() const;
};

struct Limits {
  size_t header_bytes = 16384;
  size_t body_bytes = 64u << 20;
  int64_t header_ms = 3000;
  int64_t idle_ms = 15000;
};

// Reads one message at a time from a buffer, strictly: http-parser does the grammar, and what it is
// lenient about (folded lines, bare line feeds, doubled lengths, other codings) is refused here.
// Bytes beyond a whole message stay in the buffer.
class MessageReader {
 public:
  enum class Progress { kMore, kDone, kBad };

  explicit MessageReader(http_parser_type type);
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // `to_head`: the message to come answers a HEAD request and has no body.
  void Reset(bool to_head = false);
  Progress Read(evbuffer* in, const Limits& limits);

  bool started() const { return started_; }
  bool head_done() const { return head_done_; }
  // The status that a server should answer a bad request with.
  int bad_status() const { return bad_status_; }
  const char* bad_reason() const { return bad_reason_; }
  // Whether the message's own framing says where it ends.
  bool self_delimited() const { return self_delimited_; }
  bool wants_continue() const { return wants_continue_; }
  size_t body_size() const { return message_.body.size(); }
  // The length that the head states; -1 where the body comes in chunks.
  int64_t stated_length() const { return stated_length_; }
  const Message& message() const { return message_; }
  // From here on the body is handed over as it comes and is not kept.
  void StreamTo(std::function<void(std::string_view)> sink) { sink_ = std::move(sink); }
  Message Take() { return std::move(message_); }

 private:
  Progress Bad(int status, const char* reason);
  Progress ReadHead(evbuffer* in, const Limits& limits);
  Progress CheckHead(const Limits& limits);

  static int OnField(http_parser* p, const char* at, size_t n);
  static int OnValue(http_parser* p, const char* at, size_t n);
  static int OnUrl(http_parser* p, const char* at, size_t n);
  static int OnStatus(http_parser* p, const char* at, size_t n);
  static int OnHeaders(http_parser* p);
  static int OnBody(http_parser* p, const char* at, size_t n);
  static int OnComplete(http_parser* p);
  static const http_parser_settings& Callbacks();

  const http_parser_type type_;
  http_parser parser_;
  Message message_;
  size_t body_limit_ = 0;
  bool started_ = false;
  bool head_done_ = false;
  bool to_head_ = false;
  bool complete_ = false;
  bool value_seen_ = false;
  bool self_delimited_ = true;
  bool wants_continue_ = false;
  bool too_large_ = false;
  bool skip_body_ = false;
  size_t trailers_ = 0;
  int64_t stated_length_ = -1;
  std::function<void(std::string_view)> sink_;
  int bad_status_ = 0;
  const char* bad_reason_ = "";
};

// Whether a header concerns only one connection: the fixed ones and those that `connection` names.
bool IsHopByHop(std::string_view name, std::string_view connection);

// Writes an answer with its length; `close` adds Connection: close.
void WriteAnswer(evbuffer* out, const Message& answer, bool close, bool to_head,
                 int64_t keep_alive_s);
// The head alone, for a body that follows as it comes: with its length, or in chunks if `length` <
// 0.
void WriteHead(evbuffer* out, const Message& answer, bool close, int64_t length);
const char* ReasonPhrase(int status);

// An answer of our own, with a small JSON body that says why.
Message OwnAnswer(int status, std::string_view reason);

}  // namespace elderkeel::http
