#ifndef CACTUSSHELF_DAEMON_SUCCESSFUL_BODY_H_
#define CACTUSSHELF_DAEMON_SUCCESSFUL_BODY_H_

#include <string>

#include "cactusshelf/daemon/http_client.h"

namespace cactusshelf {

// Body of an answer with status 2xx. Throws Error with the reason otherwise. The reference is valid
// as long as `result`.
const std::string& SuccessfulBody(const HttpResult& result);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SUCCESSFUL_BODY_H_
