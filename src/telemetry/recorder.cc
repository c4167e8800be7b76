#include "telemetry/recorder.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "base/log.h"

namespace elderkeel::telemetry {
namespace {

// Bounds of the lines kept in memory.
constexpr size_t kRetainedRequestBytes = 96 << 10;
constexpr size_t kRetainedControlBytes = 32 << 10;
constexpr size_t kRetainedFailureBytes = 32 << 10;
constexpr int64_t kClockStepNs = 50'000'000;  // smaller steps of the wall clock are not recorded
constexpr int kMaxStalledReads = 2;           // in a row, before the writers switch buffers

// Divides `bytes` into sub-buffers of at least 1 KiB.
Buffer<>::Options MakeBufferOptions(size_t bytes, Mode mode) {
  Buffer<>::Options options;
  options.subbuffers = 8;
  options.subbuffer_bytes = std::max<size_t>(1024, bytes / options.subbuffers);
  options.mode = mode;
  return options;
}

void AppendField(std::string* line, const char* key, std::string_view value) {
  line->push_back(' ');
  line->append(key);
  line->push_back('=');
  base::AppendLogValue(line, value);
}
void AppendField(std::string* line, const char* key, int64_t value) {
  AppendField(line, key, std::string_view(std::to_string(value)));
}

// Removes the oldest lines until at most `bytes` bytes are left. Returns the number of removed
// lines.
uint64_t KeepNewest(std::string* lines, size_t bytes) {
  if (lines->size() <= bytes) return 0;
  size_t cut = lines->find('\n', lines->size() - bytes);
  size_t end = cut == std::string::npos ? 0 : cut + 1;
  auto removed = std::count(lines->begin(), lines->begin() + static_cast<long>(end), '\n');
  lines->erase(0, end);
  return static_cast<uint64_t>(removed);
}

class StdoutSink : public Sink {
 public:
  bool Write(std::string_view text) override {
    // If the reader of the pipe stops, a blocking write would stall the exporter and its buffers
    // would fill up. So wait at most 50 ms for each block.
    while (!text.empty()) {
      pollfd wait{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&wait, 1, 50) != 1) return false;
      size_t n = std::min<size_t>(text.size(), 4096);
      ssize_t written = write(STDOUT_FILENO, text.data(), n);
      if (written <= 0) return false;
      text.remove_prefix(static_cast<size_t>(written));
    }
    return true;
  }
};

class FileSink : public Sink {
 public:
  FileSink(std::string path, size_t limit) : path_(std::move(path)), limit_(limit) { Open(); }
  ~FileSink() override {
    if (fd_ >= 0) close(fd_);
  }
  bool Write(std::string_view text) override {
    if (fd_ < 0) Open();
    if (fd_ < 0) return false;
    if (size_ + text.size() > limit_) {
      close(fd_);
      rename(path_.c_str(), (path_ + ".old").c_str());
      Open();
      if (fd_ < 0) return false;
    }
    ssize_t written = write(fd_, text.data(), text.size());
    if (written != static_cast<ssize_t>(text.size())) {
      close(fd_);
      fd_ = -1;  // opened again at the next export
      return false;
    }
    size_ += text.size();
    return true;
  }

 private:
  void Open() {
    fd_ = open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    off_t end = fd_ >= 0 ? lseek(fd_, 0, SEEK_END) : 0;
    size_ = end > 0 ? static_cast<size_t>(end) : 0;
  }
  std::string path_;
  size_t limit_;
  int fd_ = -1;
  size_t size_ = 0;
};

class CallSink : public Sink {
 public:
  explicit CallSink(std::function<bool(std::string)> write) : write_(std::move(write)) {}
  bool Write(std::string_view text) override { return write_(std::string(text)); }

 private:
  std::function<bool(std::string)> write_;
};

const char* EventName(ControlRecord::EventType type) {
  switch (type) {
    case ControlRecord::EventType::kVersion:
      return "version.adopted";
    case ControlRecord::EventType::kDraining:
      return "server.draining";
    case ControlRecord::EventType::kGone:
      return "server.gone";
    case ControlRecord::EventType::kProbe:
      return "server.probed";
    case ControlRecord::EventType::kEjected:
      return "server.ejected";
    case ControlRecord::EventType::kReturned:
      return "server.returned";
    case ControlRecord::EventType::kClock:
      return "clock.stepped";
  }
  return "unknown";
}

}  // namespace

const char* StepName(Step step) {
  switch (step) {
    case Step::kNone:
      return "none";
    case Step::kAdmission:
      return "admission";
    case Step::kWait:
      return "wait";
    case Step::kConnect:
      return "connect";
    case Step::kSend:
      return "send";
    case Step::kAnswer:
      return "answer";
    case Step::kDeadline:
      return "deadline";
    case Step::kClient:
      return "client";
  }
  return "unknown";
}

void NameTable::Set(Kind kind, uint32_t index, const std::string& name) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& names = names_[kind];
  if (index >= names.size()) names.resize(index + 1);
  names[index] = name;
}

std::string NameTable::Get(Kind kind, uint32_t index) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return index < names_[kind].size() ? names_[kind][index] : std::string("none");
}

Channel::Channel(Buffer<>::Options options)
    : buffers_{std::make_unique<Buffer<>>(options), std::make_unique<Buffer<>>(options)},
      current_(buffers_[0].get()) {}

uint64_t Channel::lost() const { return buffers_[0]->lost() + buffers_[1]->lost(); }

void Channel::SwitchIfStalled() {
  Buffer<>* active = current_.load(std::memory_order_acquire);
  Buffer<>* standby = active == buffers_[0].get() ? buffers_[1].get() : buffers_[0].get();
  stalled_reads_ = active->Stalled() ? stalled_reads_ + 1 : 0;
  if (stalled_reads_ >= kMaxStalledReads && !standby->Stalled()) {
    current_.store(standby, std::memory_order_release);
    stalled_reads_ = 0;
  }
}

std::unique_ptr<Sink> MakeStdoutSink() { return std::make_unique<StdoutSink>(); }
std::unique_ptr<Sink> MakeFileSink(const std::string& path, size_t limit) {
  return std::make_unique<FileSink>(path, limit);
}
std::unique_ptr<Sink> MakeCallSink(std::function<bool(std::string)> write) {
  return std::make_unique<CallSink>(std::move(write));
}

Recorder::Recorder(Options options, std::unique_ptr<Sink> sink)
    : options_(options),
      requests_(MakeBufferOptions(options.requests_bytes, Mode::kFlightRecorder)),
      failures_(MakeBufferOptions(options.failures_bytes, Mode::kDiscard)),
      control_(MakeBufferOptions(options.control_bytes, Mode::kDiscard)),
      sink_(std::move(sink)),
      clock_offset_(base::WallNanos() - base::SteadyNanos()),
      thread_([this] { Run(); }) {}

Recorder::~Recorder() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
  Export();
}

void Recorder::Flush() { Export(); }

Recorder::Counts Recorder::counts() const {
  Counts counts;
  counts.lost = failures_.lost() + control_.lost();
  counts.unsent = unsent_.load(std::memory_order_relaxed);
  counts.exported = exported_.load(std::memory_order_relaxed);
  return counts;
}

void Recorder::ReadRecords(std::function<void(RetainedRecords)> done) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    pending_reads_.push_back(std::move(done));
  }
  wake_.notify_one();
}

void Recorder::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    // Woken by the timeout, ReadRecords or the destructor; writers never wake the exporter.
    wake_.wait_for(lock, std::chrono::milliseconds(options_.flush_ms),
                   [this] { return stopping_ || !pending_reads_.empty(); });
    std::vector<std::function<void(RetainedRecords)>> reads;
    reads.swap(pending_reads_);
    lock.unlock();
    Export();
    if (!reads.empty()) {
      {
        std::lock_guard<std::mutex> export_lock(export_mutex_);
        requests_.Read([this](const Buffer<>::RecordHeader& h, const std::byte* payload) {
          RequestRecord record;
          std::memcpy(&record, payload, sizeof record);
          AppendLine(record, "request.done", h.time, &retained_requests_);
        });
        KeepNewest(&retained_requests_, kRetainedRequestBytes);
      }
      for (auto& done : reads) {
        done({retained_control_ + retained_requests_, retained_failures_,
              failures_dropped_ + failures_.lost()});
      }
    }
    lock.lock();
  }
}

// Writes a record if the wall clock has stepped against the steady clock, which orders the records.
// Without it, a step would distort the comparison of records of several nodes unnoticed.
void Recorder::RecordClockStep() {
  int64_t offset = base::WallNanos() - base::SteadyNanos();
  if (std::abs(offset - clock_offset_) > kClockStepNs) {
    ControlRecord record;
    record.type = ControlRecord::EventType::kClock;
    record.value = offset - clock_offset_;
    control_.Write(record);
  }
  clock_offset_ = offset;
}

void Recorder::Export() {
  std::lock_guard<std::mutex> export_lock(export_mutex_);
  RecordClockStep();
  std::string text;
  uint64_t lines = 0;
  failures_.Read([&](const Buffer<>::RecordHeader& h, const std::byte* payload) {
    RequestRecord record;
    std::memcpy(&record, payload, sizeof record);
    size_t begin = text.size();
    AppendLine(record, "request.failed", h.time, &text);
    retained_failures_.append(text, begin);
    ++lines;
  });
  failures_dropped_ += KeepNewest(&retained_failures_, kRetainedFailureBytes);
  control_.Read([&](const Buffer<>::RecordHeader& h, const std::byte* payload) {
    ControlRecord record;
    std::memcpy(&record, payload, sizeof record);
    size_t begin = text.size();
    AppendLine(record, h.time, &text);
    retained_control_.append(text, begin);
    ++lines;
  });
  KeepNewest(&retained_control_, kRetainedControlBytes);
  uint64_t lost = failures_.lost() + control_.lost() + unsent_.load(std::memory_order_relaxed);
  if (lost != lost_reported_) {
    text += "event=telemetry.lost";
    AppendField(&text, "records", static_cast<int64_t>(lost));
    text += "\n";
    ++lines;
  }
  if (text.empty()) return;
  if (sink_->Write(text)) {
    lost_reported_ = lost;
    exported_.fetch_add(lines, std::memory_order_relaxed);
  } else {
    unsent_.fetch_add(lines, std::memory_order_relaxed);
  }
}

void Recorder::AppendLine(const RequestRecord& r, const char* event, uint64_t time,
                          std::string* out) const {
  out->append("event=").append(event);
  AppendField(out, "at_us", static_cast<int64_t>(time / 1000));
  AppendField(out, "attempt", std::string_view(r.attempt));
  AppendField(out, "status", r.status);
  AppendField(out, "step", StepName(r.step));
  AppendField(out, "reason", std::string_view(r.reason));
  AppendField(out, "route", names_.Get(NameTable::kRoute, r.route));
  AppendField(out, "service", names_.Get(NameTable::kService, r.service));
  AppendField(out, "server", names_.Get(NameTable::kServer, r.server));
  if (r.version != UINT32_MAX)
    AppendField(out, "version", names_.Get(NameTable::kVersion, r.version));
  AppendField(out, "sends", r.sends);
  AppendField(out, "total_us", r.total_us);
  AppendField(out, "waited_us", r.waited_us);
  AppendField(out, "revision", r.revision);
  out->push_back('\n');
}

void Recorder::AppendLine(const ControlRecord& r, uint64_t time, std::string* out) const {
  out->append("event=").append(EventName(r.type));
  AppendField(out, "at_us", static_cast<int64_t>(time / 1000));
  if (r.server != UINT32_MAX) AppendField(out, "server", names_.Get(NameTable::kServer, r.server));
  AppendField(out, "good", r.healthy);
  AppendField(out, "number", r.value);
  out->push_back('\n');
}

}  // namespace elderkeel::telemetry
