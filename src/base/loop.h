#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"

namespace elderkeel::base {

struct EventBaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

// The event loop of a process: one thread, plus Post() for the few others to hand work back to it.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const { return base_.get(); }
  void Run();
  void Stop();
  // Safe to call from any thread.
  void Post(std::function<void()> work);
  // Runs `work` in a later turn of the loop; for the loop's own thread. Objects that are still on
  // the stack of their own callback are destroyed this way.
  void Defer(std::function<void()> work);
  // Calls `handle` on the loop when the signal arrives.
  void OnSignal(int signal, std::function<void()> handle);

 private:
  void Drain();
  void RunDeferred();

  std::unique_ptr<event_base, EventBaseFree> base_;
  int pipe_[2] = {-1, -1};
  EventPtr wake_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::vector<std::function<void()>> deferred_;
  EventPtr defer_;
  std::vector<std::unique_ptr<std::function<void()>>> signal_handlers_;
  std::vector<EventPtr> signals_;
};

// A one-shot or repeating timer; destroying it cancels it.
class Timer {
 public:
  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Start(Loop* loop, Millis after, std::function<void()> fire);
  // At whole multiples of `every`, counted from one moment for the whole process: timers of the
  // same period, or of one that divides it, wake the process once.
  void Repeat(Loop* loop, Millis every, std::function<void()> fire);
  void Cancel();
  bool armed() const;

 private:
  void Arm(Loop* loop, Millis after);
  static void Fire(evutil_socket_t, short, void* self);

  EventPtr event_;
  std::function<void()> fire_;
  Loop* loop_ = nullptr;  // set while it repeats
  Millis every_ = 0;
};

// How long from `now` until the next whole multiple of `every` that is at least `after` away, as
// Timer::Repeat counts them.
Millis UntilMultiple(Millis now, Millis after, Millis every);

}  // namespace elderkeel::base
