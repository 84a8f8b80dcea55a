#include "cactusshelf/version/configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace cactusshelf {
namespace {

using FilePointer = std::shared_ptr<const ConfigFile>;

// Files that are in only one of two file sets, or in both with different contents.
struct FileDifference {
  std::vector<FilePointer> removed;
  std::vector<FilePointer> added;
};

FileDifference Compare(const FileSet& before, const FileSet& after) {
  FileDifference difference;
  for (const auto& [name, file] : before.files()) {
    if (after.Find(name) != file) {
      difference.removed.push_back(file);
    }
  }
  for (const auto& [name, file] : after.files()) {
    if (before.Find(name) != file) {
      difference.added.push_back(file);
    }
  }
  return difference;
}

std::string Format(const Place& place) {
  return fmt::format("{}:{}:{}", place.file, place.line, place.column);
}

// Entries by key, as a pair of the file and the index in the vector of the entry's kind.
using Entries = std::map<EntryKey, std::pair<const ConfigFile*, std::size_t>>;

Entries EntriesOf(const std::vector<FilePointer>& files) {
  Entries entries;
  for (const FilePointer& file : files) {
    for (const ConfigFile::Definition& it : file->definitions()) {
      if (it.key.kind != EntryKind::kAddress) {
        entries.try_emplace(it.key, file.get(), it.index);
      }
    }
  }
  return entries;
}

bool SameEntry(EntryKind kind, const Entries::mapped_type& a, const Entries::mapped_type& b) {
  const auto [a_file, i] = a;
  const auto [b_file, j] = b;
  if (i == ConfigFile::kNoIndex || j == ConfigFile::kNoIndex) {
    return false;
  }
  switch (kind) {
    case EntryKind::kCustomer:
      return a_file->customers()[i] == b_file->customers()[j];
    case EntryKind::kAccount:
      return a_file->accounts()[i] == b_file->accounts()[j];
    case EntryKind::kTeam:
      return a_file->teams()[i] == b_file->teams()[j];
    case EntryKind::kService:
      return a_file->services()[i] == b_file->services()[j];
    case EntryKind::kWorker:
      return a_file->workers()[i] == b_file->workers()[j];
    case EntryKind::kJob:
      return a_file->jobs()[i] == b_file->jobs()[j];
    case EntryKind::kRetirement:
    case EntryKind::kAddress:
      return true;
  }
  return false;
}

}  // namespace

std::shared_ptr<const Configuration> Configuration::Make(const FileSet& files, Findings& findings) {
  return Configuration().Update(files, findings);
}

std::shared_ptr<const Configuration> Configuration::Update(const FileSet& files,
                                                           Findings& findings) const {
  const FileDifference difference = Compare(files_, files);
  auto next = std::make_shared<Configuration>(*this);
  next->files_ = files;
  Findings found;
  bool parsed = true;
  for (const FilePointer& it : difference.removed) {
    next->index_.Remove(*it);
    next->CountCells(*it, -1);
  }
  for (const FilePointer& it : difference.added) {
    next->index_.Add(*it);
    next->CountCells(*it, 1);
    found.Append(it->findings());
    parsed = parsed && it->parsed();
  }
  next->CheckSize(found);
  // If a file is not valid TOML, its entries are unknown and references to them would be reported
  // as dangling.
  if (parsed) {
    for (const FilePointer& it : difference.added) {
      next->CheckFile(*it, found);
    }
    for (const FilePointer& it : difference.removed) {
      next->CheckRemoved(*it, difference.added, found);
    }
  }
  findings.Append(found);
  return found.empty() ? next : nullptr;
}

void Configuration::CheckSize(Findings& findings) const {
  std::size_t bytes = 0;
  for (const auto& [name, file] : files_.files()) {
    bytes += name.size() + file->text().size();
  }
  if (bytes > kMaxBytes) {
    findings.Add({},
                 fmt::format("the files have {} bytes together; {} are allowed", bytes, kMaxBytes));
  }
}

void Configuration::CountCells(const ConfigFile& file, int sign) {
  for (const Worker& it : file.workers()) {
    const auto cell = cells_.try_emplace(it.cell, 0).first;
    cell->second += static_cast<std::uint32_t>(sign);
    if (cell->second == 0) {
      cells_.erase(cell);
    }
  }
}

void Configuration::CheckFile(const ConfigFile& file, Findings& findings) const {
  for (std::size_t i = 0; i < file.definitions().size(); ++i) {
    const ConfigFile::Definition& definition = file.definitions()[i];
    const auto& locations = index_.Find(definition.key)->definitions;
    const auto other = std::ranges::find_if(locations, [&](const EntryIndex::Location& it) {
      return it.file != &file || it.definition != i;
    });
    if (other != locations.end()) {
      findings.Add(definition.place,
                   fmt::format("{} is also defined at {}", definition.key.Format(),
                               Format(other->file->definitions()[other->definition].place)));
    }
  }
  for (const ConfigFile::Reference& it : file.references()) {
    if (index_.Find(it.to)->definitions.empty()) {
      findings.Add(it.place, fmt::format("{} is not defined", it.to.Format()));
    }
  }
}

void Configuration::CheckRemoved(const ConfigFile& file, const std::vector<FilePointer>& added,
                                 Findings& findings) const {
  for (const ConfigFile::Definition& definition : file.definitions()) {
    const EntryIndex::Item* item = index_.Find(definition.key);
    if (item == nullptr || !item->definitions.empty()) {
      continue;
    }
    for (const auto& [referrer, count] : item->referrers) {
      if (std::ranges::find(added, referrer, &FilePointer::get) != added.end()) {
        continue;  // CheckFile() reports the references of this file.
      }
      for (const ConfigFile::Reference& it : referrer->references()) {
        if (it.to == definition.key) {
          findings.Add(it.place, fmt::format("{} is not defined any more", it.to.Format()));
        }
      }
    }
  }
}

template <typename T>
const T* Configuration::FindEntry(EntryKind kind, const std::string& name,
                                  const std::vector<T>& (ConfigFile::*entries)() const) const {
  const EntryIndex::Item* item = index_.Find({kind, name});
  if (item == nullptr || item->definitions.empty()) {
    return nullptr;
  }
  const EntryIndex::Location& location = item->definitions.front();
  return &(location.file->*entries)()[location.file->definitions()[location.definition].index];
}

const Customer* Configuration::Find(const CustomerId& id) const {
  return FindEntry(EntryKind::kCustomer, id.str(), &ConfigFile::customers);
}

const Account* Configuration::Find(const AccountId& id) const {
  return FindEntry(EntryKind::kAccount, id.str(), &ConfigFile::accounts);
}

const Team* Configuration::Find(const TeamId& id) const {
  return FindEntry(EntryKind::kTeam, id.str(), &ConfigFile::teams);
}

const Service* Configuration::Find(const ServiceId& id) const {
  return FindEntry(EntryKind::kService, id.str(), &ConfigFile::services);
}

const Worker* Configuration::Find(const WorkerId& id) const {
  return FindEntry(EntryKind::kWorker, id.str(), &ConfigFile::workers);
}

const Job* Configuration::Find(const JobId& id) const {
  return FindEntry(EntryKind::kJob, id.str(), &ConfigFile::jobs);
}

const Retirement* Configuration::FindRetirement(const CustomerId& customer) const {
  return FindEntry(EntryKind::kRetirement, customer.str(), &ConfigFile::retirements);
}

CustomerId Configuration::CustomerOf(const EntryKey& key) const {
  switch (key.kind) {
    case EntryKind::kCustomer:
    case EntryKind::kRetirement:
      return CustomerId(key.name);
    case EntryKind::kAccount: {
      const Account* account = Find(AccountId(key.name));
      return account == nullptr ? CustomerId() : account->customer;
    }
    case EntryKind::kTeam: {
      const Team* team = Find(TeamId(key.name));
      return team == nullptr ? CustomerId() : team->customer;
    }
    case EntryKind::kService: {
      const Service* service = Find(ServiceId(key.name));
      return service == nullptr ? CustomerId() : service->customer;
    }
    case EntryKind::kJob: {
      const Job* job = Find(JobId(key.name));
      return job == nullptr ? CustomerId() : CustomerOf({EntryKind::kTeam, job->team.str()});
    }
    case EntryKind::kWorker:
    case EntryKind::kAddress:
      return {};
  }
  return {};
}

Place Configuration::PlaceOf(const EntryKey& key) const {
  const EntryIndex::Item* item = index_.Find(key);
  if (item == nullptr || item->definitions.empty()) {
    return {};
  }
  const EntryIndex::Location& location = item->definitions.front();
  return location.file->definitions()[location.definition].place;
}

std::set<EntryKey> Configuration::Difference(const FileSet& before, const FileSet& after) {
  const FileDifference difference = Compare(before, after);
  const Entries old_entries = EntriesOf(difference.removed);
  const Entries new_entries = EntriesOf(difference.added);
  std::set<EntryKey> keys;
  for (const auto& [key, entry] : old_entries) {
    const auto it = new_entries.find(key);
    if (it == new_entries.end() || !SameEntry(key.kind, entry, it->second)) {
      keys.insert(key);
    }
  }
  for (const auto& [key, entry] : new_entries) {
    if (!old_entries.contains(key)) {
      keys.insert(key);
    }
  }
  return keys;
}

}  // namespace cactusshelf
