#include "cactusshelf/base/sha256.h"

#include <glib.h>

namespace cactusshelf {

struct Sha256::State {
  State() : checksum(g_checksum_new(G_CHECKSUM_SHA256)) {}
  ~State() { g_checksum_free(checksum); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  GChecksum* checksum;
};

Sha256::Sha256() : state_(std::make_unique<State>()) {}
Sha256::~Sha256() = default;

Sha256& Sha256::Update(std::string_view data) {
  g_checksum_update(state_->checksum, reinterpret_cast<const guchar*>(data.data()),
                    static_cast<gssize>(data.size()));
  return *this;
}

std::string Sha256::HexDigest() { return g_checksum_get_string(state_->checksum); }

std::string Sha256Hex(std::string_view data) { return Sha256().Update(data).HexDigest(); }

}  // namespace cactusshelf
