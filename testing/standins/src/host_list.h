#ifndef CACTUSSHELF_STANDINS_HOST_LIST_H_
#define CACTUSSHELF_STANDINS_HOST_LIST_H_

#include <deque>
#include <map>
#include <string>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

enum class HostState { kLive, kLeaving };

// Versioned list of hosts and their states. Reads return the list as of a time in the past, as the
// platform's host list is propagated with a delay.
class HostList {
 public:
  using Hosts = std::map<std::string, HostState>;

  // A change becomes visible to Read() once it is older than the lag passed to Read(). `now` must
  // not decrease between calls.
  void Replace(Hosts hosts, Time now);
  void Set(const std::string& name, HostState state, Time now);
  void Remove(const std::string& name, Time now);

  // Returns the list as of `now - lag`; empty before the first change.
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
