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
  // The connect is under way on this descriptor; libevent reports its end.
  bufferevent_socket_connect(socket_.get(), nullptr, 0);
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  // Counts what the kernel took: from the first such byte on a request may have arrived.
  evbuffer_add_cb(
      bufferevent_get_output(socket_.get()),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        if (info->n_deleted > 0) static_cast<HttpConnection*>(self)->any_sent_ = true;
      },
      this);
  connect_timer_.Start(loop, connect_ms, [this] {
    Close();
    Finish(Ending::kNotSent, "connect timed out");
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

void HttpConnection::Send(std::string bytes, bool to_head, Done done) {
  done_ = std::move(done);
  any_sent_ = streaming_ = false;
  to_head_ = to_head;
  reader_.Reset(to_head);
  if (closed_) {
    connect_timer_.Start(loop_, 0, [this] { Finish(Ending::kNotSent, "connect refused"); });
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
    // Bytes that no request asked for.
    self->Close();
    if (self->lost_) self->lost_();
    return;
  }
  self->Read();
}

HttpConnection::Owner HttpConnection::OwnerOf(const Message& answer) const {
  if (!expect_header_) return Owner::kOurs;
  if (answer.Count(expect_header_) != 1) return Owner::kUnknown;
  const std::string* value = answer.Find(expect_header_);
  return *value == expect_value_ ? Owner::kOurs : Owner::kAnother;
}

void HttpConnection::Read() {
  evbuffer* in = bufferevent_get_input(socket_.get());
  Limits limits = limits_;
  if (large_) limits.body_bytes = SIZE_MAX;  // judged below, where the rest can be streamed
  MessageReader::Progress progress = reader_.Read(in, limits);
  if (progress == MessageReader::Progress::kMore) {
    if (!large_ || streaming_ || !reader_.head_done()) return;
    int64_t length = reader_.stated_length();
    size_t buffered = limits_.body_bytes;
    if (reader_.body_size() <= buffered && length <= static_cast<int64_t>(buffered)) return;
    BodySink sink = large_(reader_.message(), length);
    if (!sink) {
      Close();
      Finish(Ending::kBroken, "answer too large");
      return;
    }
    streaming_ = true;
    reader_.StreamTo(std::move(sink));
    return;
  }
  if (progress == MessageReader::Progress::kBad) {
    Close();
    Finish(Ending::kBroken, reader_.bad_reason());
    return;
  }
  // An answer that came before the request was handed over whole answers something else; so may
  // whatever comes after this one.
  bool early = evbuffer_get_length(bufferevent_get_output(socket_.get())) > 0;
  bool extra = evbuffer_get_length(in) > 0;
  Outcome outcome;
  outcome.answer = reader_.Take();
  Owner owner = OwnerOf(outcome.answer);
  if (owner != Owner::kOurs) {
    if (owner == Owner::kUnknown || streaming_ || spoilt_ || !outcome.answer.keep_alive) {
      Close();
      Finish(Ending::kBroken, "answer to another request");
      return;
    }
    spoilt_ = true;
    reader_.Reset(to_head_);
    if (extra) {
      Read();
    } else if (stray_) {
      stray_();
    }
    return;
  }
  used_ = true;
  outcome.ending = any_sent_ ? Ending::kAnswer : Ending::kBroken;
  if (!any_sent_) outcome.reason = "answer before the request";
  if (early || extra || spoilt_ || !outcome.answer.keep_alive) Close();
  Pause(false);  // whoever took the body may have stopped the reading at its last bytes
  idle_since_ = base::SteadyMillis();
  if (const std::string* keep = outcome.answer.Find("Keep-Alive")) {
    size_t at = keep->find("timeout=");
    if (at != std::string::npos) {
      size_t end = keep->find_first_not_of("0123456789", at + 8);
      int64_t seconds = ParseDecimal(std::string_view(*keep).substr(at + 8, end - at - 8));
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
      self->Finish(self->any_sent_ ? Ending::kBroken : Ending::kNotSent,
                   !was_connected           ? "connect refused"
                   : (what & BEV_EVENT_EOF) ? "closed before a whole answer"
                                            : "reset");
    } else if (self->lost_) {
      self->lost_();
    }
  }
}

void HttpConnection::Finish(Ending ending, std::string reason) {
  if (!done_) {
    if (lost_) lost_();
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
