#include "cactusshelf/version/entries.h"

namespace cactusshelf {

std::string_view ToString(EntryKind kind) {
  switch (kind) {
    case EntryKind::kCustomer:
      return "customer";
    case EntryKind::kAccount:
      return "account";
    case EntryKind::kTeam:
      return "team";
    case EntryKind::kService:
      return "service";
    case EntryKind::kWorker:
      return "worker";
    case EntryKind::kJob:
      return "job";
    case EntryKind::kRetirement:
      return "retirement";
    case EntryKind::kAddress:
      return "address";
  }
  return "unknown";
}

std::string EntryKey::Format() const { return std::string(ToString(kind)) + ' ' + name; }

}  // namespace cactusshelf
