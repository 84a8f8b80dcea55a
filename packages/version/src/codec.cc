#include "codec.h"

#include <fmt/format.h>

#include <limits>
#include <utility>
#include <vector>

#include "cactusshelf/version/log_record.h"

namespace cactusshelf {
namespace {

// Builds a value with bounded nesting: the recursion of nlohmann's own decoder has no bound. Does
// so in one pass, since a snapshot record has several megabytes.
class BoundedBuilder : public nlohmann::json_sax<Json> {
 public:
  explicit BoundedBuilder(int max_depth) : max_depth_(static_cast<std::size_t>(max_depth)) {}

  Json TakeResult() { return std::move(root_); }
  bool too_deep() const { return too_deep_; }

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override { return Add(value); }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& value) override { return Add(Json::binary(std::move(value))); }
  bool start_object(std::size_t /*elements*/) override { return Open(Json::object()); }
  bool start_array(std::size_t /*elements*/) override { return Open(Json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& value) override {
    member_ = &(*open_.back())[value];
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Add(Json value) {
    Insert(std::move(value));
    return true;
  }

  Json* Insert(Json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    if (open_.back()->is_array()) {
      open_.back()->push_back(std::move(value));
      return &open_.back()->back();
    }
    *member_ = std::move(value);
    return member_;
  }

  bool Open(Json container) {
    too_deep_ = open_.size() == max_depth_;
    if (!too_deep_) {
      open_.push_back(Insert(std::move(container)));
    }
    return !too_deep_;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  std::size_t max_depth_;
  bool too_deep_ = false;
  Json root_;
  // Containers that have begun. Only the last one grows, so that the pointers stay valid.
  std::vector<Json*> open_;
  // Value of the key that was read last.
  Json* member_ = nullptr;
};

}  // namespace

std::string EncodeCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

Json DecodeCbor(std::string_view bytes, int max_depth) {
  BoundedBuilder builder(max_depth);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor)) {
    throw RecordError(
        builder.too_deep() ? RecordFault::kTooDeep : RecordFault::kMalformed,
        builder.too_deep() ? "CBOR nests too deeply" : "the bytes are not one CBOR value");
  }
  return builder.TakeResult();
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
