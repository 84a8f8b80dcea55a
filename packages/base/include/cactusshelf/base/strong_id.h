#ifndef CACTUSSHELF_BASE_STRONG_ID_H_
#define CACTUSSHELF_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace cactusshelf {

// String identifier whose type prevents mixing identifiers of different kinds. Immutable except by
// assignment; safe to read from several threads.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  std::string text_;
};

// Id of an entry host process, unique across restarts: "<host name>/<incarnation>".
using MemberId = StrongId<struct MemberTag>;

// Host name part of a member id.
inline std::string HostOf(const MemberId& member) {
  return member.str().substr(0, member.str().rfind('/'));
}

using DomainId = StrongId<struct DomainTag>;
using RackId = StrongId<struct RackTag>;
using CustomerId = StrongId<struct CustomerTag>;
using AccountId = StrongId<struct AccountTag>;
using TeamId = StrongId<struct TeamTag>;
using ServiceId = StrongId<struct ServiceTag>;
// "<service>/<address>", for instance "notices/127.0.0.1:7001".
using EndpointId = StrongId<struct EndpointTag>;
using WorkerId = StrongId<struct WorkerTag>;
using JobId = StrongId<struct JobTag>;
// "<job>/<index>".
using TaskId = StrongId<struct TaskTag>;
using JobClass = StrongId<struct JobClassTag>;
using CellId = StrongId<struct CellTag>;
using CommandId = StrongId<struct CommandTag>;

}  // namespace cactusshelf

template <typename Tag>
struct std::hash<cactusshelf::StrongId<Tag>> {
  std::size_t operator()(const cactusshelf::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};

#endif  // CACTUSSHELF_BASE_STRONG_ID_H_
