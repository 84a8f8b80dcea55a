#include "base64.h"

#include <glib.h>

#include <memory>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

struct GFree {
  void operator()(void* memory) const { g_free(memory); }
};

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const std::unique_ptr<gchar, GFree> text(
      g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size()));
  return text.get();
}

std::string DecodeBase64(const std::string& text) {
  gsize size = 0;
  const std::unique_ptr<guchar, GFree> buf(g_base64_decode(text.c_str(), &size));
  std::string bytes(reinterpret_cast<const char*>(buf.get()), size);
  // GLib skips invalid characters instead of reporting them, so compare the re-encoded bytes.
  if (EncodeBase64(bytes) != text) {
    throw DecodeError("invalid base64");
  }
  return bytes;
}

}  // namespace cactusshelf
