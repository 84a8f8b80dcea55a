#include "cactusshelf/version/entry_index.h"

#include <algorithm>
#include <functional>
#include <string>

namespace cactusshelf {
namespace {

// The choice of shard affects no result, so the hash need not be the same on all nodes.
std::size_t HashOf(const EntryKey& key) {
  return std::hash<std::string>{}(key.name) + static_cast<std::size_t>(key.kind);
}

}  // namespace

void EntryIndex::Add(const ConfigFile& file) {
  for (std::size_t i = 0; i < file.definitions().size(); ++i) {
    MutableItem(file.definitions()[i].key).definitions.push_back({&file, i});
  }
  for (const ConfigFile::Reference& it : file.references()) {
    auto& referrers = MutableItem(it.to).referrers;
    const auto found =
        std::ranges::find(referrers, &file, [](const auto& pair) { return pair.first; });
    if (found == referrers.end()) {
      referrers.emplace_back(&file, 1);
    } else {
      ++found->second;
    }
  }
}

void EntryIndex::Remove(const ConfigFile& file) {
  for (const ConfigFile::Definition& it : file.definitions()) {
    std::erase_if(MutableItem(it.key).definitions,
                  [&file](const Location& location) { return location.file == &file; });
    EraseIfUnused(it.key);
  }
  for (const ConfigFile::Reference& it : file.references()) {
    std::erase_if(MutableItem(it.to).referrers,
                  [&file](const auto& pair) { return pair.first == &file; });
    EraseIfUnused(it.to);
  }
}

const EntryIndex::Item* EntryIndex::Find(const EntryKey& key) const {
  const auto& shard = shards_[HashOf(key) % kShardCount];
  if (shard == nullptr) {
    return nullptr;
  }
  const auto it = shard->find(key);
  return it == shard->end() ? nullptr : &it->second;
}

EntryIndex::Item& EntryIndex::MutableItem(const EntryKey& key) {
  auto& shard = shards_[HashOf(key) % kShardCount];
  if (shard == nullptr) {
    shard = std::make_shared<Shard>();
  } else if (shard.use_count() > 1) {
    shard = std::make_shared<Shard>(*shard);
  }
  return (*shard)[key];
}

void EntryIndex::EraseIfUnused(const EntryKey& key) {
  const auto& shard = shards_[HashOf(key) % kShardCount];
  const auto it = shard->find(key);
  if (it != shard->end() && it->second.definitions.empty() && it->second.referrers.empty()) {
    shard->erase(it);
  }
}

}  // namespace cactusshelf
