#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <new>
#include <optional>
#include <type_traits>
#include <vector>

#include "base/clock.h"

namespace elderkeel::telemetry {

// What a buffer does with a new record when no sub-buffer is free.
enum class Mode {
  kDiscard,         // a full buffer drops and counts new records
  kFlightRecorder,  // a full buffer overwrites its oldest sub-buffer
};

// The lock-free circular buffer for the records of one request thread, after the LTTng design of
// Desnoyers and Dagenais. The names and the equation numbers in parentheses are those of the paper;
// docs/telemetry.md describes the differences. Any number of writers may call Reserve, Commit,
// Record and ForceSwitch, also from signal handlers; one reader at a time may call Read. A writer
// never blocks.
//
// `Word` is the type of the free-running counts. The programs use 64 bits; tests use 32 bits to
// cover the wrap-around of the counts.
template <class Word = uint64_t>
class Buffer {
 public:
  struct Options {
    size_t subbuffer_bytes = 4096;  // a power of two
    size_t subbuffers = 8;          // a power of two, at least 2
    Mode mode = Mode::kDiscard;
    Word start = 0;  // first value of the counts; a multiple of the buffer's size
  };

  // Precedes the payload of each record.
  struct RecordHeader {
    uint64_t time = 0;  // of the reservation; steady clock, ns
    uint32_t size = 0;  // of the payload, in bytes
    uint32_t type = 0;  // as passed to Reserve
  };

  // Space reserved for one record. Its payload may be written until the slot is committed. Each
  // slot must be committed: until then its sub-buffer can be neither read nor overwritten.
  struct Slot {
    std::byte* payload = nullptr;
    Word begin = 0;    // count at the start of the slot
    size_t bytes = 0;  // size of the slot: header, payload and alignment
    size_t payload_bytes = 0;
  };

  // A sub-buffer that the reader has taken out of the buffer.
  struct Chunk {
    uint64_t begin_time = 0;  // of its first record; steady clock, ns
    uint64_t lost = 0;        // records lost in total before the first record
    const std::byte* data = nullptr;
    size_t size = 0;

    // Calls visit(RecordHeader, payload) for each record, oldest first.
    template <class Visit>
    void ForEach(Visit visit) const {
      size_t at = 0;
      while (at + sizeof(RecordHeader) <= size) {
        RecordHeader header;
        std::memcpy(&header, data + at, sizeof header);
        if (header.size > size - at - sizeof header) return;
        visit(header, data + at + sizeof header);
        at += SlotBytes(header.size);
      }
    }
  };

  explicit Buffer(Options options)
      : options_(options),
        sbuf_(static_cast<Word>(options.subbuffer_bytes)),
        buf_(static_cast<Word>(options.subbuffer_bytes * options.subbuffers)),
        sbfbits_(Bits(options.subbuffer_bytes)),
        bfbits_(Bits(options.subbuffer_bytes * options.subbuffers)),
        write_count_(options.start),
        read_count_(options.start),
        commits_(options.subbuffers),
        spare_(static_cast<uint32_t>(options.subbuffers)) {
    for (size_t i = 0; i <= options.subbuffers; ++i) {
      // calloc leaves new pages untouched, so a standby buffer that is never used takes no physical
      // memory.
      storages_.emplace_back(
          static_cast<uint64_t*>(std::calloc(options.subbuffer_bytes / sizeof(uint64_t), 8)));
      if (!storages_.back()) throw std::bad_alloc();
    }
    for (size_t i = 0; i < options.subbuffers; ++i) {
      // Initialize the counts as if all laps before `start` had been fully committed.
      Word committed = static_cast<Word>(static_cast<Word>(options.start >> bfbits_) << sbfbits_);
      commits_[i].count.store(committed, std::memory_order_relaxed);
      commits_[i].sequence.store(committed, std::memory_order_relaxed);
      commits_[i].reference.store(i, std::memory_order_relaxed);
    }
  }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;

  // Size of the slot for a payload of `payload` bytes: with header, rounded up to 8 bytes.
  static size_t SlotBytes(size_t payload) {
    return (sizeof(RecordHeader) + payload + 7) & ~size_t{7};
  }
  // The largest payload, in bytes, that fits into a sub-buffer.
  size_t MaxPayload() const {
    return options_.subbuffer_bytes - sizeof(Header) - sizeof(RecordHeader);
  }

  // RESERVE_SLOT: reserves space for a payload of `payload` bytes. Lock-free: one compare-and-swap,
  // repeated only if another reservation succeeded in between. Returns nothing, and counts a lost
  // record, if the payload is too large, the buffer is full (discard mode) or the next sub-buffer
  // has uncommitted slots.
  std::optional<Slot> Reserve(size_t payload, uint32_t type) {
    size_t bytes = SlotBytes(payload);
    if (bytes + sizeof(Header) > options_.subbuffer_bytes) {
      lost_.fetch_add(1, std::memory_order_relaxed);
      return std::nullopt;
    }
    Word old, begin, next, pushed_for = 0;
    uint64_t time;
    bool opens;      // this slot is the first of its sub-buffer
    size_t padding;  // unused bytes at the end of the sub-buffer that this slot does not fit into
    bool push;       // this slot overwrites the oldest sub-buffer
    old = write_count_.load(std::memory_order_acquire);
    do {
      // The time is read inside the loop: no other reservation succeeds between this read and the
      // compare-and-swap, so times never decrease in the order of the slots.
      time = static_cast<uint64_t>(base::SteadyNanos());
      Word offset = old & (sbuf_ - 1);
      opens = push = false;
      padding = 0;
      begin = old;
      if (offset == 0) {
        opens = true;
      } else if (offset + bytes > sbuf_) {
        opens = true;
        padding = static_cast<size_t>(sbuf_ - offset);
        begin = old + static_cast<Word>(padding);
      }
      if (opens) {
        if (!FullyCommitted(begin)) {
          // The sub-buffer to be overwritten has a slot that a writer has not committed yet.
          lost_.fetch_add(1, std::memory_order_relaxed);
          return std::nullopt;
        }
        if (Full(begin)) {
          if (options_.mode == Mode::kDiscard) {
            lost_.fetch_add(1, std::memory_order_relaxed);
            return std::nullopt;
          }
          push = true;
          pushed_for = begin;
        }
      }
      next = begin + static_cast<Word>(opens ? sizeof(Header) + bytes : bytes);
    } while (!write_count_.compare_exchange_weak(old, next, std::memory_order_acq_rel,
                                                 std::memory_order_acquire));
    if (push) PushReader(pushed_for);
    uint64_t* storage = Reference(begin);
    if (padding) EndSubbuffer(old, padding);
    Word slot_begin = begin;
    if (opens) {
      Header* header = reinterpret_cast<Header*>(storage);
      header->begin_time = time;
      header->lost = lost_.load(std::memory_order_relaxed);
      slot_begin += static_cast<Word>(sizeof(Header));
    }
    auto* bytes_at = reinterpret_cast<std::byte*>(storage) + (slot_begin & (sbuf_ - 1));
    RecordHeader record{time, static_cast<uint32_t>(payload), type};
    std::memcpy(bytes_at, &record, sizeof record);
    // ENDSWITCH_CURRENT: this slot ends exactly at the end of its sub-buffer.
    if ((next & (sbuf_ - 1)) == 0)
      reinterpret_cast<Header*>(storage)->used = options_.subbuffer_bytes;
    if (opens) Commit(begin, sizeof(Header));
    return Slot{bytes_at + sizeof record, slot_begin, bytes, payload};
  }

  // COMMIT_SLOT: makes the record readable once its whole sub-buffer is committed.
  void Commit(const Slot& slot) { Commit(slot.begin, slot.bytes); }

  // Reserves a slot, copies the payload and commits it. Returns false if the record is lost.
  bool Record(uint32_t type, const void* payload, size_t size) {
    auto slot = Reserve(size, type);
    if (!slot) return false;
    std::memcpy(slot->payload, payload, size);
    Commit(*slot);
    return true;
  }

  // FORCE_SWITCH: closes the current sub-buffer by padding, so that its records can be read. Does
  // nothing if the sub-buffer is empty.
  void ForceSwitch() {
    Word old = write_count_.load(std::memory_order_acquire);
    size_t padding;
    do {
      Word offset = old & (sbuf_ - 1);
      if (offset == 0) return;
      padding = static_cast<size_t>(sbuf_ - offset);
    } while (!write_count_.compare_exchange_weak(old, old + static_cast<Word>(padding),
                                                 std::memory_order_acq_rel,
                                                 std::memory_order_acquire));
    EndSubbuffer(old, padding);
  }

  // READ_GETSUBBUF: takes the oldest sub-buffer and puts the reader's spare one in its place.
  // Returns nothing if the oldest sub-buffer is not closed, not fully committed or being
  // overwritten, even if a later one is ready. The chunk is valid until the next call. One reader
  // at a time.
  std::optional<Chunk> Read() {
    for (;;) {
      Word read = read_count_.load(std::memory_order_acquire);
      Commits& c = commits_[Index(read)];
      Word sequence = c.sequence.load(std::memory_order_acquire);
      Word write = write_count_.load(std::memory_order_acquire);
      if ((write & ~(sbuf_ - 1)) == (read & ~(sbuf_ - 1))) return std::nullopt;  // (4)
      if (!Ready(read, sequence)) return std::nullopt;                           // (2)
      uint64_t reference = c.reference.load(std::memory_order_acquire);
      uint64_t expected = MakeReference(static_cast<uint32_t>(reference), Tag(read), false);
      if (reference != expected) {
        // A writer has already started to overwrite this sub-buffer (flight recorder mode) and has
        // advanced, or is about to advance, the read count.
        if (read_count_.load(std::memory_order_acquire) == read) return std::nullopt;
        continue;
      }
      uint64_t exchanged = MakeReference(spare_, Tag(read), false);
      if (!c.reference.compare_exchange_strong(reference, exchanged, std::memory_order_acq_rel)) {
        continue;
      }
      spare_ = static_cast<uint32_t>(reference);
      // Fails only if a writer has advanced the read count meanwhile; that value is then correct.
      read_count_.compare_exchange_strong(read, read + sbuf_, std::memory_order_acq_rel);
      const auto* bytes = reinterpret_cast<const std::byte*>(storages_[spare_].get());
      Header header{};
      std::memcpy(&header, bytes, sizeof header);
      return Chunk{header.begin_time, header.lost, bytes + sizeof(Header),
                   static_cast<size_t>(header.used) - sizeof(Header)};
    }
  }

  // Whether an uncommitted slot blocks the reader: the oldest sub-buffer is closed, but not fully
  // committed.
  bool Stalled() const {
    Word read = read_count_.load(std::memory_order_acquire);
    Word write = write_count_.load(std::memory_order_acquire);
    if ((write & ~(sbuf_ - 1)) == (read & ~(sbuf_ - 1))) return false;
    return !Ready(read, commits_[Index(read)].sequence.load(std::memory_order_acquire));
  }
  // Whether all reserved space has been committed and read.
  bool Drained() const {
    Word read = read_count_.load(std::memory_order_acquire);
    Word write = write_count_.load(std::memory_order_acquire);
    return read == write;
  }

  // Number of records lost since the start.
  uint64_t lost() const { return lost_.load(std::memory_order_relaxed); }
  Word write_count() const { return write_count_.load(std::memory_order_relaxed); }
  Word read_count() const { return read_count_.load(std::memory_order_relaxed); }

 private:
  // The start of each sub-buffer.
  struct Header {
    uint64_t begin_time;
    uint64_t lost;
    uint64_t used;  // bytes up to the padding, this header included
  };
  // The commit counters of a sub-buffer, and which storage it uses.
  struct Commits {
    std::atomic<Word> count{0};     // bytes committed
    std::atomic<Word> sequence{0};  // `count` when the sub-buffer was last fully committed
    // Storage index (low 32 bits), writer flag (1 bit) and tag (31 bits). The tag is the count at
    // the start of the sub-buffer, divided by the sub-buffer size: it differs from lap to lap.
    std::atomic<uint64_t> reference{0};
  };

  static int Bits(size_t n) {
    int bits = 0;
    while ((size_t{1} << bits) < n) ++bits;
    return bits;
  }
  size_t Index(Word count) const { return static_cast<size_t>((count & (buf_ - 1)) >> sbfbits_); }
  // The mask for comparing commit counts. It clears their top bits, which Lap() can't compute: it
  // shifts a count right by more bits than it shifts it left.
  Word CommitMask() const {
    return static_cast<Word>(static_cast<Word>(~Word{0}) >> (bfbits_ - sbfbits_));
  }
  // The commit count that a sub-buffer has reached before the lap that `count` belongs to.
  Word Lap(Word count) const {
    return static_cast<Word>(static_cast<Word>(count >> bfbits_) << sbfbits_) & CommitMask();
  }
  // (1): the buffer is full: the sub-buffer that begins at `begin` would overwrite an unread one.
  bool Full(Word begin) const {
    Word read = read_count_.load(std::memory_order_acquire) & ~(sbuf_ - 1);
    return static_cast<Word>(begin - read) >= buf_;
  }
  // (2): the sub-buffer at the read count is fully committed.
  bool Ready(Word read, Word sequence) const {
    return Lap(read) == (static_cast<Word>(sequence - sbuf_) & CommitMask());
  }
  // (3): the previous lap of the sub-buffer that begins at `begin` is fully committed.
  bool FullyCommitted(Word begin) const {
    return Lap(begin) ==
           (commits_[Index(begin)].sequence.load(std::memory_order_acquire) & CommitMask());
  }

  uint32_t Tag(Word count) const { return static_cast<uint32_t>(count >> sbfbits_) & 0x7fffffffu; }
  static uint64_t MakeReference(uint32_t storage, uint32_t tag, bool writing) {
    return storage | (writing ? uint64_t{1} << 32 : 0) | (uint64_t{tag} << 33);
  }

  // Sets the writer flag of the sub-buffer of `count`, so that the reader can't exchange it, and
  // returns its storage. Each writer sets the flag, because the writer that opens the sub-buffer
  // may be delayed before it does so.
  uint64_t* Reference(Word count) {
    std::atomic<uint64_t>& reference = commits_[Index(count)].reference;
    uint32_t tag = Tag(count);
    uint64_t current = reference.load(std::memory_order_acquire);
    for (;;) {
      uint32_t storage = static_cast<uint32_t>(current);
      uint64_t desired = MakeReference(storage, tag, true);
      if (current == desired ||
          reference.compare_exchange_weak(current, desired, std::memory_order_acq_rel,
                                          std::memory_order_acquire)) {
        return storages_[storage].get();
      }
    }
  }

  // Advances the read count past the sub-buffer that the writer at `begin` overwrites.
  void PushReader(Word begin) {
    Word target = static_cast<Word>(begin - buf_ + sbuf_);
    Word read = read_count_.load(std::memory_order_acquire);
    while (static_cast<Word>(begin - (read & ~(sbuf_ - 1))) >= buf_ &&
           !read_count_.compare_exchange_weak(read, target, std::memory_order_acq_rel)) {
    }
  }

  // SWITCH_OLDSUBBUF: commits the rest of the sub-buffer of `old` as padding.
  void EndSubbuffer(Word old, size_t padding) {
    uint64_t* storage = Reference(old);
    reinterpret_cast<Header*>(storage)->used = static_cast<uint64_t>(old & (sbuf_ - 1));
    Commit(old, padding);
  }

  void Commit(Word begin, size_t bytes) {
    Commits& c = commits_[Index(begin)];
    Word full = static_cast<Word>(Lap(begin) + sbuf_) & CommitMask();
    // Acquire and release: the writer that completes the sub-buffer synchronizes with all other
    // writers before it publishes the sequence to the reader.
    Word count = c.count.fetch_add(static_cast<Word>(bytes), std::memory_order_acq_rel) +
                 static_cast<Word>(bytes);
    if ((count & CommitMask()) != full) return;
    // Clear the writer flag before the sequence is published: the reader exchanges a sub-buffer
    // only if its flag is clear.
    uint64_t current = c.reference.load(std::memory_order_acquire);
    while (!c.reference.compare_exchange_weak(
        current, MakeReference(static_cast<uint32_t>(current), Tag(begin), false),
        std::memory_order_acq_rel, std::memory_order_acquire)) {
    }
    Word sequence = c.sequence.load(std::memory_order_relaxed);
    while (static_cast<std::make_signed_t<Word>>(sequence - count) < 0 &&
           !c.sequence.compare_exchange_weak(sequence, count, std::memory_order_acq_rel)) {
    }
  }

  const Options options_;
  const Word sbuf_;
  const Word buf_;
  const int sbfbits_;
  const int bfbits_;
  std::atomic<Word> write_count_;
  std::atomic<Word> read_count_;
  std::atomic<uint64_t> lost_{0};
  std::vector<Commits> commits_;
  struct Free {
    void operator()(uint64_t* storage) const { std::free(storage); }
  };
  std::vector<std::unique_ptr<uint64_t[], Free>> storages_;  // one more than there are sub-buffers
  uint32_t spare_;  // index of the storage that the reader owns
};

}  // namespace elderkeel::telemetry
