#ifndef CACTUSSHELF_VERSION_ENTRY_INDEX_H_
#define CACTUSSHELF_VERSION_ENTRY_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "cactusshelf/version/config_file.h"

namespace cactusshelf {

// Index of the entries of a file set by key. Shards are copied on write: a copy of the index shares
// its shards with the original until one of the two changes a shard. Adding or removing a file
// therefore takes time proportional to the entries of that file, not of the file set. The files
// must outlive the index. Concurrent writes are not thread-safe.
class EntryIndex {
 public:
  struct Location {
    const ConfigFile* file = nullptr;
    std::size_t definition = 0;
  };

  struct Item {
    // More than one if the key is defined twice.
    std::vector<Location> definitions;
    // Files that refer to the key, with the number of references.
    std::vector<std::pair<const ConfigFile*, std::uint32_t>> referrers;
  };

  void Add(const ConfigFile& file);
  void Remove(const ConfigFile& file);

  // Null if the key is neither defined nor referred to. Valid until the next change.
  const Item* Find(const EntryKey& key) const;

 private:
  // 26,000 jobs and 5,200 workers give about 9 entries for each shard. With fewer shards, a change
  // copies more entries; with more shards, copying the index takes longer.
  static constexpr std::size_t kShardCount = 4096;
  using Shard = std::map<EntryKey, Item>;

  // Returns the item of `key`, which is created if missing. Copies its shard first if it is shared.
  Item& MutableItem(const EntryKey& key);
  void EraseIfUnused(const EntryKey& key);

  std::array<std::shared_ptr<Shard>, kShardCount> shards_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_ENTRY_INDEX_H_
