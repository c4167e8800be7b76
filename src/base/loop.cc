#include "base/loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "base/random.h"

namespace elderkeel::base {

Loop::Loop() {
  signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                     &event_config_free);
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_NOLOCK);
  base_.reset(event_base_new_with_config(config.get()));
  if (!base_ || pipe2(pipe_, O_NONBLOCK | O_CLOEXEC) != 0) {
    std::fprintf(
        stderr,
        "event=loop.failed reason=\"the event loop or its wake-up pipe could not be created\"\n");
    std::exit(1);
  }
  wake_event_.reset(event_new(
      base_.get(), pipe_[0], EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->RunPosted(); }, this));
  event_add(wake_event_.get(), nullptr);
  deferred_event_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->RunDeferred(); }, this));
}

Loop::~Loop() {
  RunDeferred();
  wake_event_.reset();
  deferred_event_.reset();
  signals_.clear();
  close(pipe_[0]);
  close(pipe_[1]);
}

void Loop::Run() { event_base_loop(base_.get(), 0); }
void Loop::Stop() { event_base_loopbreak(base_.get()); }

void Loop::Post(std::function<void()> work) {
  bool first;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    first = posted_.empty();
    posted_.push_back(std::move(work));
  }
  // The write fails if the pipe is full; the loop then wakes up anyway, so no work is lost.
  if (first && write(pipe_[1], "w", 1) < 0) return;
}

void Loop::RunPosted() {
  char bytes[64];
  while (read(pipe_[0], bytes, sizeof bytes) > 0) {
  }
  std::vector<std::function<void()>> work;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    work.swap(posted_);
  }
  for (auto& item : work) item();
}

void Loop::Defer(std::function<void()> work) {
  if (deferred_.empty()) event_active(deferred_event_.get(), EV_TIMEOUT, 0);
  deferred_.push_back(std::move(work));
}

void Loop::RunDeferred() {
  std::vector<std::function<void()>> work;
  work.swap(deferred_);
  for (auto& item : work) item();
}

void Loop::OnSignal(int signal, std::function<void()> handle) {
  signal_handlers_.push_back(std::make_unique<std::function<void()>>(std::move(handle)));
  signals_.emplace_back(evsignal_new(
      base_.get(), signal,
      [](evutil_socket_t, short, void* handler) {
        (*static_cast<std::function<void()>*>(handler))();
      },
      signal_handlers_.back().get()));
  event_add(signals_.back().get(), nullptr);
}

Millis UntilMultiple(Millis now, Millis after, Millis every) {
  // A random offset for each process, so that the processes of a fleet don't all wake up at once.
  static const Millis kOffset = static_cast<Millis>(RandomSeed() % 1000);
  Millis due = now + std::max<Millis>(after, 0) + kOffset;
  return (due + every - 1) / every * every - kOffset - now;
}

void Timer::Fire(evutil_socket_t, short, void* self) {
  auto* timer = static_cast<Timer*>(self);
  if (timer->loop_) {
    // Wait for at least half a period: a timer that fired slightly early would otherwise fire
    // again at the same multiple.
    timer->Arm(timer->loop_, UntilMultiple(SteadyMillis(), timer->every_ / 2, timer->every_));
    timer->fire_();
    return;
  }
  // Moved out before the call, because the callback may restart or destroy this timer.
  std::function<void()> fire = std::move(timer->fire_);
  timer->fire_ = nullptr;
  fire();
}

void Timer::Arm(Loop* loop, Millis after) {
  if (after < 0) after = 0;
  if (!event_) event_.reset(event_new(loop->base(), -1, 0, &Timer::Fire, this));
  timeval tv{static_cast<time_t>(after / 1000), static_cast<suseconds_t>((after % 1000) * 1000)};
  event_add(event_.get(), &tv);
}

void Timer::Start(Loop* loop, Millis after, std::function<void()> fire) {
  loop_ = nullptr;
  fire_ = std::move(fire);
  Arm(loop, after);
}
void Timer::Repeat(Loop* loop, Millis every, std::function<void()> fire) {
  loop_ = loop;
  every_ = every;
  fire_ = std::move(fire);
  Arm(loop, UntilMultiple(SteadyMillis(), 1, every));
}
void Timer::Cancel() {
  if (event_) event_del(event_.get());
  fire_ = nullptr;
}
bool Timer::armed() const { return event_ && event_pending(event_.get(), EV_TIMEOUT, nullptr); }

}  // namespace elderkeel::base
