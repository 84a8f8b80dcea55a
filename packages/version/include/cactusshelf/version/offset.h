#ifndef CACTUSSHELF_VERSION_OFFSET_H_
#define CACTUSSHELF_VERSION_OFFSET_H_

#include <cstdint>
#include <optional>

namespace cactusshelf {

// Position of a record in the log stream. The first record has offset 0 and offsets have no gaps.
using Offset = std::uint64_t;

// Offset of the accepted publish that a configuration results from; empty before the first one.
using Revision = std::optional<Offset>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_OFFSET_H_
