#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "transport/frame.h"
#include "transport/socket.h"

namespace elderkeel::transport {

// Sends and receives messages between elderkeel processes: frames over TCP for messages that are
// large or must stay in order, UDP datagrams for small ones that may be lost. A process is
// identified by the address that it listens on. Delivery is not guaranteed: messages to an
// unreachable peer are dropped, and the components that send them repeat what must arrive.
// ClusterNode owns one per process; it runs on the event loop.
class Mesh {
 public:
  // Called for each message received. `payload` is valid only during the call.
  using Handler =
      std::function<void(const base::Address& from, MessageKind kind, std::string_view payload)>;

  // `self`: the address to listen on, by which peers identify this process.
  Mesh(base::Loop* loop, const base::Address& self, Handler handler);
  ~Mesh();

  // Opens the TCP listener and the UDP socket. Returns an error if either can't be bound.
  base::Status Listen();
  // Queues a frame on the link to `to` and connects if necessary. Returns false if the frame was
  // dropped: no connection can be started, the peer does not read and its queue is full, or the
  // payload exceeds kMaxFrameBytes; the last two are logged as frame.dropped. True does not mean
  // that the peer receives the frame.
  bool Send(const base::Address& to, MessageKind kind, std::string_view payload);
  // Returns false if the payload is too large for a datagram or the kernel did not accept it.
  bool SendDatagram(const base::Address& to, MessageKind kind, std::string_view payload);

  template <class Message>
  bool Send(const base::Address& to, MessageKind kind, const Message& message) {
    return Send(to, kind, std::string_view(Encode(message)));
  }
  template <class Message>
  bool SendDatagram(const base::Address& to, MessageKind kind, const Message& message) {
    return SendDatagram(to, kind, std::string_view(Encode(message)));
  }

 private:
  struct Link;                // an outgoing connection
  struct IncomingConnection;  // an accepted connection
  void Accepted(int fd);
  // Returns the link to `to`, and starts to connect if it has no socket. Returns nullptr if
  // connecting fails at once, or if the back-off after an earlier failure is not over.
  Link* OpenLink(const base::Address& to);
  void ReadDatagrams();
  bool ReadFrames(IncomingConnection* incoming);
  // Logs frame.dropped and returns false.
  bool ReportDropped(const base::Address& to, MessageKind kind, size_t bytes, const char* why);

  base::Loop* loop_;
  base::Address self_;
  Handler handler_;
  Listener listener_;
  int udp_ = -1;
  base::EventPtr udp_event_;
  base::Timer idle_timer_;
  std::map<base::Address, std::unique_ptr<Link>> links_;
  std::map<uint64_t, std::unique_ptr<IncomingConnection>> incoming_;
  uint64_t next_id_ = 1;
  base::Millis drop_logged_at_ = 0;
  uint64_t unlogged_drops_ = 0;
};

}  // namespace elderkeel::transport
