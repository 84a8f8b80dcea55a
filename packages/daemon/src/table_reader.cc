#include "cactusshelf/daemon/table_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <span>
#include <utility>

#include "cactusshelf/daemon/socket_address.h"

namespace cactusshelf {
namespace {

struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

constexpr auto kTimeUnits = std::to_array<Unit>({{"us", 1},
                                                 {"ms", 1'000},
                                                 {"s", 1'000'000},
                                                 {"min", 60'000'000},
                                                 {"h", 3'600'000'000},
                                                 {"d", 86'400'000'000}});
constexpr auto kSizeUnits =
    std::to_array<Unit>({{"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}});
constexpr std::uint64_t kMaxQuantityValue = std::uint64_t{1} << 62;

struct Quantity {
  std::uint64_t value = 0;
  std::string error;  // Empty if the text is valid.
};

// Parses a whole number followed by one of `units`.
Quantity ParseQuantity(std::string_view text, std::span<const Unit> units,
                       std::string_view example) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc())
    return {0, fmt::format("expected a whole number and a unit, such as \"{}\"", example)};
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  if (name.empty()) return {0, fmt::format("missing unit; write for instance \"{}\"", example)};
  const auto unit = std::ranges::find(units, name, &Unit::name);
  if (unit == units.end())
    return {0, fmt::format("unknown unit \"{}\"; write for instance \"{}\"", name, example)};
  if (number > kMaxQuantityValue / unit->factor) return {0, "number too large"};
  return {number * unit->factor, {}};
}

// Formats `value` in the largest of `units` that divides it.
std::string FormatQuantity(std::uint64_t value, std::span<const Unit> units) {
  const Unit* best = &units.front();
  for (const Unit& unit : units) {
    if (value % unit.factor == 0 && value > 0) best = &unit;
  }
  return fmt::format("{}{}", value / best->factor, best->name);
}

bool IsUnspecified(GInetSocketAddress* address) {
  return g_inet_address_get_is_any(g_inet_socket_address_get_address(address));
}

Place ToPlace(const std::string& file, const toml::source_region& source) {
  return {file, source.begin.line, source.begin.column};
}

bool IsNameCharacter(char c) { return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.'; }

}  // namespace

TableReader::TableReader(const toml::table& table, const std::string& file, Findings& findings)
    : TableReader(table, "", ToPlace(file, table.source()), file, findings) {}

TableReader::TableReader(const toml::table& table, std::string name, Place place,
                         const std::string& file, Findings& findings)
    : table_(table),
      table_path_(std::move(name)),
      place_(std::move(place)),
      file_(file),
      findings_(findings) {}

Place TableReader::PlaceOf(std::string_view key) const {
  const toml::node* node = table_.get(key);
  return node == nullptr ? place_ : ToPlace(file_, node->source());
}

std::string TableReader::QualifiedKey(std::string_view key) const {
  return table_path_.empty() ? std::string(key) : fmt::format("{}.{}", table_path_, key);
}

void TableReader::ReportFinding(std::string_view key, std::string message) {
  findings_.Add(PlaceOf(key), fmt::format("{}: {}", QualifiedKey(key), std::move(message)));
}

const toml::node* TableReader::LookUp(std::string_view key) {
  known_keys_.emplace(key);
  return table_.get(key);
}

void TableReader::RequireKey(std::string_view key) {
  if (LookUp(key) == nullptr) ReportFinding(key, "missing");
}

std::optional<std::string> TableReader::FindString(std::string_view key,
                                                   std::string_view expected) {
  const toml::node* node = LookUp(key);
  if (node == nullptr) return std::nullopt;
  const auto* text = node->as_string();
  if (text == nullptr) {
    ReportFinding(key, fmt::format("expected {}", expected));
    return std::nullopt;
  }
  return text->get();
}

void TableReader::ReadString(std::string_view key, std::string& target) {
  if (const auto text = FindString(key, "text in quotes")) target = *text;
}

void TableReader::ReadName(std::string_view key, std::string& target) {
  const auto text = FindString(key, "text in quotes");
  if (!text) return;
  if (text->empty() || !std::ranges::all_of(*text, IsNameCharacter)) {
    ReportFinding(key, "expected letters, digits, '-', '_' and '.'");
    return;
  }
  target = *text;
}

void TableReader::ReadAddress(std::string_view key, std::string& target) {
  const auto text = FindString(key, "an address such as \"127.0.0.1:8080\"");
  if (!text) return;
  if (IsUsableAddress(key, *text)) target = *text;
}

bool TableReader::IsUsableAddress(std::string_view key, const std::string& text) {
  const auto address = ParseSocketAddress(text);
  if (address == nullptr) {
    ReportFinding(key, fmt::format("\"{}\" is not an IP address with a port", text));
  } else if (g_inet_socket_address_get_port(address.get()) == 0) {
    ReportFinding(key, "port 0 is not allowed");
  } else if (IsUnspecified(address.get())) {
    ReportFinding(key, "an unspecified IP address is not allowed");
  } else {
    return true;
  }
  return false;
}

void TableReader::ReadAddresses(std::string_view key, std::vector<std::string>& target) {
  const toml::node* node = LookUp(key);
  if (node == nullptr) return;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    ReportFinding(key, "expected an array of addresses");
    return;
  }
  for (const toml::node& it : *array) {
    const auto text = it.value<std::string>();
    if (!text) {
      ReportFinding(key, "expected an address such as \"127.0.0.1:8080\"");
    } else if (IsUsableAddress(key, *text)) {
      target.push_back(*text);
    }
  }
}

std::vector<std::string> TableReader::Keys() const {
  std::vector<std::string> keys;
  for (const auto& [key, value] : table_) {
    keys.emplace_back(key.str());
  }
  return keys;
}

void TableReader::ReadDuration(std::string_view key, Duration min, Duration max, Duration& target) {
  const auto text = FindString(key, "a duration with its unit in quotes, such as \"2s\"");
  if (!text) return;
  const Quantity quantity = ParseQuantity(*text, kTimeUnits, "2s");
  const auto min_value = static_cast<std::uint64_t>(min.count());
  const auto max_value = static_cast<std::uint64_t>(max.count());
  if (!quantity.error.empty()) {
    ReportFinding(key, quantity.error);
  } else if (quantity.value < min_value || quantity.value > max_value) {
    ReportFinding(key, fmt::format("out of range {} to {}", FormatQuantity(min_value, kTimeUnits),
                                   FormatQuantity(max_value, kTimeUnits)));
  } else {
    target = Duration(static_cast<Duration::rep>(quantity.value));
  }
}

void TableReader::ReadSize(std::string_view key, std::size_t min, std::size_t max,
                           std::size_t& target) {
  const auto text = FindString(key, "a size with its unit in quotes, such as \"1MiB\"");
  if (!text) return;
  const Quantity quantity = ParseQuantity(*text, kSizeUnits, "1MiB");
  if (!quantity.error.empty()) {
    ReportFinding(key, quantity.error);
  } else if (quantity.value < min || quantity.value > max) {
    ReportFinding(key, fmt::format("out of range {} to {}", FormatQuantity(min, kSizeUnits),
                                   FormatQuantity(max, kSizeUnits)));
  } else {
    target = quantity.value;
  }
}

void TableReader::ReadCount(std::string_view key, std::uint64_t min, std::uint64_t max,
                            std::uint64_t& target) {
  const toml::node* node = LookUp(key);
  if (node == nullptr) return;
  const auto* number = node->as_integer();
  if (number == nullptr) {
    ReportFinding(key, "expected a whole number");
  } else if (number->get() < 0 || static_cast<std::uint64_t>(number->get()) < min ||
             static_cast<std::uint64_t>(number->get()) > max) {
    ReportFinding(key, fmt::format("out of range {} to {}", min, max));
  } else {
    target = static_cast<std::uint64_t>(number->get());
  }
}

void TableReader::ReadDouble(std::string_view key, double min, double max, double& target) {
  const toml::node* node = LookUp(key);
  if (node == nullptr) return;
  const std::optional<double> number = node->is_number() ? node->value<double>() : std::nullopt;
  if (!number || std::isnan(*number)) {
    ReportFinding(key, "expected a number");
  } else if (*number < min || *number > max) {
    ReportFinding(key, fmt::format("out of range {} to {}", min, max));
  } else {
    target = *number;
  }
}

TableReader TableReader::OpenTable(std::string_view key) {
  static const toml::table empty;
  const toml::node* node = LookUp(key);
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  if (node != nullptr && table == nullptr) ReportFinding(key, "expected a table");
  return {table == nullptr ? empty : *table, QualifiedKey(key), PlaceOf(key), file_, findings_};
}

void TableReader::ReportUnknownKeys() {
  for (const auto& [key, value] : table_) {
    if (known_keys_.contains(key.str())) continue;
    findings_.Add(ToPlace(file_, key.source()),
                  fmt::format("{}: unknown key", QualifiedKey(key.str())));
  }
}

std::optional<toml::table> ParseToml(std::string_view text, const std::string& file,
                                     Findings& findings) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    const toml::source_position begin = error.source().begin;
    findings.Add({file, begin.line, begin.column}, std::string(error.description()));
    return std::nullopt;
  }
}

}  // namespace cactusshelf
