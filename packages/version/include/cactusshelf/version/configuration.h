#ifndef CACTUSSHELF_VERSION_CONFIGURATION_H_
#define CACTUSSHELF_VERSION_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/version/entry_index.h"
#include "cactusshelf/version/entry_range.h"
#include "cactusshelf/version/file_set.h"

namespace cactusshelf {

// The typed entries of a valid file set. Immutable; safe to share between threads. Returned
// pointers and ranges are valid as long as the configuration.
class Configuration {
 public:
  // Upper bound for the total size of all files. Leaves room for the rest of the state in a
  // snapshot record. At the target size the files have about 5 MB.
  static constexpr std::size_t kMaxBytes = std::size_t{16} << 20;

  // Creates the empty configuration.
  Configuration() = default;

  // Builds the configuration of `files`. On faults returns null and adds all findings.
  static std::shared_ptr<const Configuration> Make(const FileSet& files, Findings& findings);

  // Equivalent to Make(), but takes time proportional to the files that differ from those of this
  // configuration.
  std::shared_ptr<const Configuration> Update(const FileSet& files, Findings& findings) const;

  const FileSet& files() const { return files_; }

  // Ranges over all entries of a kind, ordered by file name and then as in the file.
  EntryRange<Customer> customers() const { return {files_, &ConfigFile::customers}; }
  EntryRange<Account> accounts() const { return {files_, &ConfigFile::accounts}; }
  EntryRange<Team> teams() const { return {files_, &ConfigFile::teams}; }
  EntryRange<Service> services() const { return {files_, &ConfigFile::services}; }
  EntryRange<Worker> workers() const { return {files_, &ConfigFile::workers}; }
  EntryRange<Job> jobs() const { return {files_, &ConfigFile::jobs}; }
  EntryRange<Retirement> retirements() const { return {files_, &ConfigFile::retirements}; }

  // Return null if there is no such entry.
  const Customer* Find(const CustomerId& id) const;
  const Account* Find(const AccountId& id) const;
  const Team* Find(const TeamId& id) const;
  const Service* Find(const ServiceId& id) const;
  const Worker* Find(const WorkerId& id) const;
  const Job* Find(const JobId& id) const;
  const Retirement* FindRetirement(const CustomerId& customer) const;

  bool IsRetired(const CustomerId& customer) const { return FindRetirement(customer) != nullptr; }

  // The customer that an entry belongs to; empty for workers and for unknown keys.
  CustomerId CustomerOf(const EntryKey& key) const;

  // Cells named by workers, with the number of their workers.
  const std::map<CellId, std::uint32_t>& cells() const { return cells_; }

  // Where the entry is defined; empty if there is no such entry.
  Place PlaceOf(const EntryKey& key) const;

  // Keys of entries that were added, removed or changed between `before` and `after`. Takes time
  // proportional to the files that differ. An entry with faults counts as changed.
  static std::set<EntryKey> Difference(const FileSet& before, const FileSet& after);

 private:
  template <typename T>
  const T* FindEntry(EntryKind kind, const std::string& name,
                     const std::vector<T>& (ConfigFile::*entries)() const) const;

  void CheckFile(const ConfigFile& file, Findings& findings) const;
  void CheckRemoved(const ConfigFile& file,
                    const std::vector<std::shared_ptr<const ConfigFile>>& added,
                    Findings& findings) const;
  void CheckSize(Findings& findings) const;
  void CountCells(const ConfigFile& file, int sign);

  FileSet files_;
  EntryIndex index_;
  std::map<CellId, std::uint32_t> cells_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_CONFIGURATION_H_
