#include "transport/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/log.h"

namespace elderkeel::transport {
namespace {

// Returns false if the IP is not a valid IPv4 address.
bool FillSockaddr(const base::Address& address, sockaddr_in* out) {
  std::memset(out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons(address.port);
  return inet_pton(AF_INET, address.ip.c_str(), &out->sin_addr) == 1;
}

}  // namespace

void ConfigureSocket(int fd, int user_timeout_ms) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (user_timeout_ms > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  }
}

int StartConnect(const base::Address& address, int user_timeout_ms, const std::string& from) {
  sockaddr_in to{};
  if (!FillSockaddr(address, &to)) return -1;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  ConfigureSocket(fd, user_timeout_ms);
  sockaddr_in source{};
  if (!from.empty() && (!FillSockaddr({from, 0}, &source) ||
                        bind(fd, reinterpret_cast<sockaddr*>(&source), sizeof source))) {
    close(fd);
    return -1;
  }
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

base::Address PeerAddress(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return {};
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
  return {text, ntohs(peer.sin_port)};
}

base::Status Listener::Open(base::Loop* loop, const base::Address& address, Accept accept) {
  sockaddr_in at{};
  if (!FillSockaddr(address, &at))
    return base::Failure(base::ErrorCode::kInvalidArgument, "listen", address.ToString(),
                         "is not an IPv4 address");
  accept_ = std::move(accept);
  listener_.reset(evconnlistener_new_bind(
      loop->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->accept_(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 1024,
      reinterpret_cast<sockaddr*>(&at), sizeof at));
  if (!listener_)
    return base::Failure(base::ErrorCode::kIoError, "listen", address.ToString(),
                         std::strerror(errno));
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void*) {
    base::Warn("accept.failed", {{"reason", std::strerror(errno)}});
  });
  return {};
}

}  // namespace elderkeel::transport
