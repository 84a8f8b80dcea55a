#include "codec.h"

#include <fmt/format.h>

#include <limits>

#include "cactusshelf/base/cbor.h"
#include "cactusshelf/version/log_record.h"

namespace cactusshelf {
std::string EncodeCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

Json DecodeRecordCbor(std::string_view bytes, int max_depth) {
  try {
    return DecodeCbor(bytes, max_depth);
  } catch (const CborDepthError& error) {
    throw RecordError(RecordFault::kTooDeep, error.what());
  } catch (const DecodeError& error) {
    throw RecordError(RecordFault::kMalformed, error.what());
  }
}

Json ToBinary(std::string_view bytes) {
  return Json::binary(Json::binary_t::container_type(bytes.begin(), bytes.end()));
}

void ThrowInvalidField(std::string_view key) {
  throw RecordError(RecordFault::kInvalidField,
                    fmt::format("field '{}' is missing or invalid", key));
}

const Json& Field(const Json& object, const char* key) {
  if (!object.is_object()) {
    ThrowInvalidField(key);
  }
  const auto it = object.find(key);
  if (it == object.end()) {
    ThrowInvalidField(key);
  }
  return *it;
}

const Json& ArrayField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  return value.is_array() ? value : (ThrowInvalidField(key), value);
}

const Json& ObjectField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  return value.is_object() ? value : (ThrowInvalidField(key), value);
}

std::string BytesField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  if (!value.is_binary()) {
    ThrowInvalidField(key);
  }
  const Json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::string TextField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  if (!value.is_string()) {
    ThrowInvalidField(key);
  }
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > kMaxTextBytes) {
    ThrowInvalidField(key);
  }
  return text;
}

std::uint64_t UnsignedField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  if (!value.is_number_unsigned()) {
    ThrowInvalidField(key);
  }
  return value.get<std::uint64_t>();
}

std::int64_t SignedField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  if (!value.is_number_integer()) {
    ThrowInvalidField(key);
  }
  if (value.is_number_unsigned() &&
      value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max()) {
    ThrowInvalidField(key);
  }
  return value.get<std::int64_t>();
}

bool BooleanField(const Json& object, const char* key) {
  const Json& value = Field(object, key);
  if (!value.is_boolean()) {
    ThrowInvalidField(key);
  }
  return value.get<bool>();
}

WallTime TimeField(const Json& object, const char* key) {
  // Keeps values far enough from the limits of WallTime that adding durations cannot overflow.
  constexpr std::int64_t kBound = std::int64_t{1} << 52;
  const std::int64_t value = SignedField(object, key);
  if (value < -kBound || value > kBound) {
    ThrowInvalidField(key);
  }
  return WallTime(std::chrono::milliseconds(value));
}

std::optional<std::uint64_t> OptionalUnsignedField(const Json& object, const char* key) {
  if (Field(object, key).is_null()) {
    return std::nullopt;
  }
  return UnsignedField(object, key);
}

std::int64_t ToMilliseconds(WallTime time) { return time.time_since_epoch().count(); }

}  // namespace cactusshelf
