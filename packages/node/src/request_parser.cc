#include "request_parser.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "request_headers.h"

namespace cactusshelf {
namespace {

// Service name and the rest of the path, which starts with '/'.
struct ServicePath {
  std::string service;
  std::string rest;
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
  std::string rest = end == std::string_view::npos ? "/" : std::string(path.substr(end));
  if (!rest.starts_with('/')) {
    rest.insert(rest.begin(), '/');
  }
  return ServicePath{std::string(service), std::move(rest)};
}

std::optional<Duration> ParseTimeout(std::string_view text) {
  std::uint32_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || n == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(n);
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

Headers PassedOnHeaders(const node_event::CallerRequest& request, const std::string& path) {
  Headers headers;
  for (const Header& it : request.headers) {
    if (!IsOwnHeader(it.name)) {
      headers.push_back(it);
    }
  }
  headers.push_back({std::string(kMethodHeader), request.method});
  headers.push_back({std::string(kPathHeader), path});
  return headers;
}

BadRequest Malformed(std::string message) { return {Reason::kBadRequest, std::move(message)}; }

// Reads the headers that steer the request. Returns the fault, if any.
std::optional<BadRequest> ReadControlHeaders(const Headers& headers, Request& request) {
  if (const auto idempotent = FindHeader(headers, kIdempotentHeader)) {
    const auto value = ParseBool(*idempotent);
    if (!value) {
      return Malformed("Cactusshelf-Idempotent must be true or false");
    }
    request.idempotent = *value;
  }
  if (const auto text = FindHeader(headers, kRequestIdHeader)) {
    request.id = RequestId::Parse(*text);
    if (!request.id) {
      return Malformed("Cactusshelf-Request-Id must be a UUID of version 7");
    }
  }
  if (!request.idempotent && !request.id) {
    return Malformed("a non-idempotent request needs the header Cactusshelf-Request-Id");
  }
  if (const auto text = FindHeader(headers, kTimeoutHeader)) {
    request.timeout = ParseTimeout(*text);
    if (!request.timeout) {
      return Malformed("Cactusshelf-Timeout-Ms must be a positive whole number");
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
  if (auto fault = ReadControlHeaders(caller.headers, request)) {
    return std::move(*fault);
  }
  request.headers = PassedOnHeaders(caller, path->rest);
  request.body = caller.body;
  return request;
}

}  // namespace cactusshelf
