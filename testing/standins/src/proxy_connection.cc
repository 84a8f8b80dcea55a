#include "proxy_connection.h"

#include <algorithm>
#include <utility>

#include "timer.h"

namespace cactusshelf {

// Keeps the connection alive while an asynchronous operation is pending.
struct ProxyConnection::Operation {
  std::shared_ptr<ProxyConnection> connection;
  Direction* direction;
};

ProxyConnection::ProxyConnection(GSocketConnection* client, const ProxyFaults& faults,
                                 Random& random)
    : client_(client), faults_(faults), random_(random), cancellable_(g_cancellable_new()) {
  g_object_ref(client_);
  response_.is_response = true;
}

ProxyConnection::~ProxyConnection() {
  g_object_unref(client_);
  if (target_ != nullptr) {
    g_object_unref(target_);
  }
  g_object_unref(cancellable_);
}

void ProxyConnection::ConnectTo(GSocketAddress* target) {
  GSocketClient* connector = g_socket_client_new();
  g_socket_client_connect_async(connector, G_SOCKET_CONNECTABLE(target), cancellable_, OnConnected,
                                new Operation{shared_from_this(), nullptr});
  g_object_unref(connector);
}

void ProxyConnection::OnConnected(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
  ProxyConnection& self = *operation->connection;
  self.target_ = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr);
  if (self.target_ == nullptr) {
    self.Close();
    return;
  }
  self.request_.from = G_IO_STREAM(self.client_);
  self.request_.to = G_IO_STREAM(self.target_);
  self.response_.from = G_IO_STREAM(self.target_);
  self.response_.to = G_IO_STREAM(self.client_);
  self.ReadChunk(self.request_);
  self.ReadChunk(self.response_);
}

void ProxyConnection::ReadChunk(Direction& direction) {
  g_input_stream_read_async(g_io_stream_get_input_stream(direction.from), direction.buffer.data(),
                            kChunkSizeBytes, G_PRIORITY_DEFAULT, cancellable_, OnRead,
                            new Operation{shared_from_this(), &direction});
}

void ProxyConnection::OnRead(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
  ProxyConnection& self = *operation->connection;
  const gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
  if (n <= 0) {
    self.Close();
    return;
  }
  operation->direction->size = static_cast<std::size_t>(n);
  self.ScheduleWrite(*operation->direction);
}

void ProxyConnection::ScheduleWrite(Direction& direction) {
  if (faults_.half_open || (direction.is_response && faults_.swallow_answer)) {
    ReadChunk(direction);
    return;
  }
  RunAfter(DepartureDelay(direction),
           [self = shared_from_this(), &direction] { self->WriteChunk(direction); });
}

Duration ProxyConnection::DepartureDelay(Direction& direction) {
  const Time now = MonotonicNow();
  Time departure = now + faults_.delay + random_.Between(Duration::zero(), faults_.variation);
  if (random_.Chance(faults_.stall_probability)) {
    departure += faults_.stall;
  }
  departure = std::max(departure, direction.earliest_departure);
  direction.earliest_departure = departure;
  if (faults_.bytes_per_second > 0) {
    constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
    direction.earliest_departure += Duration(static_cast<std::int64_t>(direction.size) *
                                             kMicrosecondsPerSecond / faults_.bytes_per_second);
  }
  return departure - now;
}

void ProxyConnection::WriteChunk(Direction& direction) {
  if (direction.is_response && faults_.cut_after_bytes >= 0) {
    const std::int64_t left =
        std::max<std::int64_t>(0, faults_.cut_after_bytes - direction.forwarded_bytes);
    direction.size = std::min(direction.size, static_cast<std::size_t>(left));
  }
  direction.forwarded_bytes += static_cast<std::int64_t>(direction.size);
  g_output_stream_write_all_async(
      g_io_stream_get_output_stream(direction.to), direction.buffer.data(), direction.size,
      G_PRIORITY_DEFAULT, cancellable_, OnWritten, new Operation{shared_from_this(), &direction});
}

void ProxyConnection::OnWritten(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
  ProxyConnection& self = *operation->connection;
  Direction& direction = *operation->direction;
  const bool written =
      g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr) != FALSE;
  const bool cut = direction.is_response && self.faults_.cut_after_bytes >= 0 &&
                   direction.forwarded_bytes >= self.faults_.cut_after_bytes;
  if (!written || cut) {
    self.Close();
    return;
  }
  self.ReadChunk(direction);
}

void ProxyConnection::Close() {
  g_cancellable_cancel(cancellable_);
  for (GSocketConnection* connection : {client_, target_}) {
    if (connection != nullptr) {
      g_socket_shutdown(g_socket_connection_get_socket(connection), TRUE, TRUE, nullptr);
    }
  }
}

}  // namespace cactusshelf
