#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace elderkeel::base {

// The in-memory journal of a slice: events are appended, views are folded from them. It is lossless
// for its views (each event is folded before Append returns) and keeps the last few for `status`.
template <class Event>
class Journal {
 public:
  using Fold = std::function<void(uint64_t sequence, const Event&)>;

  explicit Journal(size_t keep = 256) : keep_(keep) {}

  void AddView(Fold fold) { views_.push_back(std::move(fold)); }
  uint64_t Append(Event event) {
    recent_.push_back(std::move(event));
    ++sequence_;
    for (auto& view : views_) view(sequence_, recent_.back());
    if (recent_.size() > keep_) recent_.pop_front();
    return sequence_;
  }
  uint64_t sequence() const { return sequence_; }
  const std::deque<Event>& recent() const { return recent_; }

 private:
  size_t keep_;
  uint64_t sequence_ = 0;
  std::deque<Event> recent_;
  std::vector<Fold> views_;
};

}  // namespace elderkeel::base
