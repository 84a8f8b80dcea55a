#include "socket_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace cactusshelf {
namespace {

using StreamPtr = std::shared_ptr<SocketStream>;

}  // namespace

SocketStream::SocketStream(GObjectPtr<GSocketConnection> connection, Duration ack_timeout)
    : connection_(std::move(connection)), cancellable_(g_cancellable_new()) {
  GSocket* socket = g_socket_connection_get_socket(connection_.get());
  g_socket_set_keepalive(socket, TRUE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(ToMilliseconds(ack_timeout)), nullptr);
}

SocketStream::~SocketStream() = default;

void SocketStream::Start(Handlers handlers) {
  handlers_ = std::make_shared<const Handlers>(std::move(handlers));
  StartRead();
}

void SocketStream::StartRead() {
  const auto on_read = [](GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<StreamPtr> stream(static_cast<StreamPtr*>(data));
    const gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    (*stream)->OnRead(n);
  };
  GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(connection_.get()));
  g_input_stream_read_async(input, buffer_.data(), buffer_.size(), G_PRIORITY_DEFAULT,
                            cancellable_.get(), on_read, new StreamPtr(shared_from_this()));
}

void SocketStream::OnRead(gssize n) {
  if (closed_) return;
  if (n <= 0) {
    CloseAndNotify();
    return;
  }
  const std::shared_ptr<const Handlers> handlers = handlers_;
  handlers->on_data(buffer_.data(), static_cast<std::size_t>(n));
  if (!closed_) StartRead();
}

void SocketStream::Write(const char* data, std::size_t n) {
  if (closed_) return;
  queued_.append(data, n);
  if (in_flight_.empty()) StartWrite();
}

void SocketStream::StartWrite() {
  in_flight_.swap(queued_);
  const auto on_written = [](GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<StreamPtr> stream(static_cast<StreamPtr*>(data));
    auto* output = G_OUTPUT_STREAM(source);
    const bool complete = g_output_stream_write_all_finish(output, result, nullptr, nullptr);
    (*stream)->OnWritten(complete);
  };
  GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(connection_.get()));
  g_output_stream_write_all_async(output, in_flight_.data(), in_flight_.size(), G_PRIORITY_DEFAULT,
                                  cancellable_.get(), on_written,
                                  new StreamPtr(shared_from_this()));
}

void SocketStream::OnWritten(bool complete) {
  in_flight_.clear();
  if (closed_) return;
  const bool done = queued_.empty();
  if (!complete || (done && close_after_writes_)) {
    CloseAndNotify();
  } else if (!done) {
    StartWrite();
  } else {
    const std::shared_ptr<const Handlers> handlers = handlers_;
    handlers->on_written();
  }
}

void SocketStream::CloseAfterWrites() {
  close_after_writes_ = true;
  // Without a pending write, only the sending direction is shut down here; the remote end or the
  // owner's timeout then closes the connection.
  if (!closed_ && unwritten_bytes() == 0) {
    g_socket_shutdown(g_socket_connection_get_socket(connection_.get()), FALSE, TRUE, nullptr);
  }
}

void SocketStream::CloseAndNotify() {
  const std::shared_ptr<const Handlers> handlers = handlers_;
  Close();
  handlers->on_end();
}

void SocketStream::Close() {
  if (closed_) return;
  closed_ = true;
  handlers_.reset();
  g_cancellable_cancel(cancellable_.get());
  GSocket* socket = g_socket_connection_get_socket(connection_.get());
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  connection_.reset();
}

}  // namespace cactusshelf
