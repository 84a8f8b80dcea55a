#include "http_headers.h"

#include <gio/gio.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>

namespace cactusshelf {
namespace {

constexpr auto kHopByHopHeaders = std::to_array<std::string_view>(
    {"connection", "content-length", "expect", "host", "keep-alive", "proxy-authenticate",
     "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"});

bool IsHopByHopHeader(std::string_view name) {
  return std::ranges::any_of(kHopByHopHeaders, [name](std::string_view hop_header) {
    return name.size() == hop_header.size() &&
           g_ascii_strncasecmp(name.data(), hop_header.data(), hop_header.size()) == 0;
  });
}

}  // namespace

std::vector<HttpHeader> CopyEndToEndHeaders(SoupMessageHeaders* headers) {
  const char* connection_tokens = soup_message_headers_get_list(headers, "Connection");
  std::vector<HttpHeader> copy;
  SoupMessageHeadersIter iter;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(&iter, headers);
  while (soup_message_headers_iter_next(&iter, &name, &value)) {
    if (IsHopByHopHeader(name)) continue;
    if (connection_tokens != nullptr && soup_header_contains(connection_tokens, name)) continue;
    copy.push_back({name, value});
  }
  return copy;
}

void AppendEndToEndHeaders(const std::vector<HttpHeader>& source, SoupMessageHeaders* target) {
  for (const HttpHeader& header : source) {
    if (IsHopByHopHeader(header.name)) continue;
    soup_message_headers_append(target, header.name.c_str(), header.value.c_str());
  }
}

GBytesPtr WrapInGBytes(const Body& body) {
  const auto release = [](gpointer data) { delete static_cast<Body*>(data); };
  return GBytesPtr(g_bytes_new_with_free_func(body->data(), body->size(), release, new Body(body)));
}

bool IsAtEndOfStream(GSocket* socket) {
  char byte = 0;
  const ssize_t n = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return false;
  return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace cactusshelf
