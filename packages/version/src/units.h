#ifndef CACTUSSHELF_VERSION_SRC_UNITS_H_
#define CACTUSSHELF_VERSION_SRC_UNITS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Parsers for values with units. The result is empty if the unit is missing or unknown, or the
// value is negative or out of range.

// "512MiB": B, KiB, MiB, GiB, TiB, kB, MB, GB or TB.
std::optional<std::int64_t> ParseBytes(std::string_view text);

// "30s": us, ms, s, min, h or d.
std::optional<Duration> ParseDuration(std::string_view text);

// "100/s".
std::optional<double> ParseRate(std::string_view text);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SRC_UNITS_H_
