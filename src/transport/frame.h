#pragma once

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <istream>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace elderkeel::transport {

// The type of a message between elderkeel processes, one byte in frames and datagrams. The values
// are part of the wire format.
enum class MessageKind : uint8_t {
  kConsensus = 1,
  kJoin,
  kMembershipUpdate,
  kHeartbeat,
  kDigest,
  kPullRequest,
  kConfigurationUpdate,
  kEndpointUpdate,
  kConfirm,
  kConfirmReply,
  kResign,
  kQuery,
  kQueryReply,
  kSummary,
  kZoneDrainUpdate,
  kPartDigests,
  kRolloutUpdate,
  kProxyReport,
  kLeaseRenewal,
  kVote,
  kSyncRequest,
  kSyncReply,
};

// Largest payload of a frame, in bytes.
constexpr size_t kMaxFrameBytes = 8u << 20;

namespace internal {
// A stream buffer that appends to a string, so that Encode() needs no copy.
class StringSink : public std::streambuf {
 public:
  explicit StringSink(std::string* out) : out_(out) {}

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize n) override {
    out_->append(bytes, static_cast<size_t>(n));
    return n;
  }
  int overflow(int c) override {
    out_->push_back(static_cast<char>(c));
    return c;
  }

 private:
  std::string* out_;
};

// A stream buffer that reads from a view without a copy.
class ViewSource : public std::streambuf {
 public:
  explicit ViewSource(std::string_view in) {
    char* begin = const_cast<char*>(in.data());
    setg(begin, begin, begin + in.size());
  }
};
}  // namespace internal

// Serializes a string with a length prefix of two bytes. cereal's own prefix has eight, more than
// most names in a record. Text beyond 65535 bytes is cut off.
class ShortString {
 public:
  explicit ShortString(std::string& text) : text_(&text) {}
  explicit ShortString(const std::string& text) : text_(const_cast<std::string*>(&text)) {}
  template <class A>
  void save(A& a) const {
    uint16_t size = static_cast<uint16_t>(std::min<size_t>(text_->size(), UINT16_MAX));
    a(size, cereal::binary_data(text_->data(), size));
  }
  template <class A>
  void load(A& a) {
    uint16_t size = 0;
    a(size);
    text_->resize(size);
    a(cereal::binary_data(text_->data(), size));
  }

 private:
  std::string* text_;
};

// Whether a message type has fields that were added after its first version. SerializeLaterFields()
// writes them after those of `serialize`, and only if `has_later_fields()` returns true. Program
// versions that don't have these fields ignore the bytes; where the bytes are missing, the fields
// keep their defaults.
template <class Message, class = void>
struct HasLaterFields : std::false_type {};
template <class Message>
struct HasLaterFields<Message,
                      std::void_t<decltype(std::declval<const Message&>().has_later_fields())>>
    : std::true_type {};

// Returns the payload of a frame or datagram for `message`.
template <class Message>
std::string Encode(const Message& message) {
  std::string out;
  internal::StringSink sink(&out);
  std::ostream stream(&sink);
  cereal::BinaryOutputArchive archive(stream);
  archive(message);
  if constexpr (HasLaterFields<Message>::value) {
    if (message.has_later_fields()) const_cast<Message&>(message).SerializeLaterFields(archive);
  }
  return out;
}

// Returns nullopt if `bytes` are truncated or invalid, which cereal reports by an exception.
template <class Message>
std::optional<Message> Decode(std::string_view bytes) {
  try {
    internal::ViewSource source(bytes);
    std::istream stream(&source);
    cereal::BinaryInputArchive archive(stream);
    Message message;
    archive(message);
    if constexpr (HasLaterFields<Message>::value) {
      if (source.in_avail() > 0) message.SerializeLaterFields(archive);
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace elderkeel::transport
