#ifndef CACTUSSHELF_VERSION_FILE_SET_H_
#define CACTUSSHELF_VERSION_FILE_SET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cactusshelf/version/config_file.h"

namespace cactusshelf {

// Changes to a file set: maps a file name to its new text, or to nothing to remove the file.
using FileChanges = std::map<std::string, std::optional<std::string>>;

// Configuration files by name. Copies share the parsed files. Concurrent writes are not
// thread-safe.
class FileSet {
 public:
  using Files = std::map<std::string, std::shared_ptr<const ConfigFile>>;

  FileSet() = default;

  // Parses all of `texts` (file name to TOML text).
  explicit FileSet(const std::map<std::string, std::string>& texts);

  // Returns a copy with `changes` applied. Parses only the files whose text changes. Removing a
  // file that does not exist has no effect.
  FileSet WithChanges(const FileChanges& changes) const;

  const Files& files() const { return files_; }

  // Returns null if there is no such file.
  std::shared_ptr<const ConfigFile> Find(const std::string& name) const;

 private:
  Files files_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_FILE_SET_H_
