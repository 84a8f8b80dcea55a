#include "log_codec.h"

#include <glib.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

using nlohmann::json;

struct GFree {
  void operator()(void* memory) const { g_free(memory); }
};

std::string EncodeBase64(std::string_view data) {
  const auto* bytes = reinterpret_cast<const guchar*>(data.data());
  const std::unique_ptr<gchar, GFree> text(g_base64_encode(bytes, data.size()));
  return text.get();
}

bool IsBase64(std::string_view text) {
  if (text.size() % 4 != 0) return false;
  const std::size_t end = text.find_last_not_of('=');
  const std::size_t digits = end == std::string_view::npos ? 0 : end + 1;
  if (text.size() - digits > 2) return false;
  return std::ranges::all_of(text.substr(0, digits),
                             [](char c) { return g_ascii_isalnum(c) || c == '+' || c == '/'; });
}

// GLib's decoder skips characters outside the alphabet, so they are rejected here.
std::string DecodeBase64(const std::string& text) {
  if (!IsBase64(text)) throw DecodeError("record data is not base64");
  gsize size = 0;
  const std::unique_ptr<guchar, GFree> bytes(g_base64_decode(text.c_str(), &size));
  return {reinterpret_cast<const char*>(bytes.get()), size};
}

std::uint64_t Unsigned(const json& object, const char* key) {
  const json& value = object.at(key);
  if (!value.is_number_unsigned()) throw DecodeError(std::string(key) + " is not an offset");
  return value.get<std::uint64_t>();
}

node_event::LogEntry DecodeEntry(const json& record) {
  node_event::LogEntry entry;
  entry.offset = Unsigned(record, "offset");
  entry.time = WallTime(std::chrono::milliseconds(record.at("time_ms").get<std::int64_t>()));
  entry.data = DecodeBase64(record.at("data").get_ref<const std::string&>());
  return entry;
}

void CheckOffsets(const LogPage& page) {
  std::uint64_t lowest = page.first;
  for (const node_event::LogEntry& entry : page.entries) {
    if (entry.offset < lowest || entry.offset >= page.next) {
      throw DecodeError("record offset out of order");
    }
    lowest = entry.offset + 1;
  }
}

}  // namespace

std::string EncodeAppend(std::string_view data) {
  return json{{"data", EncodeBase64(data)}}.dump();
}

std::uint64_t DecodeAppendAnswer(std::string_view text) {
  try {
    return Unsigned(json::parse(text), "offset");
  } catch (const json::exception& error) {
    throw DecodeError(error.what());
  }
}

LogPage DecodeReadAnswer(std::string_view text) {
  try {
    const json answer = json::parse(text);
    LogPage page;
    page.first = Unsigned(answer, "first");
    page.next = Unsigned(answer, "next");
    for (const json& record : answer.at("records")) page.entries.push_back(DecodeEntry(record));
    CheckOffsets(page);
    return page;
  } catch (const json::exception& error) {
    throw DecodeError(error.what());
  }
}

}  // namespace cactusshelf
