#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace elderkeel::base {

// An in-memory log of the events of one module. Append passes each event to every registered view
// before it returns, so views miss no event. Only the newest `capacity` events are kept, for the
// status report. Not thread-safe: used on the event loop.
template <class Event>
class Journal {
 public:
  // Called with each appended event and its sequence number.
  using View = std::function<void(uint64_t sequence, const Event&)>;

  explicit Journal(size_t capacity = 256) : capacity_(capacity) {}

  void AddView(View view) { views_.push_back(std::move(view)); }
  // Returns the sequence number of the event; the first event has number 1.
  uint64_t Append(Event event) {
    recent_.push_back(std::move(event));
    ++sequence_;
    for (auto& view : views_) view(sequence_, recent_.back());
    if (recent_.size() > capacity_) recent_.pop_front();
    return sequence_;
  }
  // Sequence number of the newest event; 0 if there was none.
  uint64_t sequence() const { return sequence_; }
  // The kept events, oldest first.
  const std::deque<Event>& recent() const { return recent_; }

 private:
  size_t capacity_;
  uint64_t sequence_ = 0;
  std::deque<Event> recent_;
  std::vector<View> views_;
};

}  // namespace elderkeel::base
