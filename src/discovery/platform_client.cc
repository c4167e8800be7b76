#include "discovery/platform_client.h"

namespace elderkeel::discovery {
namespace {
constexpr base::Millis kTimeoutMs = 1000;  // for a call
}

void PlatformClient::Read(Done done) {
  if (list_reader_.active()) return;
  done_ = std::move(done);
  requested_at_ = base::SteadyMillis();
  Call(list_reader_.Start());
}

void PlatformClient::Call(const std::string& target) {
  ++calls_;
  if (!connection_ || !connection_->Usable()) {
    http::Limits limits;
    limits.header_bytes = 64 << 10;
    limits.body_bytes = 16 << 20;
    connection_ = std::make_unique<http::HttpConnection>(loop_, address_, kTimeoutMs, limits);
  }
  uint64_t call = ++current_call_;
  auto fail = [this](base::Error error) {
    ++current_call_;  // a late outcome of the closed connection must not enter another reading
    timer_.Cancel();
    list_reader_.Abort();
    if (connection_) {
      std::shared_ptr<http::HttpConnection> last(std::move(connection_));
      loop_->Defer([last] {});
    }
    Done done = std::move(done_);
    done(base::Failure(std::move(error)));
  };
  timer_.Start(loop_, kTimeoutMs, [fail, this] {
    fail(base::Error{base::ErrorCode::kTimeout, "catalog.read", address_.ToString(),
                     "no answer within 1000 ms"});
  });
  connection_->Send("GET " + target + " HTTP/1.1\r\nHost: " + address_.ToString() + "\r\n\r\n",
                    false, [this, fail, call](http::HttpConnection::Outcome&& outcome) {
                      if (call != current_call_) return;
                      timer_.Cancel();
                      if (outcome.ending != http::HttpConnection::Result::kResponse) {
                        fail(base::Error{base::ErrorCode::kUnavailable, "catalog.read",
                                         address_.ToString(), outcome.reason});
                        return;
                      }
                      auto next =
                          list_reader_.AddPage(outcome.response.status, outcome.response.body);
                      if (!next) {
                        fail(next.error());
                        return;
                      }
                      if (next->empty()) {
                        Done done = std::move(done_);
                        done(Reading{list_reader_.Finish(base::SteadyMillis()), requested_at_});
                        return;
                      }
                      // Deferred: the connection can't be used from inside its own callback.
                      loop_->Defer([this, call, target = *next] {
                        if (call == current_call_) Call(target);
                      });
                    });
}

}  // namespace elderkeel::discovery
