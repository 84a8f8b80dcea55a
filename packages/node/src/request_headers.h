#ifndef CACTUSSHELF_NODE_REQUEST_HEADERS_H_
#define CACTUSSHELF_NODE_REQUEST_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "cactusshelf/request/content.h"

namespace cactusshelf {

// Headers of requests from callers.
inline constexpr std::string_view kAccountHeader = "Cactusshelf-Account";
inline constexpr std::string_view kRequestIdHeader = "Cactusshelf-Request-Id";
inline constexpr std::string_view kIdempotentHeader = "Cactusshelf-Idempotent";
inline constexpr std::string_view kTimeoutHeader = "Cactusshelf-Timeout-Ms";

// Headers of requests to endpoints.
inline constexpr std::string_view kMethodHeader = "Cactusshelf-Method";
inline constexpr std::string_view kPathHeader = "Cactusshelf-Path";

// Headers of responses, from endpoints or to callers.
inline constexpr std::string_view kOutcomeHeader = "Cactusshelf-Outcome";
inline constexpr std::string_view kReasonHeader = "Cactusshelf-Reason";
inline constexpr std::string_view kRefusedHeader = "Cactusshelf-Refused";
inline constexpr std::string_view kLeavingHeader = "Cactusshelf-Leaving";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";

// Whether `name` has the reserved prefix "Cactusshelf-", compared case-insensitively.
bool IsReservedHeader(std::string_view name);

// Value of the first header named `name`, compared case-insensitively.
std::optional<std::string> FindHeader(const Headers& headers, std::string_view name);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_REQUEST_HEADERS_H_
