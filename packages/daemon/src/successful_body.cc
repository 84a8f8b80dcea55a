#include "successful_body.h"

#include <fmt/format.h>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

const std::string& SuccessfulBody(const HttpResult& result) {
  if (const auto* error = std::get_if<HttpError>(&result)) throw Error(error->reason);
  const auto& response = std::get<HttpResponse>(result);
  if (response.status < 200 || response.status > 299) {
    throw Error(fmt::format("status {}", response.status));
  }
  return *response.body;
}

}  // namespace cactusshelf
