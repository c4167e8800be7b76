#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/clock.h"

namespace elderkeel::base {
namespace {

spdlog::logger& Logger() {
  static spdlog::logger logger = [] {
    spdlog::logger created("elderkeel", std::make_shared<spdlog::sinks::stdout_sink_mt>());
    created.set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    created.flush_on(spdlog::level::trace);
    return created;
  }();
  return logger;
}

spdlog::level::level_enum Convert(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

}  // namespace

void AppendLogValue(std::string* out, std::string_view value) {
  bool plain = !value.empty();
  for (unsigned char c : value) {
    if (c <= 0x20 || c == '"' || c == '=' || c == 0x7f) plain = false;
  }
  if (plain) {
    out->append(value);
    return;
  }
  out->push_back('"');
  for (unsigned char c : value) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(static_cast<char>(c));
    } else if (c < 0x20 || c == 0x7f) {
      out->push_back('?');
    } else {
      out->push_back(static_cast<char>(c));
    }
  }
  out->push_back('"');
}

void SetLogLevel(LogLevel level) { Logger().set_level(Convert(level)); }

LogLevel ParseLogLevel(std::string_view name, LogLevel fallback) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "info") return LogLevel::kInfo;
  if (name == "warn") return LogLevel::kWarn;
  if (name == "error") return LogLevel::kError;
  return fallback;
}

bool IsLogged(LogLevel level) { return Logger().should_log(Convert(level)); }

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) return;
  std::string line = "event=";
  AppendLogValue(&line, event);
  for (const LogField& field : fields) {
    line.push_back(' ');
    line.append(field.key);
    line.push_back('=');
    AppendLogValue(&line, field.value.text());
  }
  if (IsLogged(LogLevel::kDebug)) line += " steady_ms=" + std::to_string(SteadyMillis());
  Logger().log(Convert(level), spdlog::string_view_t(line.data(), line.size()));
}

void Debug(std::string_view event, std::initializer_list<LogField> fields) {
  Log(LogLevel::kDebug, event, fields);
}
void Info(std::string_view event, std::initializer_list<LogField> fields) {
  Log(LogLevel::kInfo, event, fields);
}
void Warn(std::string_view event, std::initializer_list<LogField> fields) {
  Log(LogLevel::kWarn, event, fields);
}
void Warn(std::string_view event, const Error& error) {
  Warn(event, {{"step", error.step},
               {"peer", error.peer.empty() ? "self" : error.peer},
               {"reason", error.reason}});
}

}  // namespace elderkeel::base
