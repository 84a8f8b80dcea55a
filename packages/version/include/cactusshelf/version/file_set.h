#ifndef CACTUSSHELF_VERSION_FILE_SET_H_
#define CACTUSSHELF_VERSION_FILE_SET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cactusshelf/version/config_file.h"

namespace cactusshelf {

// Changes to a file set: file name to new text, or empty to remove the file.
using FileChanges = std::map<std::string, std::optional<std::string>>;

// Configuration files by name. Copies share the parsed files. Not thread-safe for writing.
class FileSet {
 public:
  using Files = std::map<std::string, std::shared_ptr<const ConfigFile>>;

  FileSet() = default;

  // Parses all of `texts` (file name to TOML text).
  explicit FileSet(const std::map<std::string, std::string>& texts);

  // A copy with `changes` made. Only the files whose text changes are parsed. Removing a file that
  // does not exist has no effect.
  FileSet With(const FileChanges& changes) const;

  const Files& files() const { return files_; }

  // Null if there is no such file.
  std::shared_ptr<const ConfigFile> Find(const std::string& name) const;

 private:
  Files files_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_FILE_SET_H_
