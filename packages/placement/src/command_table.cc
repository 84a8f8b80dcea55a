#include "command_table.h"

#include <string>
#include <utility>

namespace cactusshelf {

void CommandTable::Reset(Epoch epoch) {
  epoch_ = epoch;
  next_sequence_ = 0;
  pending_.clear();
}

CommandId CommandTable::NextId() {
  return CommandId(std::to_string(epoch_) + "-" + std::to_string(next_sequence_++));
}

PendingCommand& CommandTable::Add(PendingCommand command) {
  CommandId id = HeaderOf(command.command).id;
  return pending_.insert_or_assign(std::move(id), std::move(command)).first->second;
}

PendingCommand* CommandTable::Find(const CommandId& id) {
  const auto it = pending_.find(id);
  return it == pending_.end() ? nullptr : &it->second;
}

std::optional<PendingCommand> CommandTable::Extract(const CommandId& id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return std::nullopt;
  }
  PendingCommand command = std::move(it->second);
  pending_.erase(it);
  return command;
}

}  // namespace cactusshelf
