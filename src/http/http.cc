#include "http/http.h"

#include <algorithm>
#include <cctype>

namespace elderkeel::http {
namespace {

constexpr size_t kMaxHeaders = 256;  // of one message; its trailers have the same limit

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

// Returns what is wrong with a head, nullptr if nothing is. Finds what http-parser accepts: lines
// that end without CR, folded headers, control bytes, and header names that are not tokens or have
// space before their colon.
const char* FindHeadError(std::string_view head) {
  size_t position = 0;
  bool first = true;
  while (position < head.size()) {
    size_t end = head.find("\r\n", position);
    if (end == std::string_view::npos) return "line without CRLF in the head";
    std::string_view line = head.substr(position, end - position);
    position = end + 2;
    for (unsigned char c : line) {
      if ((c < 0x20 && c != '\t') || c == 0x7f) return "control character in the head";
    }
    if (line.empty()) return first ? "blank line before the head" : nullptr;
    if (first) {
      first = false;
      if (line.find("  ") != std::string_view::npos || line.find('\t') != std::string_view::npos) {
        return "malformed request or status line";
      }
      continue;
    }
    if (line[0] == ' ' || line[0] == '\t') return "folded header line";
    size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) return "header without a name";
    for (size_t i = 0; i < colon; ++i) {
      if (!IsTokenByte(static_cast<unsigned char>(line[i]))) return "malformed header name";
    }
  }
  return nullptr;
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Whether a response head contains a status line after its start. Such a head begins with a
// fragment of another response that was cut off in its status line or in a header, so the status
// that it starts with belongs to that other response.
bool ContainsSecondStatusLine(std::string_view head) {
  constexpr std::string_view kProtocol = "HTTP/";
  for (size_t position = head.find(kProtocol, 1); position != std::string_view::npos;
       position = head.find(kProtocol, position + 1)) {
    std::string_view rest = head.substr(position + kProtocol.size());  // 1.1 200
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
    // ReadHead() enforces Limits::header_bytes exactly before http-parser sees the head. The limit
    // of http-parser only has to be at least as large.
    http_parser_set_max_header_size(16u << 20);
    return true;
  }();
  (void)kOnce;
  Reset();
}

void MessageReader::Reset(bool head_request) {
  http_parser_init(&parser_, type_);
  parser_.data = this;
  message_ = Message();
  started_ = head_done_ = complete_ = value_seen_ = wants_continue_ = too_large_ = skip_body_ =
      false;
  head_request_ = head_request;
  self_delimited_ = true;
  trailers_ = 0;
  content_length_ = -1;
  sink_ = nullptr;
  error_status_ = 0;
  error_reason_ = "";
}

MessageReader::Progress MessageReader::Fail(int status, const char* reason) {
  error_status_ = status;
  error_reason_ = reason;
  return Progress::kInvalid;
}

int MessageReader::OnField(http_parser* p, const char* data, size_t n) {
  MessageReader* r = Self(p);
  if (r->head_done_) return ++r->trailers_ > kMaxHeaders;  // trailers are discarded
  if (r->message_.headers.empty() || r->value_seen_) {
    if (r->message_.headers.size() >= kMaxHeaders) return 1;
    r->message_.headers.emplace_back();
    r->value_seen_ = false;
  }
  r->message_.headers.back().name.append(data, n);
  return 0;
}

int MessageReader::OnValue(http_parser* p, const char* data, size_t n) {
  MessageReader* r = Self(p);
  if (r->head_done_) return 0;
  r->message_.headers.back().value.append(data, n);
  r->value_seen_ = true;
  return 0;
}

int MessageReader::OnUrl(http_parser* p, const char* data, size_t n) {
  Self(p)->message_.target.append(data, n);
  return 0;
}

int MessageReader::OnStatus(http_parser* p, const char* data, size_t n) {
  Self(p)->message_.reason.append(data, n);
  return 0;
}

int MessageReader::OnHeaders(http_parser* p) {
  MessageReader* r = Self(p);
  r->head_done_ = true;
  Message& m = r->message_;
  m.minor_version = p->http_minor;
  m.status = p->status_code;
  if (r->type_ == HTTP_REQUEST) m.method = http_method_str(static_cast<http_method>(p->method));
  m.keep_alive = http_should_keep_alive(p) != 0;
  if (r->type_ == HTTP_RESPONSE) {
    // No body follows such a head, even if it has a Content-Length.
    bool bodyless = r->head_request_ || m.status == 204 || m.status == 304 || m.status / 100 == 1;
    bool chunked = (p->flags & F_CHUNKED) != 0;
    bool length = p->content_length != UINT64_MAX;
    r->self_delimited_ = bodyless || chunked || length;
    r->skip_body_ = bodyless;
    if (bodyless) return 1;
  }
  return 0;
}

int MessageReader::OnBody(http_parser* p, const char* data, size_t n) {
  MessageReader* r = Self(p);
  if (r->sink_) {
    r->sink_(std::string_view(data, n));
    return 0;
  }
  if (r->message_.body.size() + n > r->body_limit_) {
    r->too_large_ = true;
    return 1;
  }
  r->message_.body.append(data, n);
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
  if (lengths > 1) return Fail(400, "more than one Content-Length header");
  if (lengths && codings) return Fail(400, "both Content-Length and Transfer-Encoding");
  if (codings > 1) return Fail(400, "more than one Transfer-Encoding header");
  if (codings && !EqualNoCase(TrimSpace(*m.Find("Transfer-Encoding")), "chunked")) {
    return Fail(400, "transfer coding other than chunked");
  }
  if (codings && m.minor_version == 0) return Fail(400, "Transfer-Encoding in HTTP/1.0");
  if (lengths) {
    std::string_view text = TrimSpace(*m.Find("Content-Length"));
    int64_t length = ParseDecimal(text);
    if (length < 0) {
      bool digits = !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
      return digits ? Fail(413, "body too large") : Fail(400, "malformed Content-Length");
    }
    content_length_ = length;
    if (static_cast<size_t>(length) > limits.body_bytes && !skip_body_) {
      return Fail(413, "body too large");
    }
  }
  if (type_ == HTTP_REQUEST) {
    if (m.minor_version > 0 && m.Count("Host") != 1)
      return Fail(400, "exactly one Host header is required");
    if (m.Count("Host") > 1) return Fail(400, "exactly one Host header is required");
    const std::string* expect = m.Find("Expect");
    wants_continue_ = expect && EqualNoCase(*expect, "100-continue");
  } else if (m.status < 100 || m.status > 599) {
    return Fail(502, "status outside 100 to 599");
  } else if (!self_delimited_) {
    return Fail(502, "response without Content-Length or chunks");
  }
  return Progress::kNeedMore;
}

MessageReader::Progress MessageReader::ReadHead(evbuffer* in, const Limits& limits) {
  if (type_ == HTTP_REQUEST && !started_) {
    // Empty lines before a request are allowed and do not count as its first bytes.
    char two[2];
    while (evbuffer_copyout(in, two, 2) == 2 && two[0] == '\r' && two[1] == '\n') {
      evbuffer_drain(in, 2);
    }
  }
  size_t available = evbuffer_get_length(in);
  if (available == 0) return Progress::kNeedMore;
  char first;
  if (!started_ && available == 1 && evbuffer_copyout(in, &first, 1) == 1 && first == '\r') {
    return Progress::kNeedMore;  // may be the first half of an empty line
  }
  started_ = true;
  evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    if (available > limits.header_bytes) return Fail(431, "head too large");
    // An empty line without CR makes the head invalid. It is rejected at once, since a client that
    // sends bare line feeds may never send the CRLF CRLF that ends a head.
    if (evbuffer_search(in, "\n\n", 2, nullptr).pos >= 0)
      return Fail(400, "line that ends without CR");
    return Progress::kNeedMore;
  }
  size_t size = static_cast<size_t>(end.pos) + 4;
  if (size > limits.header_bytes) return Fail(431, "head too large");
  std::string head(size, '\0');
  evbuffer_remove(in, head.data(), size);
  if (const char* error_text = FindHeadError(head)) return Fail(400, error_text);
  if (type_ == HTTP_RESPONSE && ContainsSecondStatusLine(head)) {
    return Fail(400, "two status lines in one response head");
  }
  body_limit_ = limits.body_bytes;
  size_t parsed = http_parser_execute(&parser_, &Callbacks(), head.data(), head.size());
  http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_INVALID_METHOD) return Fail(501, "unknown method");
  if (error != HPE_OK && error != HPE_PAUSED) return Fail(400, http_errno_description(error));
  if (parsed != size || !head_done_) return Fail(400, "malformed head");
  return CheckHead(limits);
}

MessageReader::Progress MessageReader::Read(evbuffer* in, const Limits& limits) {
  if (error_status_) return Progress::kInvalid;
  for (;;) {
    if (!head_done_) {
      Progress progress = ReadHead(in, limits);
      if (progress == Progress::kInvalid || !head_done_) return progress;
    }
    while (!complete_) {
      evbuffer_iovec span;
      if (evbuffer_peek(in, -1, nullptr, &span, 1) < 1 || span.iov_len == 0)
        return Progress::kNeedMore;
      size_t parsed = http_parser_execute(&parser_, &Callbacks(),
                                          static_cast<const char*>(span.iov_base), span.iov_len);
      http_errno error = HTTP_PARSER_ERRNO(&parser_);
      evbuffer_drain(in, std::min(parsed, span.iov_len));
      if (too_large_) return Fail(413, "body too large");
      if (error != HPE_OK && error != HPE_PAUSED) return Fail(400, http_errno_description(error));
    }
    // An interim response (1xx) is discarded; the final one follows.
    if (type_ == HTTP_RESPONSE && message_.status / 100 == 1) {
      Reset(head_request_);
      continue;
    }
    return Progress::kComplete;
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

// Returns the status line and the headers without hop-by-hop headers and Content-Length. If there
// is a Content-Length, `*length` points to its value.
std::string SerializeHead(const Message& response, const std::string** length) {
  std::string head;
  head.reserve(512);
  head += "HTTP/1.1 " + std::to_string(response.status) + ' ';
  head += response.reason.empty() ? ReasonPhrase(response.status) : response.reason;
  head += "\r\n";
  const std::string* connection_header = response.Find("Connection");
  std::string_view connection =
      connection_header ? std::string_view(*connection_header) : std::string_view();
  for (const Header& header : response.headers) {
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

void WriteResponseHead(evbuffer* out, const Message& response, bool close, int64_t length) {
  const std::string* ignored = nullptr;
  std::string head = SerializeHead(response, &ignored);
  head += length >= 0 ? "Content-Length: " + std::to_string(length) + "\r\n"
                      : std::string("Transfer-Encoding: chunked\r\n");
  if (close) head += "Connection: close\r\n";
  head += "\r\n";
  evbuffer_add(out, head.data(), head.size());
}

void WriteResponse(evbuffer* out, const Message& response, bool close, bool head_request,
                   int64_t keep_alive_s) {
  const std::string* length = nullptr;
  std::string head = SerializeHead(response, &length);
  // Responses that never have a body (204, 304) get no Content-Length. The response to HEAD keeps
  // the length of the body that GET would return.
  if (head_request && length) {
    head += "Content-Length: " + *length + "\r\n";
  } else if (response.status != 204 && response.status != 304) {
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  if (close) {
    head += "Connection: close\r\n";
  } else if (keep_alive_s > 0) {
    head += "Keep-Alive: timeout=" + std::to_string(keep_alive_s) + "\r\n";
  }
  head += "\r\n";
  evbuffer_add(out, head.data(), head.size());
  if (!head_request && response.status != 204 && response.status != 304) {
    evbuffer_add(out, response.body.data(), response.body.size());
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
  Message response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = "{\"error\":\"";
  for (char c : reason) {
    if (c == '"' || c == '\\') response.body.push_back('\\');
    response.body.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
  }
  response.body += "\"}";
  return response;
}

}  // namespace elderkeel::http
