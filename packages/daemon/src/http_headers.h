#ifndef CACTUSSHELF_DAEMON_HTTP_HEADERS_H_
#define CACTUSSHELF_DAEMON_HTTP_HEADERS_H_

#include <libsoup/soup.h>

#include <vector>

#include "cactusshelf/daemon/gobject_ptr.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// Copies the headers of a message except the hop-by-hop headers, which describe its framing or its
// connection (RFC 9110, section 7.6.1).
std::vector<HttpHeader> CopyEndToEndHeaders(SoupMessageHeaders* headers);

// Appends the headers of `source` to `target`, except hop-by-hop headers.
void AppendEndToEndHeaders(const std::vector<HttpHeader>& source, SoupMessageHeaders* target);

// Returns a GBytes that shares the storage of `body`.
GBytesPtr WrapInGBytes(const Body& body);

// Returns whether the remote end has closed or reset the connection and all received data has been
// read.
bool IsAtEndOfStream(GSocket* socket);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_HTTP_HEADERS_H_
