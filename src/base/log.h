#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "base/error.h"

namespace elderkeel::base {

// The value of a log field, converted to text.
class LogValue {
 public:
  // The constructors are implicit so that callers can pass strings and numbers directly.
  // NOLINTBEGIN(google-explicit-constructor)
  LogValue(std::string_view text) : text_(text) {}
  LogValue(const char* text) : text_(text) {}
  LogValue(const std::string& text) : text_(text) {}
  template <class N, class = std::enable_if_t<std::is_arithmetic_v<N>>>
  LogValue(N number) : text_(std::to_string(number)) {}
  // NOLINTEND(google-explicit-constructor)
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  LogValue value;
};

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Sets the lowest level that is written.
void SetLogLevel(LogLevel level);
// Whether lines of this level are written. Callers check it before building an expensive line.
bool IsLogged(LogLevel level);
// Parses "debug", "info", "warn" or "error"; returns `fallback` for any other name.
LogLevel ParseLogLevel(std::string_view name, LogLevel fallback);
// Writes one line to stdout: the time, the level, the event name and the fields as key=value pairs.
// At level debug each line ends with `steady_ms`, the steady clock in ms, which all processes of a
// machine share, so that their lines can be ordered.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
void Debug(std::string_view event, std::initializer_list<LogField> fields = {});
void Info(std::string_view event, std::initializer_list<LogField> fields = {});
void Warn(std::string_view event, std::initializer_list<LogField> fields = {});
// Writes the step, the peer and the reason of `error` as fields.
void Warn(std::string_view event, const Error& error);

// Appends `value` to `out`. An empty value, or one that contains spaces, quotes, '=' or control
// bytes, is quoted, so that the line stays one line and can be parsed: quotes and backslashes in it
// are escaped by a backslash, and control bytes are replaced by '?'.
void AppendLogValue(std::string* out, std::string_view value);

}  // namespace elderkeel::base
