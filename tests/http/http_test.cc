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

Limits Small() {
  Limits limits;
  limits.header_bytes = 300;
  limits.body_bytes = 20;
  return limits;
}

// Reads `bytes` whole and then byte by byte; both must agree. 0: done, -1: wants more, else status.
int ReadStatus(http_parser_type type, const std::string& bytes, Message* out = nullptr,
               size_t* left = nullptr) {
  int results[2];
  for (int way = 0; way < 2; ++way) {
    BufferPtr buffer(evbuffer_new());
    MessageReader reader(type);
    Progress progress = Progress::kMore;
    if (way == 0) {
      evbuffer_add(buffer.get(), bytes.data(), bytes.size());
      progress = reader.Read(buffer.get(), Small());
    } else {
      for (size_t i = 0; i < bytes.size() && progress == Progress::kMore; ++i) {
        evbuffer_add(buffer.get(), &bytes[i], 1);
        progress = reader.Read(buffer.get(), Small());
      }
    }
    results[way] = progress == Progress::kBad    ? reader.bad_status()
                   : progress == Progress::kMore ? -1
                                                 : 0;
    if (way == 0 && left) *left = evbuffer_get_length(buffer.get());
    if (way == 0 && out && progress == Progress::kDone) *out = reader.Take();
  }
  EXPECT_EQ(results[0], results[1]) << bytes;
  return results[0];
}

TEST(Http, JudgesRequestsStrictly) {
  std::string long_value(300, 'x');
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  } cases[] = {
      {"plain", "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n", 0},
      {"blank lines before", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 0},
      {"length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 0},
      {"chunks",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 0},
      {"not all there", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", -1},
      {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"length and chunks",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
       400},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
      {"list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", 400},
      {"signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
      {"other coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       400},
      {"bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"folded header", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400},
      {"space before colon", "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", 400},
      {"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", 400},
      {"control byte", std::string("GET / HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n"), 400},
      {"no method", "FROB / HTTP/1.1\r\nHost: h\r\n\r\n", 501},
      {"head too large", "GET / HTTP/1.1\r\nHost: h\r\nA: " + long_value + "\r\n\r\n", 431},
      {"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n", 413},
      {"length beyond counting",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999\r\n\r\n", 413},
      {"chunks too large",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
       "chunked\r\n\r\n15\r\n123456789012345678901\r\n",
       413},
  };
  for (const Case& c : cases) EXPECT_EQ(ReadStatus(HTTP_REQUEST, c.bytes), c.status) << c.name;
}

TEST(Http, LeavesWhatBelongsToTheNextRequest) {
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

TEST(Http, TakesOnlyAnswersThatSayWhereTheyEnd) {
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  } cases[] = {
      {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 0},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 0},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n", 0},
      {"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       0},
      {"until the end", "HTTP/1.1 200 OK\r\n\r\nhi", 502},
      {"cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", -1},
      {"no answer at all", "garbage that is none\r\n\r\n", 400},
      {"behind a piece of a first line",
       "HTTP/1.1 421 HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 400},
      {"behind a piece of a header",
       "HTTP/1.1 421 No\r\nX: HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 400},
      {"names the protocol", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 x\r\nContent-Length: 0\r\n\r\n", 0},
      {"behind a blank line", "\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n",
       400},
      {"status below all classes", "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", 502},
      {"status above all classes", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", 502},
      {"no body though a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 0},
      {"no body though chunks", "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
      {"interim with a length",
       "HTTP/1.1 103 E\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       0},
  };
  for (const Case& c : cases) EXPECT_EQ(ReadStatus(HTTP_RESPONSE, c.bytes), c.status) << c.name;
}

TEST(Http, DropsWhatConcernsOneConnection) {
  EXPECT_TRUE(IsHopByHop("keep-alive", ""));
  EXPECT_TRUE(IsHopByHop("X-Private", "close, x-private"));
  EXPECT_FALSE(IsHopByHop("X-Public", "close, x-private"));
  Message answer;
  answer.status = 200;
  answer.headers = {
      {"Connection", "X-Private"}, {"X-Private", "1"}, {"X-Public", "2"}, {"Content-Length", "99"}};
  answer.body = "hello";
  BufferPtr out(evbuffer_new());
  WriteAnswer(out.get(), answer, true, false, 0);
  std::string text(evbuffer_get_length(out.get()), '\0');
  evbuffer_remove(out.get(), text.data(), text.size());
  EXPECT_EQ(
      text,
      "HTTP/1.1 200 OK\r\nX-Public: 2\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello");
}

}  // namespace
}  // namespace elderkeel::http
