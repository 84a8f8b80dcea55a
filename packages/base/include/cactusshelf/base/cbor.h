#ifndef CACTUSSHELF_BASE_CBOR_H_
#define CACTUSSHELF_BASE_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

// A CBOR value is nested deeper than allowed.
class CborDepthError : public DecodeError {
 public:
  using DecodeError::DecodeError;
};

// Decodes one CBOR value. The decoder is recursive, so the nesting depth is limited to keep
// malicious input from exhausting the stack. Throws CborDepthError if the value is nested deeper
// than `max_depth`, and DecodeError if `bytes` is not exactly one CBOR value. Thread-safe.
nlohmann::json DecodeCbor(std::string_view bytes, int max_depth);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_CBOR_H_
