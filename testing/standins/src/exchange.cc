#include "exchange.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace cactusshelf {

Exchange::Exchange(SoupServerMessage* message, GSocket* socket)
    : message_(message), socket_(socket) {
  g_object_ref(message_);
  g_object_ref(socket_);
}

Exchange::~Exchange() {
  g_object_unref(socket_);
  g_object_unref(message_);
}

std::string Exchange::Method() const { return soup_server_message_get_method(message_); }

std::string Exchange::Path() const { return g_uri_get_path(soup_server_message_get_uri(message_)); }

std::string Exchange::Header(const char* name) const {
  const char* value =
      soup_message_headers_get_one(soup_server_message_get_request_headers(message_), name);
  return value == nullptr ? "" : value;
}

std::int64_t Exchange::QueryNumber(const char* name, std::int64_t default_value) const {
  const char* query = g_uri_get_query(soup_server_message_get_uri(message_));
  if (query == nullptr) {
    return default_value;
  }
  GHashTable* fields = soup_form_decode(query);
  const auto* value = static_cast<const char*>(g_hash_table_lookup(fields, name));
  const std::string text = value == nullptr ? "" : value;
  g_hash_table_unref(fields);
  return value == nullptr ? default_value : std::stoll(text);
}

std::string Exchange::Body() const {
  SoupMessageBody* body = soup_server_message_get_request_body(message_);
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string text = size == 0 ? "" : std::string(data, size);
  g_bytes_unref(bytes);
  return text;
}

void Exchange::AddResponseHeader(const char* name, const std::string& value) {
  soup_message_headers_replace(soup_server_message_get_response_headers(message_), name,
                               value.c_str());
}

void Exchange::Respond(unsigned status, const nlohmann::json& body) {
  const std::string text = body.dump();
  // libsoup closes connections that it did not accept itself after one response. Without this
  // header the client would send its next request on a connection that is about to close.
  AddResponseHeader("Connection", "close");
  soup_server_message_set_status(message_, status, nullptr);
  soup_server_message_set_response(message_, "application/json", SOUP_MEMORY_COPY, text.data(),
                                   text.size());
  Resume();
}

void Exchange::RespondTruncated(unsigned status, const nlohmann::json& body,
                                std::size_t sent_bytes) {
  const std::string text = body.dump();
  std::string sent =
      "HTTP/1.1 " + std::to_string(status) +
      " Cut\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
      "\r\n\r\n";
  sent += text.substr(0, std::min(sent_bytes, text.size()));
  g_socket_send(socket_, sent.data(), sent.size(), nullptr, nullptr);
  Close();
}

void Exchange::Close() {
  g_socket_shutdown(socket_, TRUE, TRUE, nullptr);
  // libsoup fails to write this response and drops the connection.
  soup_server_message_set_status(message_, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  Resume();
}

void Exchange::Pause() {
  paused_ = true;
  soup_server_message_pause(message_);
}

void Exchange::Resume() {
  assert(!responded_);
  responded_ = true;
  if (paused_) {
    soup_server_message_unpause(message_);
  }
}

}  // namespace cactusshelf
