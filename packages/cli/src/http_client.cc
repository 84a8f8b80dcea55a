#include "http_client.h"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <utility>

namespace cactusshelf {
namespace {

struct ObjectDeleter {
  void operator()(gpointer object) const { g_object_unref(object); }
};

struct BytesDeleter {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

using MessagePtr = std::unique_ptr<SoupMessage, ObjectDeleter>;
using BytesPtr = std::unique_ptr<GBytes, BytesDeleter>;

}  // namespace

struct HttpClient::State {
  State(const std::string& server_address, std::chrono::seconds timeout)
      : address(server_address), session(soup_session_new()) {
    soup_session_set_timeout(session.get(), static_cast<guint>(timeout.count()));
  }

  MessagePtr NewMessage(const char* method, const std::string& path) const {
    const std::string uri = fmt::format("http://{}{}", address, path);
    MessagePtr message(soup_message_new(method, uri.c_str()));
    if (message == nullptr) {
      throw SettingsError(fmt::format("'{}' is not an address of the form IP:port", address));
    }
    return message;
  }

  HttpReply Send(const MessagePtr& message) const {
    GError* error = nullptr;
    const BytesPtr body(soup_session_send_and_read(session.get(), message.get(), nullptr, &error));
    if (body == nullptr) {
      const std::string text = error->message;
      g_error_free(error);
      throw HttpError(fmt::format("{}: {}", address, text));
    }
    gsize size = 0;
    const void* data = g_bytes_get_data(body.get(), &size);
    return {soup_message_get_status(message.get()),
            std::string(static_cast<const char*>(data), size)};
  }

  std::string address;
  std::unique_ptr<SoupSession, ObjectDeleter> session;
};

HttpClient::HttpClient(const std::string& address, std::chrono::seconds timeout)
    : state_(std::make_unique<State>(address, timeout)) {
  if (address.find_first_of("/?#@ ") != std::string::npos ||
      address.find(':') == std::string::npos) {
    throw SettingsError(fmt::format("'{}' is not an address of the form IP:port", address));
  }
  state_->NewMessage("GET", "/");
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

HttpReply HttpClient::Get(const std::string& path) {
  return state_->Send(state_->NewMessage("GET", path));
}

HttpReply HttpClient::Post(const std::string& path, std::string_view body,
                           std::string_view content_type) {
  const MessagePtr message = state_->NewMessage("POST", path);
  const BytesPtr bytes(g_bytes_new(body.data(), body.size()));
  soup_message_set_request_body_from_bytes(message.get(), std::string(content_type).c_str(),
                                           bytes.get());
  return state_->Send(message);
}

}  // namespace cactusshelf
