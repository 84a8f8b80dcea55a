#include "codec.h"

#include <fmt/format.h>

#include <limits>

#include "cactusshelf/version/log_record.h"

namespace cactusshelf {
namespace {

// Rejects nested containers before nlohmann::json builds them: its decoder recurses without bound.
class DepthLimit : public nlohmann::json_sax<Json> {
 public:
  explicit DepthLimit(int max_depth) : left_(max_depth) {}

  bool too_deep() const { return left_ < 0; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return --left_ >= 0; }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return ++left_ > 0; }
  bool start_array(std::size_t /*elements*/) override { return --left_ >= 0; }
  bool end_array() override { return ++left_ > 0; }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  int left_;
};

}  // namespace

std::string EncodeCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

Json DecodeCbor(std::string_view bytes, int max_depth) {
  DepthLimit limit(max_depth);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &limit, Json::input_format_t::cbor)) {
    throw RecordError(limit.too_deep() ? RecordFault::kTooDeep : RecordFault::kMalformed,
                      limit.too_deep() ? "CBOR nests too deeply" : "bytes are not one CBOR value");
  }
  try {
    return Json::from_cbor(bytes.begin(), bytes.end());
  } catch (const Json::exception& error) {
    throw RecordError(RecordFault::kMalformed, error.what());
  }
}

Json Binary(std::string_view bytes) {
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
  // Far enough from the ends of the range that adding durations cannot overflow.
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
