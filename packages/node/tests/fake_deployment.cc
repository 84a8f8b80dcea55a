#include "fake_deployment.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>
#include <variant>

#include "cactusshelf/version/log_record.h"

namespace cactusshelf {
namespace {

constexpr WallTime kWallEpoch{std::chrono::milliseconds(1'760'000'000'000)};

std::string HeaderValue(const std::vector<HttpHeader>& headers, const std::string& name) {
  const auto it = std::ranges::find(headers, name, &HttpHeader::name);
  return it == headers.end() ? "" : it->value;
}

Body MakeBody(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

}  // namespace

FakeDeployment::FakeDeployment(std::uint64_t seed) : random_(seed) {}

Now FakeDeployment::CurrentTime() const {
  return {now_,
          kWallEpoch + std::chrono::floor<std::chrono::milliseconds>(now_.time_since_epoch())};
}

void FakeDeployment::StartNode(const std::string& name) {
  NodeOptions options;
  options.host_name = name;
  options.incarnation = ++last_incarnation_;
  options.domain = DomainId("domain-" + name.substr(name.size() - 1));
  options.peer_address = name + ":1";
  options.http_address = name + ":2";
  options.protections = protections;
  Process process;
  process.incarnation = options.incarnation;
  process.address = options.peer_address;
  process.node = std::make_unique<EntryNode>(options, random_.Next());
  process.node->Start(CurrentTime());
  paused_.erase(name);
  deferred_events_.erase(name);
  exit_codes_.erase(name);
  Process& started = nodes_[name] = std::move(process);
  ExecuteEffects(name, started);
}

void FakeDeployment::Kill(const std::string& name) {
  nodes_.erase(name);
  deferred_events_.erase(name);
}

void FakeDeployment::Resume(const std::string& name) {
  paused_.erase(name);
  for (const NodeEvent& it : std::exchange(deferred_events_[name], {})) {
    Deliver(name, it);
  }
}

void FakeDeployment::Drain(const std::string& name) { Deliver(name, node_event::DrainRequested{}); }

std::optional<int> FakeDeployment::ExitCode(const std::string& name) const {
  const auto it = exit_codes_.find(name);
  return it == exit_codes_.end() ? std::nullopt : std::optional(it->second);
}

int FakeDeployment::Executions(const std::string& request_id) const {
  const auto it = executions_.find(request_id);
  return it == executions_.end() ? 0 : it->second;
}

void FakeDeployment::RunFor(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    Step(end);
  }
}

bool FakeDeployment::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const Time end = now_ + limit;
  while (!condition()) {
    if (now_ >= end) {
      return false;
    }
    Step(end);
  }
  return true;
}

// Advances to the next event, timer or end of a long poll, but not past `until`.
void FakeDeployment::Step(Time until) {
  Time next = until;
  if (!events_.empty()) {
    next = std::min(next, events_.top().time);
  }
  for (const auto& [name, process] : nodes_) {
    const auto wakeup = process.node->NextWakeup();
    if (wakeup && !paused_.contains(name)) {
      next = std::min(next, std::max(*wakeup, now_));
    }
  }
  for (const LongPoll& it : long_polls_) {
    next = std::min(next, it.until);
  }
  now_ = std::max(now_, next);
  while (!events_.empty() && events_.top().time <= now_) {
    const Event event = events_.top();
    events_.pop();
    const auto it = nodes_.find(event.host);
    if (it != nodes_.end() && it->second.incarnation == event.incarnation) {
      Deliver(event.host, *event.event);
    }
  }
  FinishLongPolls();
  std::vector<std::string> due;
  for (const auto& [name, process] : nodes_) {
    const auto wakeup = process.node->NextWakeup();
    if (wakeup && *wakeup <= now_ && !paused_.contains(name)) {
      due.push_back(name);
    }
  }
  for (const std::string& it : due) {
    Deliver(it, node_event::Timer{});
  }
}

void FakeDeployment::Deliver(const std::string& host, const NodeEvent& event) {
  const auto it = nodes_.find(host);
  if (it == nodes_.end()) {
    return;
  }
  if (paused_.contains(host)) {
    deferred_events_[host].push_back(event);
    return;
  }
  it->second.node->Handle(CurrentTime(), event);
  ExecuteEffects(host, it->second);
}

void FakeDeployment::Schedule(const std::string& host, Duration delay, NodeEvent event) {
  const auto it = nodes_.find(host);
  if (it == nodes_.end()) {
    return;
  }
  events_.push({now_ + delay, ++last_order_, host, it->second.incarnation,
                std::make_shared<const NodeEvent>(std::move(event))});
}

void FakeDeployment::ExecuteEffects(const std::string& host, Process& process) {
  std::optional<int> exit_code;
  for (const NodeEffect& effect : process.node->TakeEffects()) {
    if (const auto* stop = std::get_if<node_effect::Stop>(&effect)) {
      exit_code = stop->exit_code;
    } else {
      ExecuteEffect(host, process, effect);
    }
  }
  if (exit_code) {
    exit_codes_[host] = *exit_code;
    nodes_.erase(host);
  }
}

void FakeDeployment::ExecuteEffect(const std::string& host, Process& process,
                                   const NodeEffect& effect) {
  const auto execute = [&](const auto& it) {
    using Effect = std::decay_t<decltype(it)>;
    if constexpr (std::is_same_v<Effect, node_effect::ReadLog>) {
      ++traffic_.log_reads;
      if (LogReachable(host)) {
        long_polls_.push_back(
            {host, process.incarnation, now_, it.from, now_ + it.wait + Latency()});
      } else {
        Schedule(host, Latency(), node_event::LogReadFailed{"unreachable"});
      }
    } else if constexpr (std::is_same_v<Effect, node_effect::AppendToLog>) {
      ++traffic_.appends;
      if (!LogReachable(host)) {
        Schedule(host, Latency(), node_event::AppendFailed{it.token, "unreachable"});
        return;
      }
      const std::uint64_t offset = log.Append(wall(), it.data);
      if (drop_append_answers) {
        Schedule(host, Latency(), node_event::AppendFailed{it.token, "answer lost"});
      } else {
        Schedule(host, Latency(), node_event::AppendDone{it.token, offset});
      }
    } else if constexpr (std::is_same_v<Effect, node_effect::ReadHosts>) {
      node_event::HostsRead read;
      for (const auto& [name, other] : nodes_) {
        if (!unlisted_hosts.contains(name)) {
          read.hosts.push_back({name, node_event::HostState::kLive});
        }
      }
      Schedule(host, Latency(), std::move(read));
    } else if constexpr (std::is_same_v<Effect, node_effect::SendToPeer>) {
      ++traffic_.peer_messages;
      traffic_.peer_bytes += it.bytes.size();
      for (const auto& [name, other] : nodes_) {
        const bool connected = !isolated_hosts.contains(name) && !isolated_hosts.contains(host);
        if (other.address == it.address && (connected || name == host)) {
          Schedule(name, Latency(), node_event::PeerMessage{it.bytes});
        }
      }
    } else if constexpr (std::is_same_v<Effect, node_effect::SendAttempt>) {
      const std::string id = HeaderValue(it.headers, "Cactusshelf-Request-Id");
      ++executions_[id];
      Schedule(host, Latency(), node_event::AttemptSent{it.token});
      if (drop_endpoint_answers) {
        Schedule(host, service_time + Latency(),
                 node_event::AttemptFailed{it.token, node_event::AttemptFailure::kReset, true});
      } else {
        Schedule(host, service_time + Latency(),
                 node_event::AttemptAnswered{it.token, 200, {}, MakeBody("answer to " + id)});
      }
    } else if constexpr (std::is_same_v<Effect, node_effect::RespondToCaller>) {
      answers_[static_cast<std::uint64_t>(it.token)] = {
          it.status, HeaderValue(it.headers, "Cactusshelf-Outcome"),
          HeaderValue(it.headers, "Cactusshelf-Reason"), *it.body};
    }
  };
  std::visit(execute, effect);
}

// Completes the long polls for which there is a record, whose wait has ended or whose host cannot
// reach the log.
void FakeDeployment::FinishLongPolls() {
  std::vector<LongPoll> still_waiting;
  for (const LongPoll& it : std::exchange(long_polls_, {})) {
    const bool current =
        nodes_.contains(it.host) && nodes_.at(it.host).incarnation == it.incarnation;
    if (!current) {
      continue;
    }
    if (!LogReachable(it.host)) {
      Schedule(it.host, Latency(), node_event::LogReadFailed{"connection lost"});
    } else if (log.next() > it.from || now_ >= it.until) {
      Schedule(it.host, Latency(), log.Read(it.started, it.from));
    } else {
      still_waiting.push_back(it);
    }
  }
  long_polls_.insert(long_polls_.end(), still_waiting.begin(), still_waiting.end());
}

void FakeDeployment::Publish(const std::string& node, const std::string& publication,
                             const std::map<std::string, std::optional<std::string>>& files) {
  const auto revision = nlohmann::json::parse(Status(node)).at("revision");
  cactusshelf::Publish publish;
  publish.publication_id = publication;
  if (!revision.is_null()) {
    publish.base = revision.get<Offset>();
  }
  publish.changes = files;
  log.Append(wall(), EncodeRecord(publish));
}

std::uint64_t FakeDeployment::Send(const std::string& node, const std::string& service,
                                   const std::string& request_id, bool idempotent) {
  node_event::CallerRequest request;
  request.token = CallerToken{++last_request_};
  request.method = "POST";
  request.path = "/v1/services/" + service + "/issue";
  request.headers = {{"Cactusshelf-Account", "crews"},
                     {"Cactusshelf-Request-Id", request_id},
                     {"Cactusshelf-Idempotent", idempotent ? "true" : "false"}};
  request.body = MakeBody("notice");
  Deliver(node, request);
  return last_request_;
}

std::optional<FakeDeployment::Answer> FakeDeployment::AnswerTo(std::uint64_t request) const {
  const auto it = answers_.find(request);
  return it == answers_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace cactusshelf
