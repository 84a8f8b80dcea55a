#ifndef CACTUSSHELF_PLACEMENT_SRC_COMMAND_TABLE_H_
#define CACTUSSHELF_PLACEMENT_SRC_COMMAND_TABLE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cactusshelf/placement/worker_messages.h"
#include "worker_index.h"

namespace cactusshelf {

// A command whose result is not known.
struct PendingCommand {
  WorkerCommand command;
  WorkerSlot slot = 0;
  std::uint32_t sends = 0;
};

// Commands of the current ownership that wait for a result, by id. Not thread-safe.
class CommandTable {
 public:
  // Removes all commands. Ids contain the epoch, so that they are unique across owners.
  void Reset(Epoch epoch);

  CommandId NextId();

  PendingCommand& Add(PendingCommand command);
  PendingCommand* Find(const CommandId& id);
  std::optional<PendingCommand> Extract(const CommandId& id);

  std::size_t size() const { return pending_.size(); }

 private:
  Epoch epoch_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::unordered_map<CommandId, PendingCommand> pending_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_COMMAND_TABLE_H_
