#include "units.h"

#include <charconv>
#include <cmath>
#include <span>
#include <system_error>

namespace cactusshelf {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};

constexpr Unit kByteUnits[] = {
    {"B", 1},    {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"TiB", 1099511627776},
    {"kB", 1e3}, {"MB", 1e6},   {"GB", 1e9},      {"TB", 1e12},
};

// Factors in microseconds.
constexpr Unit kDurationUnits[] = {
    {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 6e7}, {"h", 3.6e9}, {"d", 8.64e10},
};

constexpr Unit kRateUnits[] = {{"/s", 1}};

// Largest range in which a double represents all integers exactly (2^53). Far above any capacity or
// run time.
constexpr double kMaxExactInteger = 9007199254740992.0;

std::optional<double> ParseQuantity(std::string_view text, std::span<const Unit> units) {
  double value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || !std::isfinite(value) || std::signbit(value)) {
    return std::nullopt;
  }
  const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const Unit& it : units) {
    if (it.name == suffix && value * it.factor <= kMaxExactInteger) {
      return value * it.factor;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::int64_t> ParseBytes(std::string_view text) {
  const auto value = ParseQuantity(text, kByteUnits);
  return value ? std::optional(std::llround(*value)) : std::nullopt;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto value = ParseQuantity(text, kDurationUnits);
  return value ? std::optional(Duration(std::llround(*value))) : std::nullopt;
}

std::optional<double> ParseRate(std::string_view text) { return ParseQuantity(text, kRateUnits); }

}  // namespace cactusshelf
