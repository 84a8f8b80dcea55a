#ifndef CACTUSSHELF_STANDINS_HOST_LIST_H_
#define CACTUSSHELF_STANDINS_HOST_LIST_H_

#include <deque>
#include <map>
#include <string>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

enum class HostState { kLive, kLeaving };

// Hosts and their states, readable with a delay.
class HostList {
 public:
  using Hosts = std::map<std::string, HostState>;

  // Changes take effect for readers after the lag in force when they read.
  void Replace(Hosts hosts, Time now);
  void Set(const std::string& name, HostState state, Time now);
  void Remove(const std::string& name, Time now);

  // The list as of `now - lag`; empty before the first change.
  Hosts Read(Duration lag, Time now) const;

 private:
  struct Version {
    Time time;
    Hosts hosts;
  };

  Hosts Latest() const;

  std::deque<Version> versions_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_HOST_LIST_H_
