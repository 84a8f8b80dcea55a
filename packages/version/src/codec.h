#ifndef CACTUSSHELF_VERSION_SRC_CODEC_H_
#define CACTUSSHELF_VERSION_SRC_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/offset.h"

namespace cactusshelf {

using Json = nlohmann::json;

// Maximum length of an identifier, address or message in a record.
inline constexpr std::size_t kMaxTextBytes = 1024;

std::string EncodeCbor(const Json& value);

// Throws RecordError for bytes that are not one CBOR value or nest deeper than `max_depth`.
Json DecodeRecordCbor(std::string_view bytes, int max_depth);

Json ToBinary(std::string_view bytes);

// The functions below read a field of a JSON object. They throw RecordError (kInvalidField) if
// `object` is not an object, or if the field is missing or has another type.
const Json& Field(const Json& object, const char* key);
const Json& ArrayField(const Json& object, const char* key);
const Json& ObjectField(const Json& object, const char* key);
std::string BytesField(const Json& object, const char* key);
// Accepts at most kMaxTextBytes bytes.
std::string TextField(const Json& object, const char* key);
std::uint64_t UnsignedField(const Json& object, const char* key);
std::int64_t SignedField(const Json& object, const char* key);
bool BooleanField(const Json& object, const char* key);
WallTime TimeField(const Json& object, const char* key);
// Accepts null, which gives an empty result, or an unsigned integer.
std::optional<std::uint64_t> OptionalUnsignedField(const Json& object, const char* key);

// Like TextField(), but does not accept an empty text.
template <typename Id>
Id IdField(const Json& object, const char* key);

std::int64_t ToMilliseconds(WallTime time);

[[noreturn]] void ThrowInvalidField(std::string_view key);

template <typename Id>
Id IdField(const Json& object, const char* key) {
  Id id(TextField(object, key));
  if (id.empty()) {
    ThrowInvalidField(key);
  }
  return id;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SRC_CODEC_H_
