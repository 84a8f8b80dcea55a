#include "request_headers.h"

#include <glib.h>

namespace cactusshelf {
namespace {

constexpr std::string_view kReservedHeaderPrefix = "Cactusshelf-";

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

bool IsReservedHeader(std::string_view name) {
  return name.size() >= kReservedHeaderPrefix.size() &&
         EqualIgnoringCase(name.substr(0, kReservedHeaderPrefix.size()), kReservedHeaderPrefix);
}

std::optional<std::string> FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& it : headers) {
    if (EqualIgnoringCase(it.name, name)) {
      return it.value;
    }
  }
  return std::nullopt;
}

}  // namespace cactusshelf
