#ifndef CACTUSSHELF_BASE_LOG_EVENT_H_
#define CACTUSSHELF_BASE_LOG_EVENT_H_

#include <concepts>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusshelf {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

std::string_view ToString(LogLevel level);

// Structured log event. State machines return log events as effects; the daemon prints them.
// Not thread-safe.
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string name) : level_(level), name_(std::move(name)) {}

  LogEvent& With(std::string key, std::string value);
  LogEvent& With(std::string key, std::integral auto value) {
    return With(std::move(key), std::to_string(value));
  }

  LogLevel level() const { return level_; }
  const std::string& name() const { return name_; }

  // "level=info event=name key=value". Values that are empty or contain spaces, control characters,
  // quotes, equals signs or backslashes are quoted.
  std::string Format() const;

 private:
  LogLevel level_;
  std::string name_;
  std::vector<std::pair<std::string, std::string>> fields_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_LOG_EVENT_H_
