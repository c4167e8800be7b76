#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "telemetry/buffer.h"

namespace elderkeel::telemetry {

// Steps at which the fate of a request was decided.
enum class Step : uint8_t {
  kNone,
  kAdmission,  // before a server was chosen
  kWait,       // while it waited for a server's slot
  kConnect,
  kSend,
  kAnswer,
  kDeadline,
  kClient,  // the client left
};
const char* StepName(Step step);

// One request, from its head to its answer. Names are dense indices; the exporter writes them out.
struct RequestRecord {
  static constexpr uint32_t kType = 1;
  char attempt[40] = {};
  char reason[40] = {};
  int64_t revision = 0;
  uint32_t route = UINT32_MAX;
  uint32_t service = UINT32_MAX;
  uint32_t server = UINT32_MAX;
  uint32_t version = UINT32_MAX;  // of that server's software
  uint32_t total_us = 0;
  uint32_t waited_us = 0;
  uint16_t status = 0;
  uint8_t sends = 0;
  Step step = Step::kNone;

  void SetAttempt(std::string_view text) { Copy(attempt, sizeof attempt, text); }
  void SetReason(std::string_view text) { Copy(reason, sizeof reason, text); }

 private:
  static void Copy(char* to, size_t size, std::string_view text) {
    size_t n = std::min(text.size(), size - 1);
    std::memcpy(to, text.data(), n);
    to[n] = '\0';
  }
};

// Something that concerns the node and no single request.
struct ControlRecord {
  static constexpr uint32_t kType = 2;
  enum class What : uint8_t { kVersion, kDraining, kGone, kProbe, kEjected, kReturned, kClock };
  What what = What::kVersion;
  uint8_t good = 0;
  uint32_t server = UINT32_MAX;
  int64_t number = 0;  // revision, failures, or the clock's offset in ns
};

// Names of dense indices, for the exporter. Written when a name is new, never on a request's path.
class NameTable {
 public:
  enum Kind { kRoute, kService, kServer, kVersion, kKinds };
  void Set(Kind kind, uint32_t index, const std::string& name);
  std::string Get(Kind kind, uint32_t index) const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> names_[kKinds];
};

// A buffer and its stand-in. A writer that stalls between reserve and commit keeps its buffer from
// being read on or written over; writers then move to the other one, and come back to the first
// once it is whole again. So a stalled writer costs at most what one buffer holds.
class Channel {
 public:
  explicit Channel(Buffer<>::Options options);

  template <class Record>
  bool Write(const Record& record) {
    return current_.load(std::memory_order_acquire)->Record(Record::kType, &record, sizeof record);
  }
  // The exporter's turn: reads all that is committed, oldest first, and moves the writers to the
  // stand-in if theirs is stalled.
  template <class Visit>
  void Read(Visit visit) {
    for (auto& buffer : buffers_) {
      buffer->ForceSwitch();
      while (auto chunk = buffer->Read()) chunk->ForEach(visit);
    }
    Review();
  }
  uint64_t lost() const;
  Buffer<>* current() { return current_.load(std::memory_order_acquire); }

 private:
  void Review();

  std::unique_ptr<Buffer<>> buffers_[2];
  std::atomic<Buffer<>*> current_;
  int stalled_turns_ = 0;
};

// Where finished lines go. Called on the exporter's thread only.
class Sink {
 public:
  virtual ~Sink() = default;
  // False if the text could not be taken at once; it is then lost, and counted.
  virtual bool Write(std::string_view text) = 0;
};
std::unique_ptr<Sink> MakeStdoutSink();
// Appends to `path` and starts it anew, keeping one old file, when it has grown to `limit` bytes.
std::unique_ptr<Sink> MakeFileSink(const std::string& path, size_t limit);
// Hands lines to another thread's queue.
std::unique_ptr<Sink> MakeCallSink(std::function<bool(std::string)> take);

// All channels of one request thread, and the exporter.
//   requests: flight recorder; every request, kept in memory and taken on demand
//   failures: discard; every request that failed or was refused, exported
//   control:  discard; versions, drains, probes, exported
class Recorder {
 public:
  struct Options {
    size_t requests_bytes = 64 << 10;
    size_t failures_bytes = 16 << 10;
    size_t control_bytes = 8 << 10;
    base::Millis flush_ms = 500;
  };
  Recorder(Options options, std::unique_ptr<Sink> sink);
  ~Recorder();

  void Request(const RequestRecord& record, bool failed) {
    requests_.Write(record);
    if (failed) failures_.Write(record);
  }
  void Control(const ControlRecord& record) { control_.Write(record); }
  NameTable& names() { return names_; }

  // What is kept in memory, as lines.
  struct Kept {
    std::string records;   // the newest about the node itself, and of all requests
    std::string failures;  // the newest requests that failed or were refused
    uint64_t missing = 0;  // failures of this life that are not among them any more
  };
  // Takes what the recorder keeps, on the exporter's thread; then calls `done` there.
  void TakeRecords(std::function<void(Kept)> done);
  // One export now, by the caller, when no exporter runs; for the end of a process.
  void Flush();
  struct Counts {
    uint64_t lost = 0;      // records that found no place
    uint64_t unsent = 0;    // lines that the sink did not take
    uint64_t exported = 0;  // lines that it took
  };
  Counts counts() const;

 private:
  void Run();
  void Export();
  void RecordClock();
  void Line(const RequestRecord& r, const char* event, uint64_t time, std::string* out) const;
  void Line(const ControlRecord& r, uint64_t time, std::string* out) const;

  Options options_;
  NameTable names_;
  Channel requests_, failures_, control_;
  std::unique_ptr<Sink> sink_;
  std::atomic<uint64_t> unsent_{0}, exported_{0};
  uint64_t lost_told_ = 0;
  int64_t clock_offset_ = 0;
  std::string kept_;           // the newest lines of `requests` already taken, bounded
  std::string kept_control_;   // the newest lines of `control`, bounded
  std::string kept_failures_;  // the same of `failures`
  uint64_t failures_dropped_ = 0;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::function<void(Kept)>> asked_;
  bool ending_ = false;
  std::mutex export_mutex_;  // one reader at a time
  std::thread thread_;
};

}  // namespace elderkeel::telemetry
