// Measures the cost of writing one telemetry record on the request path. Run by hand;
// docs/telemetry.md lists the results.
#include <cstdio>
#include <thread>

#include "telemetry/recorder.h"

namespace {

using namespace elderkeel;
using telemetry::Buffer;
using telemetry::Mode;

// Returns the mean nanoseconds per record for this number of writer threads on a buffer of `bytes`.
// With `read`, the calling thread reads the buffer meanwhile. Sets `lost_percent`.
double NanosPerRecord(int writers, Mode mode, bool read, size_t bytes, double* lost_percent) {
  Buffer<>::Options options;
  options.subbuffer_bytes = bytes / 8;
  options.mode = mode;
  Buffer<> buffer(options);
  constexpr int kRecordsPerWriter = 2000000;
  std::atomic<int> running{writers};
  std::atomic<uint64_t> sum{0};
  std::vector<std::thread> threads;
  for (int w = 0; w < writers; ++w) {
    threads.emplace_back([&] {
      telemetry::RequestRecord record;
      int64_t begun = base::SteadyNanos();
      for (int i = 0; i < kRecordsPerWriter; ++i) {
        record.total_us = static_cast<uint32_t>(i);
        buffer.Record(1, &record, sizeof record);
      }
      sum += static_cast<uint64_t>(base::SteadyNanos() - begun);
      --running;
    });
  }
  uint64_t read_bytes = 0;
  while (running > 0) {
    if (read) {
      while (auto chunk = buffer.Read()) read_bytes += chunk->size;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(read ? 20 : 1000));
  }
  for (auto& thread : threads) thread.join();
  *lost_percent = 100.0 * static_cast<double>(buffer.lost()) /
                  (static_cast<double>(kRecordsPerWriter) * writers);
  return static_cast<double>(sum) / (static_cast<double>(kRecordsPerWriter) * writers);
}

// Returns the mean nanoseconds of one reading of the steady clock.
double NanosPerClockReading() {
  int64_t begun = base::SteadyNanos(), sum = 0;
  for (int i = 0; i < 2000000; ++i) sum += base::SteadyNanos() & 1;
  return static_cast<double>(base::SteadyNanos() - begun + (sum & 1)) / 2000000;
}

}  // namespace

int main() {
  std::printf("reading the clock alone: %.1f ns\n", NanosPerClockReading());
  for (int writers : {1, 2, 4}) {
    for (Mode mode : {Mode::kFlightRecorder, Mode::kDiscard}) {
      for (size_t kib : {64, 4096}) {
        double lost = 0;
        double ns = NanosPerRecord(writers, mode, mode == Mode::kDiscard, kib << 10, &lost);
        std::printf("writers=%d mode=%s buffer_kib=%zu ns_per_record=%.1f lost_percent=%.2f\n",
                    writers, mode == Mode::kDiscard ? "discard,read" : "flight-recorder", kib, ns,
                    lost);
      }
    }
  }
}
