#include "cactusshelf/base/cbor.h"

#include <string>

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

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

nlohmann::json DecodeCbor(std::string_view bytes, int max_depth) {
  DepthLimit limit(max_depth);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &limit, Json::input_format_t::cbor)) {
    if (limit.too_deep()) {
      throw CborDepthError("CBOR nests too deeply");
    }
    throw DecodeError("bytes are not one CBOR value");
  }
  try {
    return Json::from_cbor(bytes.begin(), bytes.end());
  } catch (const Json::exception& ec) {
    throw DecodeError(ec.what());
  }
}

}  // namespace cactusshelf
