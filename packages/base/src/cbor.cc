#include "cactusshelf/base/cbor.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

// Builds a value and rejects nesting beyond `max_depth`; the parser of nlohmann::json recurses
// without a limit. Checks the depth while building, in a single pass, because a snapshot record has
// several megabytes.
class DepthLimitedBuilder : public nlohmann::json_sax<Json> {
 public:
  explicit DepthLimitedBuilder(int max_depth) : max_depth_(static_cast<std::size_t>(max_depth)) {}

  Json TakeResult() { return std::move(result_); }
  bool too_deep() const { return too_deep_; }

  bool null() override { return AddScalar(nullptr); }
  bool boolean(bool value) override { return AddScalar(value); }
  bool number_integer(number_integer_t value) override { return AddScalar(value); }
  bool number_unsigned(number_unsigned_t value) override { return AddScalar(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return AddScalar(value);
  }
  bool string(string_t& value) override { return AddScalar(std::move(value)); }
  bool binary(binary_t& value) override { return AddScalar(Json::binary(std::move(value))); }
  bool start_object(std::size_t /*elements*/) override { return OpenContainer(Json::object()); }
  bool start_array(std::size_t /*elements*/) override { return OpenContainer(Json::array()); }
  bool end_object() override { return CloseContainer(); }
  bool end_array() override { return CloseContainer(); }

  bool key(string_t& value) override {
    value_of_last_key_ = &(*open_containers_.back())[value];
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool AddScalar(Json value) {
    Insert(std::move(value));
    return true;
  }

  Json* Insert(Json value) {
    if (open_containers_.empty()) {
      result_ = std::move(value);
      return &result_;
    }
    if (open_containers_.back()->is_array()) {
      open_containers_.back()->push_back(std::move(value));
      return &open_containers_.back()->back();
    }
    *value_of_last_key_ = std::move(value);
    return value_of_last_key_;
  }

  bool OpenContainer(Json container) {
    too_deep_ = open_containers_.size() == max_depth_;
    if (!too_deep_) {
      open_containers_.push_back(Insert(std::move(container)));
    }
    return !too_deep_;
  }

  bool CloseContainer() {
    open_containers_.pop_back();
    return true;
  }

  std::size_t max_depth_;
  bool too_deep_ = false;
  Json result_;
  // Stack of unfinished containers. Only the innermost one grows, so the pointers stay valid.
  std::vector<Json*> open_containers_;
  // Value that belongs to the most recently read key.
  Json* value_of_last_key_ = nullptr;
};

}  // namespace

nlohmann::json DecodeCbor(std::string_view bytes, int max_depth) {
  DepthLimitedBuilder builder(max_depth);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor)) {
    if (builder.too_deep()) {
      throw CborDepthError("CBOR value exceeds the nesting limit");
    }
    throw DecodeError("input is not exactly one valid CBOR value");
  }
  return builder.TakeResult();
}

}  // namespace cactusshelf
