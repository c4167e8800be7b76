#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"

namespace elderkeel::base {

// Deleters and owning pointers for libevent objects.
struct EventBaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

// The event loop of a process, on top of libevent. It runs on one thread; other threads pass work
// to it with Post(). Except for Post(), its functions may be called on the loop's thread only. The
// constructor ignores SIGPIPE and exits the process if the loop can't be created.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const { return base_.get(); }
  // Runs events until Stop() is called.
  void Run();
  // Makes Run() return after the callback that is running.
  void Stop();
  // Runs `work` on the loop's thread. May be called from any thread. Work that has not run when the
  // loop is destroyed is dropped.
  void Post(std::function<void()> work);
  // Runs `work` in a later iteration of the loop, or at the latest in the destructor. Used to
  // destroy an object whose own callback is still on the stack. Call on the loop's thread only.
  void Defer(std::function<void()> work);
  // Calls `handle` on the loop's thread each time the signal arrives.
  void OnSignal(int signal, std::function<void()> handle);

 private:
  // Empties the pipe and runs the work passed to Post().
  void RunPosted();
  void RunDeferred();

  std::unique_ptr<event_base, EventBaseFree> base_;
  int pipe_[2] = {-1, -1};  // Post() writes to it to wake the loop
  EventPtr wake_event_;
  std::mutex mutex_;  // guards posted_
  std::vector<std::function<void()>> posted_;
  std::vector<std::function<void()>> deferred_;
  EventPtr deferred_event_;
  std::vector<std::unique_ptr<std::function<void()>>> signal_handlers_;
  std::vector<EventPtr> signals_;
};

// A one-shot or repeating timer of a loop; destroying it cancels it. Used on the loop's thread
// only.
class Timer {
 public:
  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  // Calls `fire` once, `after` ms from now. Replaces what the timer was set to before.
  void Start(Loop* loop, Millis after, std::function<void()> fire);
  // Calls `fire` at multiples of `every` ms, counted from an offset that is the same for the whole
  // process. Timers whose periods are equal or divide each other thus fire in one wake-up.
  void Repeat(Loop* loop, Millis every, std::function<void()> fire);
  void Cancel();
  // Whether the timer is waiting to fire.
  bool armed() const;

 private:
  void Arm(Loop* loop, Millis after);
  static void Fire(evutil_socket_t, short, void* self);

  EventPtr event_;
  std::function<void()> fire_;
  Loop* loop_ = nullptr;  // set for a repeating timer only
  Millis every_ = 0;
};

// Returns the time in ms from `now` to the first multiple of `every`, as Timer::Repeat counts them,
// that is at least `after` ms later. REQUIRES: every > 0.
Millis UntilMultiple(Millis now, Millis after, Millis every);

}  // namespace elderkeel::base
