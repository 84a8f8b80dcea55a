#ifndef CACTUSSHELF_PLACEMENT_SRC_JSON_READER_H_
#define CACTUSSHELF_PLACEMENT_SRC_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace cactusshelf {

// Reads the fields of one JSON object and rejects unknown fields. All functions throw DecodeError
// with the type and the field if the field is missing, has the wrong type or is out of range.
class JsonReader {
 public:
  // `type` is the name of the decoded type in error messages. `json` must outlive the reader.
  JsonReader(const nlohmann::json& json, std::string type);

  const nlohmann::json& Field(const std::string& name);
  std::string String(const std::string& name);
  std::uint64_t Unsigned(const std::string& name,
                         std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::int64_t Signed(const std::string& name);
  std::uint32_t Unsigned32(const std::string& name);
  const nlohmann::json& Array(const std::string& name);

  // Throws if the object has a field that was not read.
  void RejectUnknownFields() const;

  [[noreturn]] void Fail(const std::string& field, const std::string& problem) const;

 private:
  const nlohmann::json& json_;
  std::string type_;
  std::set<std::string> fields_read_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_JSON_READER_H_
