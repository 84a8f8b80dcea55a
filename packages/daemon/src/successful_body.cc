#include "successful_body.h"

#include <fmt/format.h>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

const std::string& SuccessfulBody(const HttpResult& result) {
  if (const auto* error = std::get_if<HttpError>(&result)) throw Error(error->reason);
  const auto& answer = std::get<HttpAnswer>(result);
  if (answer.status < 200 || answer.status > 299) {
    throw Error(fmt::format("status {}", answer.status));
  }
  return *answer.body;
}

}  // namespace cactusshelf
