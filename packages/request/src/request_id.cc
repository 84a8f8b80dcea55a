#include "cactusshelf/request/request_id.h"

#include <cassert>

#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kTimestampBytes = 6;
constexpr unsigned kVersion = 7;
constexpr std::string_view kHexDigits = "0123456789abcdef";

constexpr bool IsHyphenPosition(std::size_t n) { return n == 8 || n == 13 || n == 18 || n == 23; }

int HexDigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

std::string_view ToStringView(const std::array<std::uint8_t, 16>& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

std::optional<RequestId> RequestId::Parse(std::string_view text) {
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  std::array<std::uint8_t, 16> bytes{};
  std::size_t digits = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (IsHyphenPosition(i)) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const int value = HexDigitValue(text[i]);
    if (value < 0) {
      return std::nullopt;
    }
    std::uint8_t& byte = bytes[digits / 2];
    byte = static_cast<std::uint8_t>(byte << 4 | value);
    ++digits;
  }
  const bool version_ok = bytes[6] >> 4 == kVersion;
  const bool variant_ok = bytes[8] >> 6 == 2;
  if (!version_ok || !variant_ok) {
    return std::nullopt;
  }
  return RequestId(bytes);
}

RequestId RequestId::Make(WallTime issued_at, Random& random) {
  std::array<std::uint8_t, 16> bytes{};
  auto ms = static_cast<std::uint64_t>(issued_at.time_since_epoch().count());
  for (std::size_t i = kTimestampBytes; i-- > 0; ms >>= 8) {
    bytes[i] = static_cast<std::uint8_t>(ms);
  }
  const std::uint64_t random_high = random.Next();
  std::uint64_t random_low = random.Next();
  bytes[6] = static_cast<std::uint8_t>(kVersion << 4 | (random_high & 0x0f));
  bytes[7] = static_cast<std::uint8_t>(random_high >> 8);
  for (std::size_t i = 8; i < bytes.size(); ++i, random_low >>= 8) {
    bytes[i] = static_cast<std::uint8_t>(random_low);
  }
  bytes[8] = static_cast<std::uint8_t>(0x80 | (bytes[8] & 0x3f));
  return RequestId(bytes);
}

WallTime RequestId::IssuedAt() const {
  std::int64_t ms = 0;
  for (std::size_t i = 0; i < kTimestampBytes; ++i) {
    ms = ms << 8 | bytes_[i];
  }
  return WallTime(std::chrono::milliseconds(ms));
}

std::string RequestId::ShardKey() const {
  // All bytes are hashed because id generators differ in which bits are random.
  const std::uint64_t shard = RendezvousWeight("request", ToStringView(bytes_)) % kShards;
  return "request/" + std::to_string(shard);
}

std::string RequestId::ToString() const {
  std::string text;
  text.reserve(kTextLength);
  for (const std::uint8_t byte : bytes_) {
    if (IsHyphenPosition(text.size())) {
      text += '-';
    }
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 0x0f];
  }
  return text;
}

std::size_t RequestId::Hash() const { return RendezvousWeight({}, ToStringView(bytes_)); }

}  // namespace cactusshelf
