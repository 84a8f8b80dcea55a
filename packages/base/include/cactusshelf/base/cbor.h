#ifndef CACTUSSHELF_BASE_CBOR_H_
#define CACTUSSHELF_BASE_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

// CBOR bytes that nest deeper than allowed.
class CborDepthError : public DecodeError {
 public:
  using DecodeError::DecodeError;
};

// Decodes one CBOR value. The decoder recurses, so nesting of hostile input is checked first.
// Throws CborDepthError if the value nests deeper than `max_depth`, and DecodeError for bytes that
// are not one value. Thread-safe.
nlohmann::json DecodeCbor(std::string_view bytes, int max_depth);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_CBOR_H_
