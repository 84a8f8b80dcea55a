#include "cactusshelf/base/cbor.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

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

nlohmann::json DecodeCbor(std::string_view bytes, int max_depth) {
  BoundedBuilder builder(max_depth);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor)) {
    if (builder.too_deep()) {
      throw CborDepthError("CBOR nests too deeply");
    }
    throw DecodeError("the bytes are not one CBOR value");
  }
  return builder.TakeResult();
}

}  // namespace cactusshelf
