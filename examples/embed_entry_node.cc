// Embeds the decision logic of an entry host in another program, without libsoup, websocketpp or a
// main loop. This program keeps the log in memory, uses virtual time, and ends when the member has
// joined. Its exit status is 0 if the node became ready within 1000 steps of 50 ms.

#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/node/entry_node.h"

namespace {

using namespace std::chrono_literals;
using cactusshelf::NodeEvent;
using cactusshelf::Now;

// Stands in for the log service. Records are never dropped.
class InMemoryLog {
 public:
  std::uint64_t Append(cactusshelf::WallTime time, const std::string& data) {
    entries_.push_back({entries_.size(), time, data});
    return entries_.back().offset;
  }

  cactusshelf::node_event::LogRead Read(cactusshelf::Time started, std::uint64_t from) const {
    cactusshelf::node_event::LogRead read{started, 0, entries_.size(), {}};
    read.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(from), entries_.end());
    return read;
  }

 private:
  std::vector<cactusshelf::node_event::LogEntry> entries_;
};

// Executes the effects that the node requested and returns the resulting events. Effects other than
// log access and log output are ignored, because the only member has no peers or callers.
std::vector<NodeEvent> ExecuteEffects(cactusshelf::EntryNode& node, InMemoryLog& log,
                                      const Now& now) {
  std::vector<NodeEvent> events;
  for (const cactusshelf::NodeEffect& effect : node.TakeEffects()) {
    if (const auto* read = std::get_if<cactusshelf::node_effect::ReadLog>(&effect)) {
      events.emplace_back(log.Read(now.monotonic, read->from));
    } else if (const auto* append = std::get_if<cactusshelf::node_effect::AppendToLog>(&effect)) {
      const auto offset = log.Append(now.wall, append->data);
      events.emplace_back(cactusshelf::node_event::AppendDone{append->token, offset});
    } else if (const auto* log_event =
                   std::get_if<cactusshelf::node_effect::WriteLogEvent>(&effect)) {
      std::cerr << log_event->event.Format() << '\n';
    }
  }
  return events;
}

}  // namespace

int main() {
  cactusshelf::NodeOptions options;
  options.host_name = "entry1";
  options.incarnation = 1;
  options.domain = cactusshelf::DomainId("quito-norte");
  options.peer_address = "127.0.0.1:8081";
  options.http_address = "127.0.0.1:8080";

  cactusshelf::EntryNode node(options, 1);
  InMemoryLog log;
  Now now{cactusshelf::Time(1s), cactusshelf::WallTime(1'700'000'000s)};
  node.Start(now);
  for (int step = 0; step < 1000 && !node.ready(); ++step) {
    for (const NodeEvent& event : ExecuteEffects(node, log, now)) {
      node.Handle(now, event);
    }
    now.monotonic += 50ms;
    now.wall += 50ms;
    node.Handle(now, cactusshelf::node_event::Timer{});
  }
  std::cout << node.Status(now) << '\n';
  return node.ready() ? 0 : 1;
}
