#include "cactusshelf/daemon/bound_client.h"

#include <algorithm>
#include <utility>

#include "cactusshelf/daemon/clock.h"

namespace cactusshelf {
namespace {

// A proven connection may be taken by another call, or be closed, before the call is written.
constexpr int kMaxProofs = 3;
constexpr int kStatusOk = 200;

Time MonotonicNow() { return SystemClock().Read().monotonic; }

}  // namespace

void BoundClient::Send(const std::string& address, HttpCall call, std::int64_t incarnation) {
  ++servers_[address].unwritten_calls;
  const auto connection = std::make_shared<HttpConnection>(HttpConnection::kNone);
  call.accept_connection = [this, address, incarnation, connection](HttpConnection opened) {
    if (!AcceptConnection(address, opened, incarnation)) return false;
    *connection = opened;
    return true;
  };
  call.on_done = [this, address, connection, on_done = std::move(call.on_done)](HttpResult result) {
    OnCallEnded(address, *connection, std::holds_alternative<HttpResponse>(result));
    on_done(std::move(result));
  };
  http_client_.Start(std::move(call));
}

bool BoundClient::AcceptConnection(const std::string& address, HttpConnection connection,
                                   std::int64_t incarnation) {
  Server& server = servers_[address];
  const auto it = server.connections.find(connection);
  const std::int64_t proven = it == server.connections.end() ? 0 : it->second.incarnation;
  if (incarnation != 0 && proven != incarnation) {
    server.connections.erase(connection);
    return false;
  }
  --server.unwritten_calls;
  server.connections[connection].busy = true;
  return true;
}

void BoundClient::OnCallEnded(const std::string& address, HttpConnection connection,
                              bool reusable) {
  Server& server = servers_[address];
  if (connection == HttpConnection::kNone) {
    --server.unwritten_calls;
  } else if (reusable) {
    server.connections[connection].busy = false;
  } else {
    server.connections.erase(connection);
  }
  std::erase_if(server.connections, [this](const auto& it) {
    return !it.second.busy && !http_client_.IsOpen(it.first);
  });
  if (server.connections.empty() && server.unwritten_calls == 0) servers_.erase(address);
}

void BoundClient::OnIncarnationKnown(const std::string& address, HttpConnection connection,
                                     std::int64_t incarnation) {
  const auto server = servers_.find(address);
  if (server == servers_.end()) return;
  const auto it = server->second.connections.find(connection);
  if (it != server->second.connections.end()) it->second.incarnation = incarnation;
}

bool BoundClient::HasIdleConnection(const std::string& address, std::int64_t incarnation) {
  const auto server = servers_.find(address);
  if (server == servers_.end()) return false;
  const auto& connections = server->second.connections;
  const auto n = std::count_if(connections.begin(), connections.end(), [&](const auto& it) {
    return it.second.incarnation == incarnation && !it.second.busy && http_client_.IsOpen(it.first);
  });
  return n > server->second.unwritten_calls;
}

void BoundClient::SendBound(const std::string& address, BoundCall bound) {
  const Time deadline = MonotonicNow() + bound.call.timeout;
  auto state =
      std::make_shared<BoundState>(BoundState{address, std::move(bound), deadline, kMaxProofs});
  // A connection whose server has named no incarnation must not count as proven.
  if (state->bound.incarnation != 0 && HasIdleConnection(address, state->bound.incarnation)) {
    SendProven(state);
  } else {
    SendProof(state);
  }
}

void BoundClient::SendProof(const BoundStatePtr& state) {
  HttpCall proof = state->bound.proof;
  proof.timeout = std::max(state->deadline - MonotonicNow(), Duration::zero());
  proof.on_done = [this, state](HttpResult result) { OnProofDone(state, std::move(result)); };
  --state->proofs_left;
  counters_.Add("cactusshelf_bound_calls_total", "proof_sent");
  Send(state->address, std::move(proof), 0);
}

void BoundClient::OnProofDone(const BoundStatePtr& state, HttpResult result) {
  if (const auto* error = std::get_if<HttpError>(&result)) {
    Refuse(state, "proof_unanswered", "connection not proven: " + error->reason);
    return;
  }
  auto& response = std::get<HttpResponse>(result);
  if (response.status != kStatusOk) {
    counters_.Add("cactusshelf_bound_calls_total", "proof_refused");
    state->bound.call.on_done(std::move(response));
    return;
  }
  const std::int64_t incarnation = state->bound.incarnation_of(response);
  OnIncarnationKnown(state->address, response.connection, incarnation);
  if (incarnation == 0 || state->bound.incarnation == 0) {
    Refuse(state, "no_incarnation", "the call or its server names no incarnation");
  } else if (incarnation != state->bound.incarnation) {
    counters_.Add("cactusshelf_bound_calls_total", "other_incarnation");
    state->bound.on_other_incarnation(std::move(response));
  } else {
    SendProven(state);
  }
}

void BoundClient::SendProven(const BoundStatePtr& state) {
  HttpCall call = state->bound.call;
  call.timeout = std::max(state->deadline - MonotonicNow(), Duration::zero());
  call.on_done = [this, state](HttpResult result) {
    const auto* error = std::get_if<HttpError>(&result);
    const bool unproven = error != nullptr && error->failure == HttpFailure::kWrongConnection;
    if (!unproven) {
      state->bound.call.on_done(std::move(result));
    } else if (state->proofs_left > 0) {
      SendProof(state);
    } else {
      Refuse(state, "no_proven_connection", "no proven connection became available");
    }
  };
  counters_.Add("cactusshelf_bound_calls_total", "on_proven_connection");
  Send(state->address, std::move(call), state->bound.incarnation);
}

void BoundClient::Refuse(const BoundStatePtr& state, std::string_view counter, std::string reason) {
  counters_.Add("cactusshelf_bound_calls_total", counter);
  state->bound.call.on_done(HttpError{HttpFailure::kWrongConnection, false, std::move(reason)});
}

}  // namespace cactusshelf
