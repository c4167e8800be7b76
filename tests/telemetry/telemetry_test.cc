#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "telemetry/buffer.h"
#include "telemetry/recorder.h"

namespace elderkeel::telemetry {
namespace {

// The payload of the test records.
struct Event {
  uint32_t writer;
  uint32_t number;
};

template <class Word>
typename Buffer<Word>::Options MakeOptions(Mode mode, Word start = 0) {
  typename Buffer<Word>::Options options;
  options.subbuffer_bytes = 256;
  options.subbuffers = 4;
  options.mode = mode;
  options.start = start;
  return options;
}

template <class B>
bool Write(B* buffer, uint32_t writer, uint32_t number) {
  Event event{writer, number};
  return buffer->Record(1, &event, sizeof event);
}

template <class B>
std::vector<Event> ReadAll(B* buffer) {
  std::vector<Event> events;
  uint64_t before = 0;
  while (auto chunk = buffer->Read()) {
    chunk->ForEach([&](const typename B::RecordHeader& header, const std::byte* payload) {
      Event event;
      std::memcpy(&event, payload, sizeof event);
      events.push_back(event);
      EXPECT_GE(header.time, before);  // times never decrease in the order of the buffer
      before = header.time;
    });
  }
  return events;
}

// Guards against lost or reordered records when the free-running counts wrap around. The 32-bit
// counts start shortly below 2^32 and wrap early in the test.
TEST(TelemetryBuffer, KeepsAllRecordsInOrderWhenItsCountsWrap) {
  for (Mode mode : {Mode::kDiscard, Mode::kFlightRecorder}) {
    Buffer<uint32_t> buffer(MakeOptions<uint32_t>(mode, 0u - 4 * 1024u));
    uint32_t next = 0, read = 0;
    for (int turn = 0; turn < 200; ++turn) {
      for (int i = 0; i < 13; ++i) ASSERT_TRUE(Write(&buffer, 0, next++));
      if (turn % 3 == 0) buffer.ForceSwitch();
      for (const Event& event : ReadAll(&buffer)) ASSERT_EQ(event.number, read++);
    }
    EXPECT_GT(read, 2500u);
    EXPECT_LT(buffer.write_count(), 0x80000000u);  // the counts have wrapped
    EXPECT_EQ(buffer.lost(), 0u);
  }
}

// Guards against a full buffer that overwrites records in discard mode, drops new ones in flight
// recorder mode, or counts lost records wrongly.
TEST(TelemetryBuffer, FullBufferDropsNewOrOverwritesOldestRecords) {
  Buffer<> discard(MakeOptions<uint64_t>(Mode::kDiscard));
  Buffer<> recorder(MakeOptions<uint64_t>(Mode::kFlightRecorder));
  uint32_t taken = 0;
  for (uint32_t i = 0; i < 500; ++i) {
    taken += Write(&discard, 0, i);
    EXPECT_TRUE(Write(&recorder, 0, i));
  }
  EXPECT_EQ(discard.lost(), 500 - taken);
  discard.ForceSwitch();
  auto kept = ReadAll(&discard);
  ASSERT_EQ(kept.size(), taken);
  EXPECT_EQ(kept.front().number, 0u);
  EXPECT_EQ(kept.back().number, taken - 1);
  // The sub-buffer that begins after the loss holds the number of lost records.
  ASSERT_TRUE(Write(&discard, 0, 1000));
  discard.ForceSwitch();
  auto chunk = discard.Read();
  ASSERT_TRUE(chunk);
  EXPECT_EQ(chunk->lost, 500 - taken);

  recorder.ForceSwitch();
  auto newest = ReadAll(&recorder);
  EXPECT_EQ(newest.back().number, 499u);
  for (size_t i = 1; i < newest.size(); ++i) EXPECT_EQ(newest[i].number, newest[i - 1].number + 1);
  EXPECT_GE(newest.size(), 3u * 9);
}

// Guards against reading a slot that is not committed. A signal handler that records an event
// between reserve and commit of another record commits out of order.
TEST(TelemetryBuffer, NestedRecordsMayBeCommittedInAnyOrder) {
  Buffer<> buffer(MakeOptions<uint64_t>(Mode::kDiscard));
  auto outer = buffer.Reserve(sizeof(Event), 1);
  ASSERT_TRUE(outer);
  ASSERT_TRUE(Write(&buffer, 1, 7));  // as a signal handler does between reserve and commit
  buffer.ForceSwitch();
  EXPECT_FALSE(buffer.Read());  // the first slot is not committed yet
  EXPECT_TRUE(buffer.Stalled());
  Event event{0, 6};
  std::memcpy(outer->payload, &event, sizeof event);
  buffer.Commit(*outer);
  auto events = ReadAll(&buffer);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].number, 6u);
  EXPECT_EQ(events[1].number, 7u);
}

// Guards against a writer that stalls between reserve and commit and blocks the other writers, and
// against overwriting its slot.
TEST(TelemetryBuffer, StalledWriterCausesLostRecordsButBlocksNobody) {
  for (Mode mode : {Mode::kDiscard, Mode::kFlightRecorder}) {
    Buffer<> buffer(MakeOptions<uint64_t>(mode));
    auto stalled = buffer.Reserve(sizeof(Event), 1);
    uint32_t written = 0;
    for (uint32_t i = 0; i < 500; ++i) written += Write(&buffer, 1, i);
    EXPECT_LT(written, 60u);  // at most one lap: the uncommitted slot is not overwritten
    EXPECT_EQ(buffer.lost(), 500 - written);
    EXPECT_FALSE(buffer.Read());
    Event event{0, 0};
    std::memcpy(stalled->payload, &event, sizeof event);
    buffer.Commit(*stalled);
    buffer.ForceSwitch();
    EXPECT_EQ(ReadAll(&buffer).size(), written + 1);
    EXPECT_TRUE(Write(&buffer, 1, 501));
  }
}

// Guards against a forced switch that wastes a sub-buffer without records.
TEST(TelemetryBuffer, ForcedSwitchClosesOnlyASubbufferWithRecords) {
  Buffer<> buffer(MakeOptions<uint64_t>(Mode::kDiscard));
  buffer.ForceSwitch();
  EXPECT_EQ(buffer.write_count(), 0u);
  EXPECT_FALSE(buffer.Read());
  Write(&buffer, 0, 1);
  EXPECT_FALSE(buffer.Read());
  buffer.ForceSwitch();
  buffer.ForceSwitch();
  EXPECT_EQ(buffer.write_count(), 256u);
  EXPECT_EQ(ReadAll(&buffer).size(), 1u);
  EXPECT_TRUE(buffer.Drained());
}

// Guards against a record that crosses the end of its sub-buffer: one payload is too large, one
// fits exactly.
TEST(TelemetryBuffer, DropsRecordThatIsLargerThanASubbuffer) {
  Buffer<> buffer(MakeOptions<uint64_t>(Mode::kDiscard));
  std::vector<std::byte> large(buffer.MaxPayload() + 8);
  EXPECT_FALSE(buffer.Record(1, large.data(), large.size()));
  EXPECT_EQ(buffer.lost(), 1u);
  EXPECT_TRUE(buffer.Record(1, large.data(), buffer.MaxPayload()));  // fills a sub-buffer exactly
  EXPECT_TRUE(Write(&buffer, 0, 1));
  buffer.ForceSwitch();
  EXPECT_TRUE(buffer.Read());
  EXPECT_EQ(ReadAll(&buffer).size(), 1u);
}

// Several writers run concurrently with a reader that forces switches. Guards against races that
// damage records, reorder those of one writer, or, in discard mode, lose records without counting
// them.
void Race(Mode mode) {
  constexpr uint32_t kWriters = 3, kEach = 20000;
  Buffer<> buffer(MakeOptions<uint64_t>(mode));
  std::atomic<uint32_t> running{kWriters};
  std::atomic<uint64_t> refused{0};
  std::vector<std::thread> threads;
  for (uint32_t w = 0; w < kWriters; ++w) {
    threads.emplace_back([&, w] {
      for (uint32_t i = 0; i < kEach; ++i) refused += !Write(&buffer, w, i);
      --running;
    });
  }
  std::vector<int64_t> last(kWriters, -1);
  uint64_t read = 0;
  auto drain = [&] {
    for (const Event& event : ReadAll(&buffer)) {
      ASSERT_LT(event.writer, kWriters);
      ASSERT_GT(static_cast<int64_t>(event.number), last[event.writer]);
      last[event.writer] = event.number;
      ++read;
    }
  };
  while (running > 0) {
    drain();
    buffer.ForceSwitch();
  }
  for (std::thread& thread : threads) thread.join();
  buffer.ForceSwitch();
  drain();
  EXPECT_EQ(buffer.lost(), refused);
  if (mode == Mode::kDiscard) {
    EXPECT_EQ(read + refused, uint64_t{kWriters} * kEach);
  } else {
    EXPECT_LE(read + refused, uint64_t{kWriters} * kEach);
    EXPECT_GT(read, 0u);
  }
}
TEST(TelemetryBuffer, ConcurrentWritersAndReaderInDiscardMode) { Race(Mode::kDiscard); }
TEST(TelemetryBuffer, ConcurrentWritersAndReaderInFlightRecorderMode) {
  Race(Mode::kFlightRecorder);
}

// Guards against a stalled writer that stops the other writers of its channel, and against the loss
// of its buffer's records once it commits.
TEST(TelemetryChannel, SwitchesToStandbyBufferWhenAWriterStallsAndLosesNoRecord) {
  Buffer<>::Options options = MakeOptions<uint64_t>(Mode::kDiscard);
  Channel channel(options);
  Buffer<>* first = channel.current();
  auto stalled = first->Reserve(sizeof(ControlRecord), ControlRecord::kType);
  int read = 0;
  auto count = [&](const Buffer<>::RecordHeader&, const std::byte*) { ++read; };
  ControlRecord record;
  for (int turn = 0; turn < 3; ++turn) {
    channel.Write(record);
    channel.Read(count);
  }
  EXPECT_NE(channel.current(), first);
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(channel.Write(record));
    channel.Read(count);
  }
  EXPECT_GE(read, 100);
  std::memcpy(stalled->payload, &record, sizeof record);
  first->Commit(*stalled);
  channel.Read(count);
  EXPECT_GE(read, 103);  // the records of the stalled buffer are read too
  EXPECT_FALSE(first->Stalled());
}

// Rejects all text.
class RejectingSink : public Sink {
 public:
  bool Write(std::string_view) override { return false; }
};

// Guards against a sink that accepts nothing and blocks the writers, and against dropped records
// that are not counted.
TEST(TelemetryRecorder, RejectingSinkBlocksNobodyAndDroppedRecordsAreCounted) {
  Recorder::Options options;
  options.flush_ms = 1;
  Recorder recorder(options, std::make_unique<RejectingSink>());
  RequestRecord record;
  record.SetAttempt("a1");
  for (int i = 0; i < 5000; ++i) recorder.Request(record, true);
  recorder.Flush();
  Recorder::Counts counts = recorder.counts();
  EXPECT_EQ(counts.exported, 0u);
  EXPECT_GE(counts.unsent + counts.lost, 5000u);
}

// Guards against a failed request that is not exported, a successful one that is, and records with
// wrongly quoted values. Successful requests must be readable on demand.
TEST(TelemetryRecorder, ExportsFailuresAndKeepsAllRequestsForReadingOnDemand) {
  std::mutex mutex;
  std::string text;
  Recorder::Options options;
  options.flush_ms = 5;
  Recorder recorder(options, MakeCallSink([&](std::string lines) {
                      std::lock_guard<std::mutex> lock(mutex);
                      text += lines;
                      return true;
                    }));
  recorder.names().Set(NameTable::kService, 3, "florist orders");
  for (int i = 0; i < 50; ++i) {
    RequestRecord record;
    record.SetAttempt("attempt-" + std::to_string(i));
    record.SetReason("it was \"late\"");
    record.service = 3;
    record.status = i % 2 ? 502 : 200;
    record.step = Step::kAnswer;
    recorder.Request(record, i % 2 == 1);
  }
  recorder.Flush();
  {
    std::lock_guard<std::mutex> lock(mutex);
    EXPECT_NE(text.find("attempt=attempt-49 status=502 step=answer reason=\"it was \\\"late\\\"\""),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("service=\"florist orders\""), std::string::npos);
    EXPECT_EQ(text.find("attempt-48 "), std::string::npos);
  }
  std::atomic<bool> done{false};
  std::string all;
  recorder.ReadRecords([&](Recorder::RetainedRecords retained) {
    all = std::move(retained.records);
    done = true;
  });
  while (!done) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  EXPECT_NE(all.find("attempt=attempt-48 status=200"), std::string::npos);
}

}  // namespace
}  // namespace elderkeel::telemetry
