#include "http/http_client.h"

#include <sys/socket.h>

#include <cerrno>

namespace elderkeel::http {

HttpConnection::HttpConnection(base::Loop* loop, const base::Address& address,
                               base::Millis connect_ms, const Limits& limits)
    : loop_(loop), address_(address), limits_(limits), reader_(HTTP_RESPONSE) {
  int fd = transport::StartConnect(address, 5000);
  if (fd < 0) {
    closed_ = true;
    return;
  }
  socket_.reset(bufferevent_socket_new(loop->base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(socket_.get(), &OnReadable, nullptr, &OnEvent, this);
  // StartConnect() has started connecting; without an address libevent only reports the result.
  bufferevent_socket_connect(socket_.get(), nullptr, 0);
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  // Bytes leave the output buffer when the kernel takes them. From the first one on the server may
  // have received the request, so the outcome can no longer be kNotSent.
  evbuffer_add_cb(
      bufferevent_get_output(socket_.get()),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        if (info->n_deleted > 0) static_cast<HttpConnection*>(self)->any_sent_ = true;
      },
      this);
  connect_timer_.Start(loop, connect_ms, [this] {
    Close();
    Finish(Result::kNotSent, "connect timed out");
  });
}

HttpConnection::~HttpConnection() {
  if (socket_) bufferevent_setcb(socket_.get(), nullptr, nullptr, nullptr, nullptr);
}

void HttpConnection::Close() {
  closed_ = true;
  connect_timer_.Cancel();
  if (socket_) {
    bufferevent_setcb(socket_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(socket_.get(), EV_READ | EV_WRITE);
  }
}

void HttpConnection::Send(std::string bytes, bool head_request, Done done) {
  done_ = std::move(done);
  any_sent_ = streaming_ = false;
  head_request_ = head_request;
  reader_.Reset(head_request);
  if (closed_) {
    connect_timer_.Start(loop_, 0, [this] { Finish(Result::kNotSent, "connect refused"); });
    return;
  }
  bufferevent_write(socket_.get(), bytes.data(), bytes.size());
}

void HttpConnection::Pause(bool pause) {
  if (closed_) return;
  if (pause) {
    bufferevent_disable(socket_.get(), EV_READ);
  } else {
    bufferevent_enable(socket_.get(), EV_READ);
  }
}

bool HttpConnection::Usable() const {
  if (closed_ || busy()) return false;
  if (!connected_) return true;
  if (evbuffer_get_length(bufferevent_get_input(socket_.get())) > 0) return false;
  char byte;
  ssize_t n = recv(bufferevent_getfd(socket_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::OnReadable(bufferevent*, void* arg) {
  auto* self = static_cast<HttpConnection*>(arg);
  if (!self->busy()) {
    // No request is in flight: these bytes would be taken for the response to the next one.
    self->Close();
    if (self->idle_closed_) self->idle_closed_();
    return;
  }
  self->Read();
}

HttpConnection::Match HttpConnection::MatchResponse(const Message& response) const {
  if (!expect_header_) return Match::kThisRequest;
  if (response.Count(expect_header_) != 1) return Match::kUnknown;
  const std::string* value = response.Find(expect_header_);
  return *value == expect_value_ ? Match::kThisRequest : Match::kOtherRequest;
}

void HttpConnection::Read() {
  evbuffer* in = bufferevent_get_input(socket_.get());
  Limits limits = limits_;
  // With a handler, the size is checked below, where the rest can be streamed.
  if (oversized_body_) limits.body_bytes = SIZE_MAX;
  MessageReader::Progress progress = reader_.Read(in, limits);
  if (progress == MessageReader::Progress::kNeedMore) {
    if (!oversized_body_ || streaming_ || !reader_.head_done()) return;
    int64_t length = reader_.content_length();
    size_t buffered = limits_.body_bytes;
    if (reader_.body_size() <= buffered && length <= static_cast<int64_t>(buffered)) return;
    BodySink sink = oversized_body_(reader_.message(), length);
    if (!sink) {
      Close();
      Finish(Result::kBroken, "response body too large");
      return;
    }
    streaming_ = true;
    reader_.StreamTo(std::move(sink));
    return;
  }
  if (progress == MessageReader::Progress::kInvalid) {
    Close();
    Finish(Result::kBroken, reader_.error_reason());
    return;
  }
  // A response that arrives before the kernel has taken the whole request may answer another one,
  // and so may bytes after this response. Either way the connection is closed after this request.
  bool early = evbuffer_get_length(bufferevent_get_output(socket_.get())) > 0;
  bool trailing = evbuffer_get_length(in) > 0;
  Outcome outcome;
  outcome.response = reader_.Take();
  Match match = MatchResponse(outcome.response);
  if (match != Match::kThisRequest) {
    if (match == Match::kUnknown || streaming_ || received_unmatched_ ||
        !outcome.response.keep_alive) {
      Close();
      Finish(Result::kBroken, "answer to another request");
      return;
    }
    received_unmatched_ = true;
    reader_.Reset(head_request_);
    if (trailing) {
      Read();
    } else if (unmatched_response_) {
      unmatched_response_();
    }
    return;
  }
  used_ = true;
  outcome.ending = any_sent_ ? Result::kResponse : Result::kBroken;
  if (!any_sent_) outcome.reason = "response received before the request was sent";
  if (early || trailing || received_unmatched_ || !outcome.response.keep_alive) Close();
  Pause(false);  // the sink may have paused reading at the last bytes of the body
  idle_since_ = base::SteadyMillis();
  if (const std::string* keep_alive = outcome.response.Find("Keep-Alive")) {
    size_t position = keep_alive->find("timeout=");
    if (position != std::string::npos) {
      size_t end = keep_alive->find_first_not_of("0123456789", position + 8);
      int64_t seconds =
          ParseDecimal(std::string_view(*keep_alive).substr(position + 8, end - position - 8));
      if (seconds >= 0) keep_alive_ms_ = seconds * 1000;
    }
  }
  Done done = std::move(done_);
  done_ = nullptr;
  done(std::move(outcome));
}

void HttpConnection::OnEvent(bufferevent*, short what, void* arg) {
  auto* self = static_cast<HttpConnection*>(arg);
  if (what & BEV_EVENT_CONNECTED) {
    self->connected_ = true;
    self->connect_timer_.Cancel();
    return;
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    bool was_connected = self->connected_;
    self->Close();
    if (self->busy()) {
      self->Finish(self->any_sent_ ? Result::kBroken : Result::kNotSent,
                   !was_connected           ? "connect refused"
                   : (what & BEV_EVENT_EOF) ? "connection closed before the response was complete"
                                            : "reset");
    } else if (self->idle_closed_) {
      self->idle_closed_();
    }
  }
}

void HttpConnection::Finish(Result ending, std::string reason) {
  if (!done_) {
    if (idle_closed_) idle_closed_();
    return;
  }
  Outcome outcome;
  outcome.ending = ending;
  outcome.reason = std::move(reason);
  Done done = std::move(done_);
  done_ = nullptr;
  done(std::move(outcome));
}

HttpCall::HttpCall(base::Loop* loop, const base::Address& address, base::Millis timeout_ms,
                   const Limits& limits)
    : loop_(loop), timeout_ms_(timeout_ms), connection_(loop, address, timeout_ms, limits) {}

void HttpCall::Start(std::string bytes, HttpConnection::Done done) {
  done_ = std::move(done);
  timer_.Start(loop_, timeout_ms_, [this] {
    HttpConnection::Outcome outcome;
    outcome.reason = "timed out";
    HttpConnection::Done call = std::move(done_);
    done_ = nullptr;
    if (call) call(std::move(outcome));
  });
  connection_.Send(std::move(bytes), false, [this](HttpConnection::Outcome&& outcome) {
    timer_.Cancel();
    HttpConnection::Done call = std::move(done_);
    done_ = nullptr;
    if (call) call(std::move(outcome));
  });
}

}  // namespace elderkeel::http
