#include "cactusshelf/version/entry_index.h"

#include <algorithm>
#include <functional>
#include <string>

namespace cactusshelf {
namespace {

// The shard of a key affects no result, so any hash will do.
std::size_t HashOf(const EntryKey& key) {
  return std::hash<std::string>{}(key.name) + static_cast<std::size_t>(key.kind);
}

}  // namespace

void EntryIndex::Add(const ConfigFile& file) {
  for (std::size_t i = 0; i < file.definitions().size(); ++i) {
    Edit(file.definitions()[i].key).definitions.push_back({&file, i});
  }
  for (const ConfigFile::Reference& it : file.references()) {
    auto& referrers = Edit(it.to).referrers;
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
    std::erase_if(Edit(it.key).definitions,
                  [&file](const Location& location) { return location.file == &file; });
    DropIfUnused(it.key);
  }
  for (const ConfigFile::Reference& it : file.references()) {
    std::erase_if(Edit(it.to).referrers, [&file](const auto& pair) { return pair.first == &file; });
    DropIfUnused(it.to);
  }
}

const EntryIndex::Item* EntryIndex::Find(const EntryKey& key) const {
  const auto& shard = shards_[HashOf(key) % kShards];
  if (shard == nullptr) {
    return nullptr;
  }
  const auto it = shard->find(key);
  return it == shard->end() ? nullptr : &it->second;
}

EntryIndex::Item& EntryIndex::Edit(const EntryKey& key) {
  auto& shard = shards_[HashOf(key) % kShards];
  if (shard == nullptr) {
    shard = std::make_shared<Shard>();
  } else if (shard.use_count() > 1) {
    shard = std::make_shared<Shard>(*shard);
  }
  return (*shard)[key];
}

void EntryIndex::DropIfUnused(const EntryKey& key) {
  const auto& shard = shards_[HashOf(key) % kShards];
  const auto it = shard->find(key);
  if (it != shard->end() && it->second.definitions.empty() && it->second.referrers.empty()) {
    shard->erase(it);
  }
}

}  // namespace cactusshelf
