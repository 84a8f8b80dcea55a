#ifndef CACTUSSHELF_NODE_REQUEST_PARSER_H_
#define CACTUSSHELF_NODE_REQUEST_PARSER_H_

#include <string>
#include <variant>

#include "cactusshelf/connection/request.h"
#include "cactusshelf/node/node_event.h"
#include "cactusshelf/request/outcome.h"
#include "cactusshelf/version/configuration.h"

namespace cactusshelf {

// Why a request cannot be routed, with a message for the caller.
struct BadRequest {
  Reason reason = Reason::kBadRequest;
  std::string message;
};

// Path prefix of requests to services.
inline constexpr std::string_view kServicePathPrefix = "/v1/services/";

// Translates an HTTP request to a Request. The path after the service name and the method are
// passed to the endpoint in the headers kPathHeader and kMethodHeader.
std::variant<Request, BadRequest> ParseRequest(const node_event::CallerRequest& request,
                                               const Configuration& configuration);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_REQUEST_PARSER_H_
