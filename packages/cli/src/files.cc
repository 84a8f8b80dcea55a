#include "files.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream || std::filesystem::is_directory(path)) {
    throw SettingsError(fmt::format("cannot read '{}'", path));
  }
  return text;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream stream(path, std::ios::binary | std::ios::trunc);
  stream << text;
  stream.close();
  if (!stream) {
    throw SettingsError(fmt::format("cannot write '{}'", path));
  }
}

std::map<std::string, std::string> ReadFiles(const std::vector<std::string>& paths) {
  std::map<std::string, std::string> files;
  for (const std::string& it : paths) {
    const std::string name = std::filesystem::path(it).filename().string();
    if (!files.emplace(name, ReadFile(it)).second) {
      throw SettingsError(fmt::format("two files have the name '{}'", name));
    }
  }
  return files;
}

}  // namespace cactusshelf
