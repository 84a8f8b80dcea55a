#ifndef CACTUSSHELF_DAEMON_HTTP_HEADERS_H_
#define CACTUSSHELF_DAEMON_HTTP_HEADERS_H_

#include <libsoup/soup.h>

#include <vector>

#include "cactusshelf/daemon/gobject_ptr.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// Headers of a message without those that describe its framing or its connection, which end at
// this hop (RFC 9110, section 7.6.1).
std::vector<HttpHeader> CopyEndToEndHeaders(SoupMessageHeaders* headers);

// Appends those of `source` that do not describe framing or the connection.
void AppendEndToEndHeaders(const std::vector<HttpHeader>& source, SoupMessageHeaders* target);

// Bytes that share the storage of `body`.
GBytesPtr ShareBody(const Body& body);

// True if the other side has closed the connection and all that it sent has been read.
bool IsAtEnd(GSocket* socket);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_HTTP_HEADERS_H_
