#include "cactusshelf/base/log_event.h"

#include <fmt/format.h>

#include <algorithm>

namespace cactusshelf {
namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

std::string Quote(std::string_view value) {
  std::string text = "\"";
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += static_cast<char>(c);
    } else if (c < ' ' || c == 0x7f) {
      text += fmt::format("\\x{:02x}", c);
    } else {
      text += static_cast<char>(c);
    }
  }
  return text + '"';
}

}  // namespace

std::string_view ToString(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

LogEvent& LogEvent::With(std::string key, std::string value) {
  fields_.emplace_back(std::move(key), std::move(value));
  return *this;
}

std::string LogEvent::Format() const {
  std::string line = fmt::format("level={} event={}", ToString(level_), name_);
  for (const auto& [key, value] : fields_) {
    line += fmt::format(" {}={}", key, NeedsQuotes(value) ? Quote(value) : value);
  }
  return line;
}

}  // namespace cactusshelf
