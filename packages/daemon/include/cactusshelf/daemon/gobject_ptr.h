#ifndef CACTUSSHELF_DAEMON_GOBJECT_PTR_H_
#define CACTUSSHELF_DAEMON_GOBJECT_PTR_H_

#include <glib-object.h>

#include <memory>

namespace cactusshelf {

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// Owns one reference to a GObject.
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

// Adds a reference to `object`, which must not be null, and returns it.
template <typename T>
GObjectPtr<T> RefGObject(T* object) {
  return GObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

struct GBytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

struct GUriUnref {
  void operator()(GUri* uri) const { g_uri_unref(uri); }
};
using GUriPtr = std::unique_ptr<GUri, GUriUnref>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_GOBJECT_PTR_H_
