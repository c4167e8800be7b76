#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace elderkeel::base {

// The category of an error. Callers branch on it; `Error::reason` is text for people only.
enum class ErrorCode : uint8_t {
  kInvalidArgument,  // the input is invalid: settings, a document, a call
  kNotFound,         // the requested object does not exist
  kCorruption,       // stored data is damaged; a retry does not help
  kIoError,          // the operating system or a disk failed; a retry may succeed
  kUnavailable,      // a peer was unreachable or rejected the call
  kTimeout,          // no answer before the deadline
  kProtocolError,    // a peer sent a malformed message
};
// Returns the name of `code` in lower case, for example "io_error".
const char* ErrorCodeName(ErrorCode code);

// A failed operation: the category, the step that failed, the peer involved and the reason. Errors
// are returned as values; no exception may propagate through the event loop.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string step;    // the operation that failed, as a dotted name: "store.open"
  std::string peer;    // address, name or path of the other side; empty for this process
  std::string reason;  // description for people

  // Returns `step=... peer=... reason="..."`; an empty peer is written as "self".
  std::string ToString() const;
};

// Result holds a value or an error; Status holds success or an error.
template <class T>
using Result = tl::expected<T, Error>;
using Status = tl::expected<void, Error>;

// Builds the error to return from a function that returns a Result or a Status.
inline tl::unexpected<Error> Failure(Error error) {
  return tl::unexpected<Error>(std::move(error));
}
inline tl::unexpected<Error> Failure(ErrorCode code, std::string step, std::string peer,
                                     std::string reason) {
  return Failure(Error{code, std::move(step), std::move(peer), std::move(reason)});
}

}  // namespace elderkeel::base
