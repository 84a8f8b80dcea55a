#include "cactusshelf/version/file_set.h"

namespace cactusshelf {

FileSet::FileSet(const std::map<std::string, std::string>& texts) {
  for (const auto& [name, text] : texts) {
    files_.emplace(name, ConfigFile::Parse(name, text));
  }
}

FileSet FileSet::WithChanges(const FileChanges& changes) const {
  FileSet result = *this;
  for (const auto& [name, text] : changes) {
    if (!text) {
      result.files_.erase(name);
      continue;
    }
    std::shared_ptr<const ConfigFile>& file = result.files_[name];
    if (file == nullptr || file->text() != *text) {
      file = ConfigFile::Parse(name, *text);
    }
  }
  return result;
}

std::shared_ptr<const ConfigFile> FileSet::Find(const std::string& name) const {
  const auto it = files_.find(name);
  return it == files_.end() ? nullptr : it->second;
}

}  // namespace cactusshelf
