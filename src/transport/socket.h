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

// Sets TCP_NODELAY and, if `user_timeout_ms` > 0, TCP_USER_TIMEOUT: the connection fails if sent
// bytes stay unacknowledged for longer. Only this limit soon detects that a peer's host has lost
// power, since such a host neither acknowledges nor resets.
void ConfigureSocket(int fd, int user_timeout_ms);

// Returns a non-blocking TCP socket that has started to connect, -1 if that failed at once. `from`:
// the IP address to connect from, for peers that identify this process by it; empty lets the kernel
// choose.
int StartConnect(const base::Address& address, int user_timeout_ms, const std::string& from = "");

// Returns the address of the remote end; empty with port 0 if the socket is not connected.
base::Address PeerAddress(int fd);

// A listening TCP socket on the event loop, closed by the destructor.
class Listener {
 public:
  using Accept = std::function<void(int fd)>;
  // Calls `accept` with each accepted socket, which it then owns. Returns an error if `address` is
  // not valid or can't be bound.
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
