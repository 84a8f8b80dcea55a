#ifndef CACTUSSHELF_DAEMON_NODE_CONCEPT_H_
#define CACTUSSHELF_DAEMON_NODE_CONCEPT_H_

#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// The state machine that a Shell drives. EntryNode satisfies this concept; its header documents the
// contract.
template <typename T>
concept Node = requires(T& node, const T& view, const Now& now, const NodeEvent& event) {
  node.Start(now);
  node.Handle(now, event);
  { node.TakeEffects() } -> std::same_as<std::vector<NodeEffect>>;
  { view.NextWakeup() } -> std::same_as<std::optional<Time>>;
  { view.ready() } -> std::same_as<bool>;
  { view.Status(now) } -> std::same_as<std::string>;
  { view.Metrics() } -> std::same_as<std::string>;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_NODE_CONCEPT_H_
