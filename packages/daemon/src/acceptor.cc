#include "cactusshelf/daemon/acceptor.h"

#include <string>
#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

Acceptor::Acceptor(GSocket* socket, std::function<void(GSocketConnection*)> on_connection)
    : on_connection_(std::move(on_connection)), service_(g_socket_service_new()) {
  GError* error = nullptr;
  g_socket_listener_add_socket(G_SOCKET_LISTENER(service_.get()), socket, nullptr, &error);
  const GErrorPtr owned_error(error);
  if (owned_error) throw Error("cannot accept connections: " + std::string(owned_error->message));
  const auto on_incoming = [](GSocketService* /*service*/, GSocketConnection* connection,
                              GObject* /*source*/, gpointer data) -> gboolean {
    static_cast<Acceptor*>(data)->on_connection_(connection);
    return TRUE;
  };
  g_signal_connect(service_.get(), "incoming", G_CALLBACK(+on_incoming), this);
  g_socket_service_start(service_.get());
}

Acceptor::~Acceptor() {
  g_signal_handlers_disconnect_by_data(service_.get(), this);
  g_socket_service_stop(service_.get());
  g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
}

}  // namespace cactusshelf
