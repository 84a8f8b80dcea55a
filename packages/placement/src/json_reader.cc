#include "json_reader.h"

#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

JsonReader::JsonReader(const nlohmann::json& json, std::string type)
    : json_(json), type_(std::move(type)) {
  if (!json_.is_object()) {
    throw DecodeError(type_ + ": not an object");
  }
}

const nlohmann::json& JsonReader::Field(const std::string& name) {
  const auto it = json_.find(name);
  if (it == json_.end()) {
    Fail(name, "missing");
  }
  fields_read_.insert(name);
  return *it;
}

std::string JsonReader::String(const std::string& name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_string()) {
    Fail(name, "not a string");
  }
  return field.get<std::string>();
}

std::uint64_t JsonReader::Unsigned(const std::string& name, std::uint64_t max) {
  const nlohmann::json& field = Field(name);
  if (!field.is_number_integer()) {
    Fail(name, "not an integer");
  }
  if (!field.is_number_unsigned() && field.get<std::int64_t>() < 0) {
    Fail(name, "negative");
  }
  const auto value = field.get<std::uint64_t>();
  if (value > max) {
    Fail(name, "too large");
  }
  return value;
}

std::int64_t JsonReader::Signed(const std::string& name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_number_integer()) {
    Fail(name, "not an integer");
  }
  constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (field.is_number_unsigned() && field.get<std::uint64_t>() > kMax) {
    Fail(name, "too large");
  }
  return field.get<std::int64_t>();
}

std::uint32_t JsonReader::Unsigned32(const std::string& name) {
  return static_cast<std::uint32_t>(Unsigned(name, std::numeric_limits<std::uint32_t>::max()));
}

const nlohmann::json& JsonReader::Array(const std::string& name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_array()) {
    Fail(name, "not an array");
  }
  return field;
}

void JsonReader::RejectUnknownFields() const {
  for (const auto& item : json_.items()) {
    if (!fields_read_.contains(item.key())) {
      Fail(item.key(), "unknown field");
    }
  }
}

void JsonReader::Fail(const std::string& field, const std::string& problem) const {
  throw DecodeError(type_ + "." + field + ": " + problem);
}

}  // namespace cactusshelf
