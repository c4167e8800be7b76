#include "http/http.h"

#include <algorithm>
#include <cctype>

namespace elderkeel::http {
namespace {

constexpr size_t kMaxHeaders = 256;

bool IsTokenByte(unsigned char c) {
  return std::isalnum(c) ||
         (c != 0 &&
          std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos);
}

std::string_view TrimSpace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// What http-parser would let pass in a head: line ends without CR, folded lines, control bytes, a
// name that is no token or stands apart from its colon.
const char* HeadFault(std::string_view head) {
  size_t at = 0;
  bool first = true;
  while (at < head.size()) {
    size_t end = head.find("\r\n", at);
    if (end == std::string_view::npos) return "line without an end";
    std::string_view line = head.substr(at, end - at);
    at = end + 2;
    for (unsigned char c : line) {
      if ((c < 0x20 && c != '\t') || c == 0x7f) return "control byte in the head";
    }
    if (line.empty()) return first ? "blank line before the head" : nullptr;
    if (first) {
      first = false;
      if (line.find("  ") != std::string_view::npos || line.find('\t') != std::string_view::npos) {
        return "malformed first line";
      }
      continue;
    }
    if (line[0] == ' ' || line[0] == '\t') return "folded header";
    size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) return "header without a name";
    for (size_t i = 0; i < colon; ++i) {
      if (!IsTokenByte(static_cast<unsigned char>(line[i]))) return "malformed header name";
    }
  }
  return nullptr;
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Whether a status line stands anywhere behind the start of an answer's head: then a piece of
// another answer, cut off in its first line or in a header, stands in front of this one's, and its
// status is not this one's.
bool HoldsSecondStatusLine(std::string_view head) {
  constexpr std::string_view kName = "HTTP/";
  for (size_t at = head.find(kName, 1); at != std::string_view::npos;
       at = head.find(kName, at + 1)) {
    std::string_view rest = head.substr(at + kName.size());  // 1.1 200
    if (rest.size() >= 7 && IsDigit(rest[0]) && rest[1] == '.' && IsDigit(rest[2]) &&
        rest[3] == ' ' && IsDigit(rest[4]) && IsDigit(rest[5]) && IsDigit(rest[6])) {
      return true;
    }
  }
  return false;
}

MessageReader* Self(http_parser* p) { return static_cast<MessageReader*>(p->data); }

}  // namespace

bool EqualNoCase(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (size_t i = 0; i < a.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(a[i])) !=
        std::tolower(static_cast<unsigned char>(b[i]))) {
      return false;
    }
  }
  return true;
}

int64_t ParseDecimal(std::string_view text) {
  if (text.empty() || text.size() > 15) return -1;
  int64_t n = 0;
  for (char c : text) {
    if (c < '0' || c > '9') return -1;
    n = n * 10 + (c - '0');
  }
  return n;
}

const std::string* Message::Find(std::string_view name) const {
  for (const Header& header : headers) {
    if (EqualNoCase(header.name, name)) return &header.value;
  }
  return nullptr;
}

size_t Message::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      headers.begin(), headers.end(), [&](const Header& h) { return EqualNoCase(h.name, name); }));
}

std::string_view Message::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

MessageReader::MessageReader(http_parser_type type) : type_(type), parser_() {
  static const bool kOnce = [] {
    // Our own limit on the head is judged first and exactly; this one must only not be below it.
    http_parser_set_max_header_size(16u << 20);
    return true;
  }();
  (void)kOnce;
  Reset();
}

void MessageReader::Reset(bool to_head) {
  http_parser_init(&parser_, type_);
  parser_.data = this;
  message_ = Message();
  started_ = head_done_ = complete_ = value_seen_ = wants_continue_ = too_large_ = skip_body_ =
      false;
  to_head_ = to_head;
  self_delimited_ = true;
  trailers_ = 0;
  stated_length_ = -1;
  sink_ = nullptr;
  bad_status_ = 0;
  bad_reason_ = "";
}

MessageReader::Progress MessageReader::Bad(int status, const char* reason) {
  bad_status_ = status;
  bad_reason_ = reason;
  return Progress::kBad;
}

int MessageReader::OnField(http_parser* p, const char* at, size_t n) {
  MessageReader* r = Self(p);
  if (r->head_done_) return ++r->trailers_ > kMaxHeaders;  // trailers are read past and dropped
  if (r->message_.headers.empty() || r->value_seen_) {
    if (r->message_.headers.size() >= kMaxHeaders) return 1;
    r->message_.headers.emplace_back();
    r->value_seen_ = false;
  }
  r->message_.headers.back().name.append(at, n);
  return 0;
}

int MessageReader::OnValue(http_parser* p, const char* at, size_t n) {
  MessageReader* r = Self(p);
  if (r->head_done_) return 0;
  r->message_.headers.back().value.append(at, n);
  r->value_seen_ = true;
  return 0;
}

int MessageReader::OnUrl(http_parser* p, const char* at, size_t n) {
  Self(p)->message_.target.append(at, n);
  return 0;
}

int MessageReader::OnStatus(http_parser* p, const char* at, size_t n) {
  Self(p)->message_.reason.append(at, n);
  return 0;
}

int MessageReader::OnHeaders(http_parser* p) {
  MessageReader* r = Self(p);
  r->head_done_ = true;
  Message& m = r->message_;
  m.minor = p->http_minor;
  m.status = p->status_code;
  if (r->type_ == HTTP_REQUEST) m.method = http_method_str(static_cast<http_method>(p->method));
  m.keep_alive = http_should_keep_alive(p) != 0;
  if (r->type_ == HTTP_RESPONSE) {
    // Whatever length such a head states, no body follows it.
    bool bodyless = r->to_head_ || m.status == 204 || m.status == 304 || m.status / 100 == 1;
    bool chunked = (p->flags & F_CHUNKED) != 0;
    bool length = p->content_length != UINT64_MAX;
    r->self_delimited_ = bodyless || chunked || length;
    r->skip_body_ = bodyless;
    if (bodyless) return 1;
  }
  return 0;
}

int MessageReader::OnBody(http_parser* p, const char* at, size_t n) {
  MessageReader* r = Self(p);
  if (r->sink_) {
    r->sink_(std::string_view(at, n));
    return 0;
  }
  if (r->message_.body.size() + n > r->body_limit_) {
    r->too_large_ = true;
    return 1;
  }
  r->message_.body.append(at, n);
  return 0;
}

int MessageReader::OnComplete(http_parser* p) {
  Self(p)->complete_ = true;
  http_parser_pause(p, 1);
  return 0;
}

const http_parser_settings& MessageReader::Callbacks() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = &OnField;
    s.on_header_value = &OnValue;
    s.on_url = &OnUrl;
    s.on_status = &OnStatus;
    s.on_headers_complete = &OnHeaders;
    s.on_body = &OnBody;
    s.on_message_complete = &OnComplete;
    return s;
  }();
  return kSettings;
}

MessageReader::Progress MessageReader::CheckHead(const Limits& limits) {
  const Message& m = message_;
  size_t lengths = m.Count("Content-Length");
  size_t codings = m.Count("Transfer-Encoding");
  if (lengths > 1) return Bad(400, "more than one length");
  if (lengths && codings) return Bad(400, "a length with chunks");
  if (codings > 1) return Bad(400, "more than one transfer coding");
  if (codings && !EqualNoCase(TrimSpace(*m.Find("Transfer-Encoding")), "chunked")) {
    return Bad(400, "unknown transfer coding");
  }
  if (codings && m.minor == 0) return Bad(400, "chunks in HTTP/1.0");
  if (lengths) {
    std::string_view text = TrimSpace(*m.Find("Content-Length"));
    int64_t length = ParseDecimal(text);
    if (length < 0) {
      bool digits = !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
      return digits ? Bad(413, "body too large") : Bad(400, "malformed length");
    }
    stated_length_ = length;
    if (static_cast<size_t>(length) > limits.body_bytes && !skip_body_) {
      return Bad(413, "body too large");
    }
  }
  if (type_ == HTTP_REQUEST) {
    if (m.minor > 0 && m.Count("Host") != 1) return Bad(400, "needs exactly one Host");
    if (m.Count("Host") > 1) return Bad(400, "needs exactly one Host");
    const std::string* expect = m.Find("Expect");
    wants_continue_ = expect && EqualNoCase(*expect, "100-continue");
  } else if (m.status < 100 || m.status > 599) {
    return Bad(502, "status of no class");
  } else if (!self_delimited_) {
    return Bad(502, "answer without an end of its own");
  }
  return Progress::kMore;
}

MessageReader::Progress MessageReader::ReadHead(evbuffer* in, const Limits& limits) {
  if (type_ == HTTP_REQUEST && !started_) {
    // Blank lines before a request are allowed; they are not a start.
    char two[2];
    while (evbuffer_copyout(in, two, 2) == 2 && two[0] == '\r' && two[1] == '\n') {
      evbuffer_drain(in, 2);
    }
  }
  size_t available = evbuffer_get_length(in);
  if (available == 0) return Progress::kMore;
  char first;
  if (!started_ && available == 1 && evbuffer_copyout(in, &first, 1) == 1 && first == '\r') {
    return Progress::kMore;  // may become another blank line
  }
  started_ = true;
  evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    if (available > limits.header_bytes) return Bad(431, "head too large");
    // A head that can no longer become well-formed need not be waited for.
    if (evbuffer_search(in, "\n\n", 2, nullptr).pos >= 0) return Bad(400, "line without CR");
    return Progress::kMore;
  }
  size_t size = static_cast<size_t>(end.pos) + 4;
  if (size > limits.header_bytes) return Bad(431, "head too large");
  std::string head(size, '\0');
  evbuffer_remove(in, head.data(), size);
  if (const char* fault = HeadFault(head)) return Bad(400, fault);
  if (type_ == HTTP_RESPONSE && HoldsSecondStatusLine(head)) {
    return Bad(400, "two answers in one head");
  }
  body_limit_ = limits.body_bytes;
  size_t parsed = http_parser_execute(&parser_, &Callbacks(), head.data(), head.size());
  http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_INVALID_METHOD) return Bad(501, "unknown method");
  if (error != HPE_OK && error != HPE_PAUSED) return Bad(400, http_errno_description(error));
  if (parsed != size || !head_done_) return Bad(400, "malformed head");
  return CheckHead(limits);
}

MessageReader::Progress MessageReader::Read(evbuffer* in, const Limits& limits) {
  if (bad_status_) return Progress::kBad;
  for (;;) {
    if (!head_done_) {
      Progress progress = ReadHead(in, limits);
      if (progress == Progress::kBad || !head_done_) return progress;
    }
    while (!complete_) {
      evbuffer_iovec span;
      if (evbuffer_peek(in, -1, nullptr, &span, 1) < 1 || span.iov_len == 0) return Progress::kMore;
      size_t parsed = http_parser_execute(&parser_, &Callbacks(),
                                          static_cast<const char*>(span.iov_base), span.iov_len);
      http_errno error = HTTP_PARSER_ERRNO(&parser_);
      evbuffer_drain(in, std::min(parsed, span.iov_len));
      if (too_large_) return Bad(413, "body too large");
      if (error != HPE_OK && error != HPE_PAUSED) return Bad(400, http_errno_description(error));
    }
    // An interim answer (1xx) is no answer yet.
    if (type_ == HTTP_RESPONSE && message_.status / 100 == 1) {
      Reset(to_head_);
      continue;
    }
    return Progress::kDone;
  }
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  static constexpr std::string_view kFixed[] = {
      "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate",
      "TE",         "Transfer-Encoding", "Trailer",          "Upgrade"};
  for (std::string_view fixed : kFixed) {
    if (EqualNoCase(name, fixed)) return true;
  }
  while (!connection.empty()) {
    size_t comma = connection.find(',');
    if (EqualNoCase(TrimSpace(connection.substr(0, comma)), name)) return true;
    if (comma == std::string_view::npos) break;
    connection.remove_prefix(comma + 1);
  }
  return false;
}

namespace {

// The status line and all headers that go on; `length` is where a length was found.
std::string HeadOf(const Message& answer, const std::string** length) {
  std::string head;
  head.reserve(512);
  head += "HTTP/1.1 " + std::to_string(answer.status) + ' ';
  head += answer.reason.empty() ? ReasonPhrase(answer.status) : answer.reason;
  head += "\r\n";
  const std::string* named = answer.Find("Connection");
  std::string_view connection = named ? std::string_view(*named) : std::string_view();
  for (const Header& header : answer.headers) {
    if (EqualNoCase(header.name, "Content-Length")) {
      *length = &header.value;
      continue;
    }
    if (IsHopByHop(header.name, connection)) continue;
    head.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  return head;
}

}  // namespace

void WriteHead(evbuffer* out, const Message& answer, bool close, int64_t length) {
  const std::string* ignored = nullptr;
  std::string head = HeadOf(answer, &ignored);
  head += length >= 0 ? "Content-Length: " + std::to_string(length) + "\r\n"
                      : std::string("Transfer-Encoding: chunked\r\n");
  if (close) head += "Connection: close\r\n";
  head += "\r\n";
  evbuffer_add(out, head.data(), head.size());
}

void WriteAnswer(evbuffer* out, const Message& answer, bool close, bool to_head,
                 int64_t keep_alive_s) {
  const std::string* length = nullptr;
  std::string head = HeadOf(answer, &length);
  // No length stands where no body may; for HEAD the length is that of the body it stands for.
  if (to_head && length) {
    head += "Content-Length: " + *length + "\r\n";
  } else if (answer.status != 204 && answer.status != 304) {
    head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
  }
  if (close) {
    head += "Connection: close\r\n";
  } else if (keep_alive_s > 0) {
    head += "Keep-Alive: timeout=" + std::to_string(keep_alive_s) + "\r\n";
  }
  head += "\r\n";
  evbuffer_add(out, head.data(), head.size());
  if (!to_head && answer.status != 204 && answer.status != 304) {
    evbuffer_add(out, answer.body.data(), answer.body.size());
  }
}

const char* ReasonPhrase(int status) {
  switch (status) {
#define XX(number, name, text) \
  case number:                 \
    return #text;
    HTTP_STATUS_MAP(XX)
#undef XX
  }
  return "Unknown";
}

Message OwnAnswer(int status, std::string_view reason) {
  Message answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = "{\"error\":\"";
  for (char c : reason) {
    if (c == '"' || c == '\\') answer.body.push_back('\\');
    answer.body.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
  }
  answer.body += "\"}";
  return answer;
}

}  // namespace elderkeel::http
