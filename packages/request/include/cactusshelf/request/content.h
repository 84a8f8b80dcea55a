#ifndef CACTUSSHELF_REQUEST_CONTENT_H_
#define CACTUSSHELF_REQUEST_CONTENT_H_

#include <memory>
#include <string>
#include <vector>

namespace cactusshelf {

// Shared immutable bytes; never modified after construction. Null means empty.
using Body = std::shared_ptr<const std::string>;

inline std::size_t BodySize(const Body& body) { return body ? body->size() : 0; }

struct Header {
  std::string name;
  std::string value;

  friend bool operator==(const Header&, const Header&) = default;
};

using Headers = std::vector<Header>;

// Complete response of an endpoint.
struct Response {
  int status = 0;
  Headers headers;
  Body body;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_CONTENT_H_
