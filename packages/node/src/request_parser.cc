#include "request_parser.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "request_headers.h"

namespace cactusshelf {
namespace {

// Service name and the remaining path, which starts with '/'.
struct ServicePath {
  std::string service;
  std::string subpath;
};

std::optional<ServicePath> SplitPath(std::string_view path) {
  if (!path.starts_with(kServicePathPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kServicePathPrefix.size());
  const std::size_t end = path.find_first_of("/?");
  const std::string_view service = path.substr(0, end);
  if (service.empty()) {
    return std::nullopt;
  }
  std::string subpath = end == std::string_view::npos ? "/" : std::string(path.substr(end));
  if (!subpath.starts_with('/')) {
    subpath.insert(subpath.begin(), '/');
  }
  return ServicePath{std::string(service), std::move(subpath)};
}

std::optional<Duration> ParseTimeout(std::string_view text) {
  std::uint32_t timeout_ms = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), timeout_ms);
  if (ec != std::errc() || end != text.data() + text.size() || timeout_ms == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(timeout_ms);
}

std::optional<bool> ParseBool(std::string_view text) {
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  return std::nullopt;
}

Headers MakeForwardedHeaders(const node_event::CallerRequest& request, const std::string& path) {
  Headers headers;
  for (const Header& it : request.headers) {
    if (!IsReservedHeader(it.name)) {
      headers.push_back(it);
    }
  }
  headers.push_back({std::string(kMethodHeader), request.method});
  headers.push_back({std::string(kPathHeader), path});
  return headers;
}

BadRequest MakeBadRequest(std::string message) { return {Reason::kBadRequest, std::move(message)}; }

// Parses the headers that control how a request is run. Returns an error if one is invalid.
std::optional<BadRequest> ParseControlHeaders(const Headers& headers, Request& request) {
  if (const auto idempotent = FindHeader(headers, kIdempotentHeader)) {
    const auto value = ParseBool(*idempotent);
    if (!value) {
      return MakeBadRequest("Cactusshelf-Idempotent must be true or false");
    }
    request.idempotent = *value;
  }
  if (const auto text = FindHeader(headers, kRequestIdHeader)) {
    request.id = RequestId::Parse(*text);
    if (!request.id) {
      return MakeBadRequest("Cactusshelf-Request-Id must be a UUID of version 7");
    }
  }
  if (!request.idempotent && !request.id) {
    return MakeBadRequest("a non-idempotent request needs the header Cactusshelf-Request-Id");
  }
  if (const auto text = FindHeader(headers, kTimeoutHeader)) {
    request.timeout = ParseTimeout(*text);
    if (!request.timeout) {
      return MakeBadRequest("Cactusshelf-Timeout-Ms must be a positive whole number");
    }
  }
  return std::nullopt;
}

}  // namespace

std::variant<Request, BadRequest> ParseRequest(const node_event::CallerRequest& caller,
                                               const Configuration& configuration) {
  const auto path = SplitPath(caller.path);
  if (!path) {
    return BadRequest{Reason::kUnknownService, "path must be /v1/services/<service>/<path>"};
  }
  Request request;
  request.service = ServiceId(path->service);
  if (configuration.Find(request.service) == nullptr) {
    return BadRequest{Reason::kUnknownService, "no service named " + path->service};
  }
  request.account = AccountId(FindHeader(caller.headers, kAccountHeader).value_or(""));
  const Account* account = configuration.Find(request.account);
  if (account == nullptr) {
    return BadRequest{Reason::kUnknownAccount, "Cactusshelf-Account names no account in force"};
  }
  request.customer = account->customer;
  if (auto bad_request = ParseControlHeaders(caller.headers, request)) {
    return std::move(*bad_request);
  }
  request.headers = MakeForwardedHeaders(caller, path->subpath);
  request.body = caller.body;
  return request;
}

}  // namespace cactusshelf
