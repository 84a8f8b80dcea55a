#ifndef CACTUSSHELF_VERSION_SRC_BASE64_H_
#define CACTUSSHELF_VERSION_SRC_BASE64_H_

#include <string>
#include <string_view>

namespace cactusshelf {

std::string EncodeBase64(std::string_view bytes);

// Throws DecodeError unless `text` is exactly what EncodeBase64() gives for the result.
std::string DecodeBase64(const std::string& text);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SRC_BASE64_H_
