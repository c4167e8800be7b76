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

// The step of request processing that determined the outcome of a request.
enum class Step : uint8_t {
  kNone,
  kAdmission,  // before a server was selected
  kWait,       // while queued for a server with free capacity
  kConnect,
  kSend,
  kAnswer,
  kDeadline,
  kClient,  // the client disconnected
};
// Returns the name of a step as written to the records.
const char* StepName(Step step);

// The record of one request, written when it ends. Names are stored as dense indices; the exporter
// replaces them by the names in the NameTable. UINT32_MAX stands for no index.
struct RequestRecord {
  static constexpr uint32_t kType = 1;
  char attempt[40] = {};
  char reason[40] = {};
  int64_t revision = 0;
  uint32_t route = UINT32_MAX;
  uint32_t service = UINT32_MAX;
  uint32_t server = UINT32_MAX;
  uint32_t version = UINT32_MAX;  // of the server's software
  uint32_t total_us = 0;          // from the arrival to the end of the request
  uint32_t waited_us = 0;         // of that, time in the queue
  uint16_t status = 0;
  uint8_t sends = 0;  // how often the request was sent to a server
  Step step = Step::kNone;

  // The texts are truncated to the size of their field.
  void SetAttempt(std::string_view text) { Copy(attempt, sizeof attempt, text); }
  void SetReason(std::string_view text) { Copy(reason, sizeof reason, text); }

 private:
  static void Copy(char* to, size_t size, std::string_view text) {
    size_t n = std::min(text.size(), size - 1);
    std::memcpy(to, text.data(), n);
    to[n] = '\0';
  }
};

// The record of an event of the node that is not part of a request.
struct ControlRecord {
  static constexpr uint32_t kType = 2;
  enum class EventType : uint8_t {
    kVersion,
    kDraining,
    kGone,
    kProbe,
    kEjected,
    kReturned,
    kClock
  };
  EventType type = EventType::kVersion;
  uint8_t healthy = 0;  // for kProbe: 1 if the server is healthy
  uint32_t server = UINT32_MAX;
  int64_t value = 0;  // for kVersion the revision, for kClock the clock's step in ns; else 0
};

// The names of the dense indices, for the exporter. Thread-safe. It is updated when the
// configuration or the list of servers changes, never while a request is processed.
class NameTable {
 public:
  enum Kind { kRoute, kService, kServer, kVersion, kKinds };
  void Set(Kind kind, uint32_t index, const std::string& name);
  // Returns "none" for an index without a name.
  std::string Get(Kind kind, uint32_t index) const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> names_[kKinds];
};

// A pair of buffers: the writers use one, the other one is on standby. A writer that stalls between
// reserve and commit blocks the reader and the overwriting of its buffer. The other writers then
// switch to the standby buffer. They switch back when that one stalls while the first one no longer
// does. So a stalled writer costs at most the contents of one buffer.
class Channel {
 public:
  explicit Channel(Buffer<>::Options options);

  template <class Record>
  bool Write(const Record& record) {
    return current_.load(std::memory_order_acquire)->Record(Record::kType, &record, sizeof record);
  }
  // Called by the exporter: reads the records of all fully committed sub-buffers, oldest first for
  // each buffer. Switches the writers to the standby buffer if theirs was stalled at two calls in a
  // row.
  template <class Visit>
  void Read(Visit visit) {
    for (auto& buffer : buffers_) {
      buffer->ForceSwitch();
      while (auto chunk = buffer->Read()) chunk->ForEach(visit);
    }
    SwitchIfStalled();
  }
  // Number of records lost since the start, in both buffers.
  uint64_t lost() const;
  // The buffer that the writers use.
  Buffer<>* current() { return current_.load(std::memory_order_acquire); }

 private:
  void SwitchIfStalled();

  std::unique_ptr<Buffer<>> buffers_[2];
  std::atomic<Buffer<>*> current_;
  int stalled_reads_ = 0;  // consecutive reads that found the writers' buffer stalled
};

// The destination of exported lines. Called by one thread at a time: the exporter, or the thread
// that ends or flushes the recorder.
class Sink {
 public:
  virtual ~Sink() = default;
  // Returns false if the text can't be written now. The recorder then drops it and counts its
  // lines.
  virtual bool Write(std::string_view text) = 0;
};
// Writes to stdout. Write fails if stdout accepts no data for 50 ms.
std::unique_ptr<Sink> MakeStdoutSink();
// Appends to the file `path`. Before it would grow beyond `limit` bytes, the file is renamed to
// `path`.old, which replaces the previous one, and a new file is started.
std::unique_ptr<Sink> MakeFileSink(const std::string& path, size_t limit);
// Passes the text to `write` and returns its result.
std::unique_ptr<Sink> MakeCallSink(std::function<bool(std::string)> write);

// The telemetry of a node: the channels that the request thread writes to, and the exporter, a
// thread that reads them every `flush_ms` and writes lines to the sink.
//   requests: flight recorder mode; all requests, kept in memory and read on demand
//   failures: discard mode; all requests that failed or were rejected, exported
//   control:  discard mode; versions, drains, removed servers, probes and clock steps, exported
class Recorder {
 public:
  struct Options {
    size_t requests_bytes = 64 << 10;
    size_t failures_bytes = 16 << 10;
    size_t control_bytes = 8 << 10;
    base::Millis flush_ms = 500;
  };
  // Starts the exporter.
  Recorder(Options options, std::unique_ptr<Sink> sink);
  // Stops the exporter after a last export.
  ~Recorder();

  // Records a request that has ended. Does not block.
  void Request(const RequestRecord& record, bool failed) {
    requests_.Write(record);
    if (failed) failures_.Write(record);
  }
  // Records an event of the node. Does not block.
  void Control(const ControlRecord& record) { control_.Write(record); }
  NameTable& names() { return names_; }

  // The records kept in memory, one line each, oldest first within each kind.
  struct RetainedRecords {
    std::string records;   // the newest about the node, then the newest of all requests
    std::string failures;  // the newest requests that failed or were rejected
    uint64_t missing = 0;  // failures since the process started that are not in `failures`
  };
  // Calls `done` with the records kept in memory, on the exporter's thread. May be called from any
  // thread.
  void ReadRecords(std::function<void(RetainedRecords)> done);
  // Exports all committed records on the caller's thread, so that the last records of a process are
  // not lost. REQUIRES: no call of ReadRecords is pending.
  void Flush();
  struct Counts {
    uint64_t lost = 0;      // records dropped because a buffer had no room
    uint64_t unsent = 0;    // lines that the sink rejected
    uint64_t exported = 0;  // lines that the sink accepted
  };
  // Totals since the start, without the requests channel, which overwrites by design.
  Counts counts() const;

 private:
  void Run();
  void Export();
  void RecordClockStep();
  // Append a record as a line of key=value pairs. `time`: steady clock, ns.
  void AppendLine(const RequestRecord& r, const char* event, uint64_t time, std::string* out) const;
  void AppendLine(const ControlRecord& r, uint64_t time, std::string* out) const;

  Options options_;
  NameTable names_;
  Channel requests_, failures_, control_;
  std::unique_ptr<Sink> sink_;
  std::atomic<uint64_t> unsent_{0}, exported_{0};
  uint64_t lost_reported_ = 0;  // lost records, as of the last line that the sink accepted
  int64_t clock_offset_ = 0;    // wall clock minus steady clock, ns
  // The newest lines of each channel, bounded in size.
  std::string retained_requests_;  // of `requests`, as far as already read
  std::string retained_control_;
  std::string retained_failures_;
  uint64_t failures_dropped_ = 0;  // lines removed from retained_failures_

  std::mutex mutex_;  // guards the next three
  std::condition_variable wake_;
  std::vector<std::function<void(RetainedRecords)>> pending_reads_;
  bool stopping_ = false;
  std::mutex export_mutex_;  // the buffers allow one reader at a time
  std::thread thread_;
};

}  // namespace elderkeel::telemetry
