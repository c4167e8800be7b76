#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace elderkeel::base {

// What kind of error it is: what a caller may decide by. The reason of an error is for people.
enum class ErrorCode : uint8_t {
  kInvalidArgument,  // the caller's input: settings, a document, a call
  kNotFound,         // what was asked for does not exist
  kCorruption,       // stored data is damaged for good
  kIoError,          // the operating system or a disk refused; a later attempt may succeed
  kUnavailable,      // a peer could not be reached, or did not serve the call
  kTimeout,          // no answer in time
  kProtocolError,    // a peer sent something that is malformed
};
const char* ErrorCodeName(ErrorCode code);

// What went wrong, at which step, and with whom. Errors are values; none crosses the event loop as
// an exception.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string step;    // of the work, as a dotted name: "store.open"
  std::string peer;    // address or name of the other side; empty for this process itself
  std::string reason;  // a sentence for people

  std::string ToString() const;
};

// A value or an error; a success without a value or an error.
template <class T>
using Result = tl::expected<T, Error>;
using Status = tl::expected<void, Error>;

// For `return Failure(...)` from a function that returns a Result or a Status.
inline tl::unexpected<Error> Failure(Error error) {
  return tl::unexpected<Error>(std::move(error));
}
inline tl::unexpected<Error> Failure(ErrorCode code, std::string step, std::string peer,
                                     std::string reason) {
  return Failure(Error{code, std::move(step), std::move(peer), std::move(reason)});
}

}  // namespace elderkeel::base
