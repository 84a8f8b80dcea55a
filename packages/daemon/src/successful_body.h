#ifndef CACTUSSHELF_DAEMON_SUCCESSFUL_BODY_H_
#define CACTUSSHELF_DAEMON_SUCCESSFUL_BODY_H_

#include <string>

#include "cactusshelf/daemon/http_client.h"

namespace cactusshelf {

// Returns the body of a response with a 2xx status and throws Error with the reason otherwise. The
// reference is valid during the lifetime of `result`.
const std::string& SuccessfulBody(const HttpResult& result);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SUCCESSFUL_BODY_H_
