#ifndef CACTUSSHELF_BASE_SHA256_H_
#define CACTUSSHELF_BASE_SHA256_H_

#include <memory>
#include <string>
#include <string_view>

namespace cactusshelf {

// Incremental SHA-256. Not thread-safe.
class Sha256 {
 public:
  Sha256();
  ~Sha256();
  Sha256(const Sha256&) = delete;
  Sha256& operator=(const Sha256&) = delete;

  Sha256& Update(std::string_view data);

  // Digest as 64 lower-case hexadecimal digits. Update must not be called afterwards.
  std::string HexDigest();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Digest of `data` as 64 lower-case hexadecimal digits. Thread-safe.
std::string Sha256Hex(std::string_view data);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_SHA256_H_
