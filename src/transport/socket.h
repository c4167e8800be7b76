#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>

#include "base/loop.h"
#include "base/settings.h"

namespace elderkeel::transport {

struct BuffereventFree {
  void operator()(bufferevent* b) const { bufferevent_free(b); }
};
struct EvbufferFree {
  void operator()(evbuffer* b) const { evbuffer_free(b); }
};
using EvbufferPtr = std::unique_ptr<evbuffer, EvbufferFree>;
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventFree>;

// No delay, and a bound on how long sent bytes may stay unacknowledged: a peer without power gives
// no answer at all, and only this notices.
void TuneSocket(int fd, int user_timeout_ms);

// A TCP socket that has begun to connect; -1 if even that failed. `from`: the address to connect
// from, where the other end takes it for who is calling; empty leaves the choice to the kernel.
int StartConnect(const base::Address& address, int user_timeout_ms, const std::string& from = "");

// The address of the other end.
base::Address PeerOf(int fd);

class Listener {
 public:
  using Accept = std::function<void(int fd)>;
  base::Status Open(base::Loop* loop, const base::Address& address, Accept accept);
  void Close() { listener_.reset(); }
  bool open() const { return listener_ != nullptr; }

 private:
  struct Free {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };
  std::unique_ptr<evconnlistener, Free> listener_;
  Accept accept_;
};

}  // namespace elderkeel::transport
