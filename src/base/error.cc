#include "base/error.h"

namespace elderkeel::base {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kCorruption:
      return "corruption";
    case ErrorCode::kIoError:
      return "io_error";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kProtocolError:
      return "protocol_error";
  }
  return "unknown";
}

std::string Error::ToString() const {
  return "step=" + step + " peer=" + (peer.empty() ? "self" : peer) + " reason=\"" + reason + "\"";
}

}  // namespace elderkeel::base
