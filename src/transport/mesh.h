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

// Messages between our own processes: frames over TCP for what is large or must keep its order,
// datagrams for what is small and may be lost. A process is known by the address that it listens
// on. Nothing is kept for a peer that can't be reached; what must arrive is mended by the slices.
class Mesh {
 public:
  using Handler =
      std::function<void(const base::Address& from, Kind kind, std::string_view payload)>;

  Mesh(base::Loop* loop, const base::Address& self, Handler handler);
  ~Mesh();

  base::Status Listen();
  // False if the frame was dropped: the peer can't be reached, does not read (an event, with what
  // waits for it), or the frame is larger than kMaxFrame (an event).
  bool Send(const base::Address& to, Kind kind, std::string_view payload);
  bool SendDatagram(const base::Address& to, Kind kind, std::string_view payload);

  template <class Message>
  bool Send(const base::Address& to, Kind kind, const Message& message) {
    return Send(to, kind, std::string_view(Encode(message)));
  }
  template <class Message>
  bool SendDatagram(const base::Address& to, Kind kind, const Message& message) {
    return SendDatagram(to, kind, std::string_view(Encode(message)));
  }

 private:
  struct Link;
  struct Incoming;
  void Accepted(int fd);
  Link* OpenLink(const base::Address& to);
  void ReadDatagrams();
  bool ReadFrames(Incoming* incoming);
  bool Drop(const base::Address& to, Kind kind, size_t bytes, const char* why);

  base::Loop* loop_;
  base::Address self_;
  Handler handler_;
  Listener listener_;
  int udp_ = -1;
  base::EventPtr udp_event_;
  base::Timer idle_timer_;
  std::map<base::Address, std::unique_ptr<Link>> links_;
  std::map<uint64_t, std::unique_ptr<Incoming>> incoming_;
  uint64_t next_id_ = 1;
  base::Millis drop_logged_at_ = 0;
  uint64_t unlogged_drops_ = 0;
};

}  // namespace elderkeel::transport
