#include "host_list.h"

#include <utility>

namespace cactusshelf {

void HostList::Replace(Hosts hosts, Time now) { versions_.push_back({now, std::move(hosts)}); }

void HostList::Set(const std::string& name, HostState state, Time now) {
  Hosts hosts = Latest();
  hosts[name] = state;
  Replace(std::move(hosts), now);
}

void HostList::Remove(const std::string& name, Time now) {
  Hosts hosts = Latest();
  hosts.erase(name);
  Replace(std::move(hosts), now);
}

HostList::Hosts HostList::Read(Duration lag, Time now) const {
  for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
    if (it->time <= now - lag) {
      return it->hosts;
    }
  }
  return {};
}

HostList::Hosts HostList::Latest() const {
  return versions_.empty() ? Hosts{} : versions_.back().hosts;
}

}  // namespace cactusshelf
