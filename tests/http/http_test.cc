#include "http/http.h"

#include <gtest/gtest.h>

#include <memory>

namespace elderkeel::http {
namespace {

using Progress = MessageReader::Progress;

struct BufferFree {
  void operator()(evbuffer* b) const { evbuffer_free(b); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferFree>;

Limits SmallLimits() {
  Limits limits;
  limits.header_bytes = 300;
  limits.body_bytes = 20;
  return limits;
}

// Parses `bytes` in one piece and again byte by byte, and expects the same result. Returns 0 if the
// message is complete, -1 if more bytes are needed, otherwise the error status. `out` and `left`
// receive the message and the number of bytes after it, of the first pass.
int ReadStatus(http_parser_type type, const std::string& bytes, Message* out = nullptr,
               size_t* left = nullptr) {
  int results[2];
  for (int pass = 0; pass < 2; ++pass) {
    BufferPtr buffer(evbuffer_new());
    MessageReader reader(type);
    Progress progress = Progress::kNeedMore;
    if (pass == 0) {
      evbuffer_add(buffer.get(), bytes.data(), bytes.size());
      progress = reader.Read(buffer.get(), SmallLimits());
    } else {
      for (size_t i = 0; i < bytes.size() && progress == Progress::kNeedMore; ++i) {
        evbuffer_add(buffer.get(), &bytes[i], 1);
        progress = reader.Read(buffer.get(), SmallLimits());
      }
    }
    results[pass] = progress == Progress::kInvalid    ? reader.error_status()
                    : progress == Progress::kNeedMore ? -1
                                                      : 0;
    if (pass == 0 && left) *left = evbuffer_get_length(buffer.get());
    if (pass == 0 && out && progress == Progress::kComplete) *out = reader.Take();
  }
  EXPECT_EQ(results[0], results[1]) << bytes;
  return results[0];
}

// Guards against requests that a server could split differently than the proxy does (request
// smuggling) and against heads and bodies beyond the limits.
TEST(Http, RejectsInvalidRequestsWithTheRightStatus) {
  std::string long_value(300, 'x');
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  } cases[] = {
      {"plain", "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n", 0},
      {"empty lines before the request", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 0},
      {"Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 0},
      {"chunked",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 0},
      {"incomplete body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", -1},
      {"no Host header", "GET / HTTP/1.1\r\n\r\n", 400},
      {"two Host headers", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"Content-Length and chunked",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
       400},
      {"two Content-Length headers",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
      {"list in Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
       400},
      {"signed Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
      {"other transfer coding",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400},
      {"malformed chunk size",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"folded header", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400},
      {"space before colon", "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", 400},
      {"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", 400},
      {"control byte", std::string("GET / HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n"), 400},
      {"unknown method", "FROB / HTTP/1.1\r\nHost: h\r\n\r\n", 501},
      {"head too large", "GET / HTTP/1.1\r\nHost: h\r\nA: " + long_value + "\r\n\r\n", 431},
      {"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n", 413},
      {"Content-Length with too many digits",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999\r\n\r\n", 413},
      {"chunked body too large",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
       "chunked\r\n\r\n15\r\n123456789012345678901\r\n",
       413},
  };
  for (const Case& c : cases) EXPECT_EQ(ReadStatus(HTTP_REQUEST, c.bytes), c.status) << c.name;
}

TEST(Http, LeavesBytesOfTheNextRequestInTheBuffer) {
  Message message;
  size_t left = 0;
  std::string next = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ(ReadStatus(HTTP_REQUEST,
                       "POST /first?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + next,
                       &message, &left),
            0);
  EXPECT_EQ(message.Path(), "/first");
  EXPECT_EQ(message.body, "hi");
  EXPECT_EQ(left, next.size());
}

// Guards against taking a response that was cut off, or whose head starts with a fragment of
// another response, for a complete one.
TEST(Http, AcceptsOnlyWellFormedSelfDelimitedResponses) {
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  } cases[] = {
      {"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 0},
      {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 0},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n", 0},
      {"interim response first",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
      {"delimited by the end of the connection", "HTTP/1.1 200 OK\r\n\r\nhi", 502},
      {"body cut off", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", -1},
      {"not a response", "garbage that is none\r\n\r\n", 400},
      {"after a fragment of a status line",
       "HTTP/1.1 421 HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 400},
      {"after a fragment of a header",
       "HTTP/1.1 421 No\r\nX: HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 400},
      {"header value with the protocol name",
       "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 x\r\nContent-Length: 0\r\n\r\n", 0},
      {"after an empty line", "\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n",
       400},
      {"status below 100", "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", 502},
      {"status above 599", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", 502},
      {"304 with Content-Length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 0},
      {"204 with Transfer-Encoding", "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
      {"interim response with Content-Length",
       "HTTP/1.1 103 E\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       0},
  };
  for (const Case& c : cases) EXPECT_EQ(ReadStatus(HTTP_RESPONSE, c.bytes), c.status) << c.name;
}

TEST(Http, RemovesHopByHopHeadersFromResponses) {
  EXPECT_TRUE(IsHopByHop("keep-alive", ""));
  EXPECT_TRUE(IsHopByHop("X-Private", "close, x-private"));
  EXPECT_FALSE(IsHopByHop("X-Public", "close, x-private"));
  Message response;
  response.status = 200;
  response.headers = {
      {"Connection", "X-Private"}, {"X-Private", "1"}, {"X-Public", "2"}, {"Content-Length", "99"}};
  response.body = "hello";
  BufferPtr out(evbuffer_new());
  WriteResponse(out.get(), response, true, false, 0);
  std::string text(evbuffer_get_length(out.get()), '\0');
  evbuffer_remove(out.get(), text.data(), text.size());
  EXPECT_EQ(
      text,
      "HTTP/1.1 200 OK\r\nX-Public: 2\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello");
}

}  // namespace
}  // namespace elderkeel::http
