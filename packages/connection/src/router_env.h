#ifndef CACTUSSHELF_CONNECTION_SRC_ROUTER_ENV_H_
#define CACTUSSHELF_CONNECTION_SRC_ROUTER_ENV_H_

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/connection/domain_costs.h"
#include "cactusshelf/connection/router_effect.h"
#include "cactusshelf/connection/router_message.h"
#include "cactusshelf/connection/router_options.h"
#include "cactusshelf/request/ownership.h"
#include "timer_set.h"

namespace cactusshelf {

// State that is shared by the components of one router.
struct RouterEnv {
  RouterOptions options;
  MemberId self;
  std::size_t domain = 0;
  OwnerOf owner_of;
  Random random;
  DomainCosts costs;
  Counters counters;
  TimerSet timers;
  std::vector<RouterEffect> effects;
  // Messages of this member to itself, handled before the current input method returns.
  std::deque<RouterMessage> local_messages;

  void Send(const MemberId& to, RouterMessage message, std::optional<Time> valid_until = {}) {
    if (to == self) {
      local_messages.push_back(std::move(message));
      return;
    }
    effects.emplace_back(SendToPeer{to, std::move(message), valid_until});
  }
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_ROUTER_ENV_H_
