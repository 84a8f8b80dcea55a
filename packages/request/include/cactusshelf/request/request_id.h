#ifndef CACTUSSHELF_REQUEST_REQUEST_ID_H_
#define CACTUSSHELF_REQUEST_REQUEST_ID_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Request id: a UUIDv7, which contains its time of issue. Immutable.
class RequestId {
 public:
  // Number of shards over which the ownership of request ids is distributed.
  static constexpr std::uint32_t kShards = 1024;

  // Parses the canonical text form, in either case. Empty if `text` is not a UUID of version 7
  // and variant 2.
  static std::optional<RequestId> Parse(std::string_view text);

  // Returns a new id with `issued_at` as its time of issue. Precondition: `issued_at` is not before
  // 1970.
  static RequestId Make(WallTime issued_at, Random& random);

  WallTime IssuedAt() const;

  // Ownership key of the shard of this id: "request/<n>", n < kShards.
  std::string ShardKey() const;

  // Canonical lower-case text form.
  std::string ToString() const;

  std::size_t Hash() const;

  friend bool operator==(const RequestId&, const RequestId&) = default;
  // Orders ids by their time of issue.
  friend bool operator<(const RequestId& a, const RequestId& b) { return a.bytes_ < b.bytes_; }

 private:
  explicit RequestId(const std::array<std::uint8_t, 16>& bytes) : bytes_(bytes) {}

  std::array<std::uint8_t, 16> bytes_;
};

}  // namespace cactusshelf

template <>
struct std::hash<cactusshelf::RequestId> {
  std::size_t operator()(const cactusshelf::RequestId& id) const noexcept { return id.Hash(); }
};

#endif  // CACTUSSHELF_REQUEST_REQUEST_ID_H_
