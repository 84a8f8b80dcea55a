#include "entry_reader.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "units.h"

namespace cactusshelf {
namespace {

// Bounds names, which become parts of URLs, of metrics and of ids that are joined with '/'.
constexpr std::size_t kMaxNameLength = 128;
constexpr double kMaxProcessors = 100'000;
constexpr std::int64_t kMaxAccelerators = 100'000;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && text != "." && text != ".." &&
         std::ranges::all_of(text, IsNameCharacter);
}

bool IsPort(std::string_view text) {
  unsigned port = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
  return ec == std::errc() && end == text.data() + text.size() && port > 0 && port <= 65535;
}

bool IsIp(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> buf;
  return inet_pton(family, text.c_str(), buf.data()) == 1;
}

// "<IPv4>:<port>" or "[<IPv6>]:<port>".
bool IsAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIp(host.substr(1, host.size() - 2), AF_INET6);
  }
  return IsIp(host, AF_INET);
}

}  // namespace

Place PlaceOf(const std::string& file, const toml::source_region& region) {
  return {file, region.begin.line, region.begin.column};
}

EntryReader::EntryReader(const toml::table& table, std::string table_name, const std::string& file,
                         Findings& findings)
    : table_(table), table_name_(std::move(table_name)), file_(file), findings_(findings) {}

Place EntryReader::PlaceOfKey(std::string_view key) const {
  const toml::node* node = table_.get(key);
  return PlaceOf(file_, node != nullptr ? node->source() : table_.source());
}

void EntryReader::AddFinding(std::string_view key, std::string message) {
  findings_.Add(PlaceOfKey(key), std::move(message));
  valid_ = false;
}

const toml::node* EntryReader::Get(std::string_view key, bool required) {
  read_keys_.emplace(key);
  const toml::node* node = table_.get(key);
  if (node == nullptr && required) {
    AddFinding(key, fmt::format("{} lacks the key '{}'", table_name_, key));
  }
  return node;
}

std::string EntryReader::Text(std::string_view key) {
  const toml::node* node = Get(key, true);
  if (node == nullptr) {
    return {};
  }
  const auto* text = node->as_string();
  if (text == nullptr) {
    AddFinding(key, fmt::format("'{}' must be a string", key));
    return {};
  }
  return text->get();
}

std::string EntryReader::Name(std::string_view key) {
  const bool valid_before = std::exchange(valid_, true);
  std::string text = Text(key);
  if (valid_ && !IsName(text)) {
    AddFinding(key, fmt::format("'{}' must have 1 to {} letters, digits, '-', '_' or '.'", key,
                                kMaxNameLength));
  }
  if (!valid_) {
    text.clear();
  }
  valid_ = valid_ && valid_before;
  return text;
}

std::string EntryReader::Address(std::string_view key) {
  const bool valid_before = std::exchange(valid_, true);
  std::string text = Text(key);
  if (valid_ && !IsAddress(text)) {
    AddFinding(key, fmt::format("'{}' must be \"<IP address>:<port>\"", key));
  }
  valid_ = valid_ && valid_before;
  return text;
}

std::int64_t EntryReader::Integer(std::string_view key, std::int64_t low, std::int64_t high) {
  const toml::node* node = Get(key, true);
  if (node == nullptr) {
    return low;
  }
  const auto* value = node->as_integer();
  if (value == nullptr || value->get() < low || value->get() > high) {
    AddFinding(key, fmt::format("'{}' must be an integer from {} to {}", key, low, high));
    return low;
  }
  return value->get();
}

std::int64_t EntryReader::Bytes(std::string_view key) {
  const bool valid_before = std::exchange(valid_, true);
  const auto value = ParseBytes(Text(key));
  if (valid_ && (!value || *value == 0)) {
    AddFinding(key, fmt::format("'{}' must be a size above 0 with its unit, like \"512MiB\"", key));
  }
  valid_ = valid_ && valid_before;
  return value.value_or(0);
}

Duration EntryReader::Time(std::string_view key) {
  const bool valid_before = std::exchange(valid_, true);
  const auto value = ParseDuration(Text(key));
  if (valid_ && (!value || value->count() == 0)) {
    AddFinding(key, fmt::format("'{}' must be a time above 0 with its unit, like \"30s\"", key));
  }
  valid_ = valid_ && valid_before;
  return value.value_or(Duration(0));
}

double EntryReader::Rate(std::string_view key) {
  const bool valid_before = std::exchange(valid_, true);
  const auto value = ParseRate(Text(key));
  if (valid_ && (!value || *value <= 0)) {
    AddFinding(key, fmt::format("'{}' must be a rate above 0 with its unit, like \"100/s\"", key));
  }
  valid_ = valid_ && valid_before;
  return value.value_or(0);
}

std::int64_t EntryReader::Milliprocessors(std::string_view key) {
  const toml::node* node = Get(key, true);
  if (node == nullptr) {
    return 0;
  }
  const double value = node->is_number() ? node->value<double>().value_or(0) : 0;
  if (!(value >= 0.001 && value <= kMaxProcessors)) {
    AddFinding(key, fmt::format("'{}' must be a number from 0.001 to {}", key, kMaxProcessors));
    return 0;
  }
  return std::llround(value * 1000);
}

Resources EntryReader::ReadResources() {
  Resources resources;
  resources.milliprocessors = Milliprocessors("processors");
  resources.memory_bytes = Bytes("memory");
  if (Get("accelerators", false) != nullptr) {
    resources.accelerators = Integer("accelerators", 0, kMaxAccelerators);
  }
  return resources;
}

Resources EntryReader::ReadResourcesTable(std::string_view key) {
  const toml::node* node = Get(key, true);
  if (node == nullptr) {
    return {};
  }
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    AddFinding(key, fmt::format("'{}' must be a table", key));
    return {};
  }
  EntryReader reader(*table, std::string(key), file_, findings_);
  const Resources resources = reader.ReadResources();
  reader.Finish();
  valid_ = valid_ && reader.valid();
  return resources;
}

bool EntryReader::OptionalBoolean(std::string_view key) {
  const toml::node* node = Get(key, false);
  if (node == nullptr) {
    return false;
  }
  const auto* value = node->as_boolean();
  if (value == nullptr) {
    AddFinding(key, fmt::format("'{}' must be true or false", key));
    return false;
  }
  return value->get();
}

const toml::array* EntryReader::Array(std::string_view key) {
  const toml::node* node = Get(key, true);
  if (node != nullptr && node->as_array() == nullptr) {
    AddFinding(key, fmt::format("'{}' must be an array", key));
  }
  return node == nullptr ? nullptr : node->as_array();
}

void EntryReader::Finish() {
  for (const auto& [key, node] : table_) {
    if (!read_keys_.contains(key.str())) {
      findings_.Add(PlaceOf(file_, key.source()),
                    fmt::format("unknown key '{}' in {}", key.str(), table_name_));
      valid_ = false;
    }
  }
}

}  // namespace cactusshelf
