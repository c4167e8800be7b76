#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "base/error.h"

namespace elderkeel::base {

// One line of key=value pairs per event.
class LogValue {
 public:
  // Implicit, so that calls name values as they are.
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

struct LogField {
  std::string_view key;
  LogValue value;
};

enum class LogLevel { kDebug, kInfo, kWarn, kError };

void SetLogLevel(LogLevel level);
// Whether lines of this level are written: asked first where a line costs much to make.
bool IsLogged(LogLevel level);
LogLevel ParseLogLevel(std::string_view name, LogLevel otherwise);
// With debug lines on, each line ends in `steady_ms`, the clock that all processes of a machine
// share.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
void Debug(std::string_view event, std::initializer_list<LogField> fields = {});
void Info(std::string_view event, std::initializer_list<LogField> fields = {});
void Warn(std::string_view event, std::initializer_list<LogField> fields = {});
void Warn(std::string_view event, const Error& error);

// Quotes a value when it holds spaces, quotes or control bytes, so that a line stays one line.
void AppendLogValue(std::string* out, std::string_view value);

}  // namespace elderkeel::base
