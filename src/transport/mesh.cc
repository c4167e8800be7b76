#include "transport/mesh.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::transport {
namespace {

constexpr int kUserTimeoutMs = 2000;  // a connection fails if sent bytes stay unacknowledged longer
constexpr base::Millis kConnectMs = 700;
constexpr base::Millis kRetryMs = 50;    // back-off after a link has failed
constexpr base::Millis kIdleMs = 20000;  // links that were unused for longer are closed
constexpr base::Millis kDropLogIntervalMs = 1000;
constexpr size_t kMaxQueuedBytes = 8u << 20;  // per link
constexpr size_t kMaxIncomingConnections = 512;
constexpr size_t kFrameHeaderBytes = 9;     // payload size (4), checksum (4), kind (1)
constexpr int kDatagramHeaderBytes = 5;     // checksum (4), kind (1)
constexpr size_t kMaxDatagramBytes = 1400;  // including the header

// Both in little-endian byte order.
void AppendUint32(std::string* out, uint32_t n) {
  for (int i = 0; i < 4; ++i) out->push_back(static_cast<char>(n >> (8 * i)));
}
uint32_t ReadUint32(const unsigned char* bytes) {
  return bytes[0] | bytes[1] << 8 | bytes[2] << 16 | static_cast<uint32_t>(bytes[3]) << 24;
}
uint32_t Checksum(MessageKind kind, std::string_view payload) {
  return static_cast<uint32_t>(base::Hash(payload, static_cast<uint64_t>(kind)));
}

}  // namespace

// The outgoing connection to one peer. It stays in links_ after a failure, for its back-off.
struct Mesh::Link {
  BuffereventPtr socket;
  bool connected = false;
  base::Millis last_used = 0;
  base::Millis retry_at = 0;  // earliest time of the next attempt to connect
  base::Timer connect_timer;

  // Closes the connection with the frames queued on it and starts the back-off.
  void Fail() {
    connect_timer.Cancel();
    if (socket) bufferevent_setcb(socket.get(), nullptr, nullptr, nullptr, nullptr);
    socket.reset();
    connected = false;
    retry_at = base::SteadyMillis() + kRetryMs;
  }
};

// A connection that a peer has opened. Only receives.
struct Mesh::IncomingConnection {
  Mesh* mesh = nullptr;
  uint64_t id = 0;
  BuffereventPtr socket;
  base::Address from;  // port 0 until the peer has sent the port that it listens on
};

Mesh::Mesh(base::Loop* loop, const base::Address& self, Handler handler)
    : loop_(loop), self_(self), handler_(std::move(handler)) {}

Mesh::~Mesh() {
  udp_event_.reset();
  if (udp_ >= 0) close(udp_);
}

base::Status Mesh::Listen() {
  auto opened = listener_.Open(loop_, self_, [this](int fd) { Accepted(fd); });
  if (!opened) return opened;
  udp_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(self_.port);
  inet_pton(AF_INET, self_.ip.c_str(), &at.sin_addr);
  if (udp_ < 0 || bind(udp_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    return base::Failure(base::ErrorCode::kIoError, "listen.udp", self_.ToString(),
                         std::strerror(errno));
  }
  udp_event_.reset(event_new(
      loop_->base(), udp_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Mesh*>(self)->ReadDatagrams(); }, this));
  event_add(udp_event_.get(), nullptr);
  idle_timer_.Repeat(loop_, kIdleMs / 4, [this] {
    base::Millis now = base::SteadyMillis();
    for (auto at = links_.begin(); at != links_.end();) {
      at = now - at->second->last_used > kIdleMs ? links_.erase(at) : std::next(at);
    }
  });
  return {};
}

void Mesh::ReadDatagrams() {
  char bytes[2048];
  for (int i = 0; i < 64; ++i) {  // bounded, so that other events are not delayed
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t n = recvfrom(udp_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < kDatagramHeaderBytes) {
      if (n < 0) return;
      continue;
    }
    MessageKind kind = static_cast<MessageKind>(bytes[4]);
    std::string_view payload(bytes + kDatagramHeaderBytes,
                             static_cast<size_t>(n) - kDatagramHeaderBytes);
    if (ReadUint32(reinterpret_cast<unsigned char*>(bytes)) != Checksum(kind, payload)) continue;
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
    handler_({text, ntohs(from.sin_port)}, kind, payload);
  }
}

bool Mesh::SendDatagram(const base::Address& to, MessageKind kind, std::string_view payload) {
  if (payload.size() + kDatagramHeaderBytes > kMaxDatagramBytes || udp_ < 0) return false;
  std::string bytes;
  bytes.reserve(payload.size() + kDatagramHeaderBytes);
  AppendUint32(&bytes, Checksum(kind, payload));
  bytes.push_back(static_cast<char>(kind));
  bytes.append(payload);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(to.port);
  if (inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr) != 1) return false;
  return sendto(udp_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&at), sizeof at) ==
         static_cast<ssize_t>(bytes.size());
}

Mesh::Link* Mesh::OpenLink(const base::Address& to) {
  std::unique_ptr<Link>& link = links_[to];
  if (!link) link = std::make_unique<Link>();
  base::Millis now = base::SteadyMillis();
  link->last_used = now;
  if (link->socket) return link.get();
  if (now < link->retry_at) return nullptr;
  int fd = StartConnect(to, kUserTimeoutMs, self_.ip);
  if (fd < 0) {
    link->Fail();
    return nullptr;
  }
  Link* opened = link.get();
  opened->socket.reset(bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      opened->socket.get(),
      [](bufferevent* b, void*) {  // peers send nothing on a link; discard
        evbuffer* input = bufferevent_get_input(b);
        evbuffer_drain(input, evbuffer_get_length(input));
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* link = static_cast<Link*>(arg);
        if (what & BEV_EVENT_CONNECTED) {
          link->connected = true;
          link->connect_timer.Cancel();
        } else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
          link->Fail();
        }
      },
      opened);
  bufferevent_socket_connect(opened->socket.get(), nullptr, 0);
  bufferevent_enable(opened->socket.get(), EV_READ | EV_WRITE);
  opened->connect_timer.Start(loop_, kConnectMs, [opened] { opened->Fail(); });
  // The peer identifies this process by its listening port, which is the first thing on a link.
  char port[2] = {static_cast<char>(self_.port & 0xff), static_cast<char>(self_.port >> 8)};
  bufferevent_write(opened->socket.get(), port, sizeof port);
  return opened;
}

// Logs at most once per kDropLogIntervalMs, with the number of drops that were not logged since.
bool Mesh::ReportDropped(const base::Address& to, MessageKind kind, size_t bytes, const char* why) {
  base::Millis now = base::SteadyMillis();
  if (drop_logged_at_ != 0 && now - drop_logged_at_ < kDropLogIntervalMs) {
    ++unlogged_drops_;
    return false;
  }
  base::Warn("frame.dropped", {{"peer", to.ToString()},
                               {"kind", static_cast<int>(kind)},
                               {"bytes", bytes},
                               {"why", why},
                               {"untold", unlogged_drops_}});
  drop_logged_at_ = now;
  unlogged_drops_ = 0;
  return false;
}

bool Mesh::Send(const base::Address& to, MessageKind kind, std::string_view payload) {
  if (payload.size() > kMaxFrameBytes)
    return ReportDropped(to, kind, payload.size(), "larger than the frame limit");
  Link* link = OpenLink(to);
  if (!link) return false;
  evbuffer* out = bufferevent_get_output(link->socket.get());
  if (evbuffer_get_length(out) + payload.size() > kMaxQueuedBytes) {
    return ReportDropped(to, kind, payload.size(), "send queue is full, the peer does not read");
  }
  std::string header;
  AppendUint32(&header, static_cast<uint32_t>(payload.size()));
  AppendUint32(&header, Checksum(kind, payload));
  header.push_back(static_cast<char>(kind));
  evbuffer_add(out, header.data(), header.size());
  evbuffer_add(out, payload.data(), payload.size());
  return true;
}

void Mesh::Accepted(int fd) {
  if (incoming_.size() >= kMaxIncomingConnections) {
    close(fd);
    return;
  }
  ConfigureSocket(fd, kUserTimeoutMs);
  // An accepted connection sends nothing, so no unacknowledged byte reveals that the peer's host is
  // lost; keep-alive probes do.
  int one = 1, idle_s = 5, interval_s = 2, probes = 2;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  auto accepted = std::make_unique<IncomingConnection>();
  IncomingConnection* incoming = accepted.get();
  incoming->mesh = this;
  incoming->id = next_id_++;
  incoming->from.ip = PeerAddress(fd).ip;
  incoming->socket.reset(bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      incoming->socket.get(),
      [](bufferevent*, void* arg) {
        auto* incoming = static_cast<IncomingConnection*>(arg);
        if (!incoming->mesh->ReadFrames(incoming)) incoming->mesh->incoming_.erase(incoming->id);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* incoming = static_cast<IncomingConnection*>(arg);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) incoming->mesh->incoming_.erase(incoming->id);
      },
      incoming);
  bufferevent_enable(incoming->socket.get(), EV_READ);
  incoming_.emplace(incoming->id, std::move(accepted));
}

// Passes the complete frames to the handler. Returns false if the bytes are not a valid frame; the
// caller then closes the connection.
bool Mesh::ReadFrames(IncomingConnection* incoming) {
  evbuffer* buffer = bufferevent_get_input(incoming->socket.get());
  if (incoming->from.port == 0) {
    unsigned char port[2];
    if (evbuffer_get_length(buffer) < 2) return true;
    evbuffer_remove(buffer, port, 2);
    incoming->from.port = static_cast<uint16_t>(port[0] | port[1] << 8);
  }
  for (;;) {
    unsigned char header[kFrameHeaderBytes];
    if (evbuffer_copyout(buffer, header, kFrameHeaderBytes) <
        static_cast<ssize_t>(kFrameHeaderBytes))
      return true;
    size_t size = ReadUint32(header);
    if (size > kMaxFrameBytes) return false;
    if (evbuffer_get_length(buffer) < kFrameHeaderBytes + size) return true;
    evbuffer_drain(buffer, kFrameHeaderBytes);
    std::string payload(size, '\0');
    evbuffer_remove(buffer, payload.data(), size);
    MessageKind kind = static_cast<MessageKind>(header[8]);
    if (ReadUint32(header + 4) != Checksum(kind, payload)) {
      base::Warn("frame.damaged", {{"peer", incoming->from.ToString()}});
      return false;
    }
    handler_(incoming->from, kind, payload);
  }
}

}  // namespace elderkeel::transport
