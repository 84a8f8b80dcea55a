// Embeds the decisions of an entry host in a program of one's own, without libsoup, websocketpp or
// a main loop. This program keeps the log in memory, runs under virtual time, and ends once the
// member has joined.

#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/node/entry_node.h"

namespace {

using namespace std::chrono_literals;
using cactusshelf::NodeEvent;
using cactusshelf::Now;

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

// Carries out what the node asks for, and returns what it is to be told.
std::vector<NodeEvent> CarryOut(cactusshelf::EntryNode& node, InMemoryLog& log, const Now& now) {
  std::vector<NodeEvent> events;
  for (const cactusshelf::NodeEffect& effect : node.TakeEffects()) {
    if (const auto* read = std::get_if<cactusshelf::node_effect::ReadLog>(&effect)) {
      events.emplace_back(log.Read(now.monotonic, read->from));
    } else if (const auto* append = std::get_if<cactusshelf::node_effect::AppendToLog>(&effect)) {
      const auto offset = log.Append(now.wall, append->data);
      events.emplace_back(cactusshelf::node_event::AppendDone{append->token, offset});
    } else if (const auto* line = std::get_if<cactusshelf::node_effect::WriteLogEvent>(&effect)) {
      std::cerr << line->event.Format() << '\n';
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
    for (const NodeEvent& event : CarryOut(node, log, now)) {
      node.Handle(now, event);
    }
    now.monotonic += 50ms;
    now.wall += 50ms;
    node.Handle(now, cactusshelf::node_event::Timer{});
  }
  std::cout << node.Status(now) << '\n';
  return node.ready() ? 0 : 1;
}
