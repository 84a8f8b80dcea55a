#ifndef CACTUSSHELF_CLI_SRC_FILES_H_
#define CACTUSSHELF_CLI_SRC_FILES_H_

#include <map>
#include <string>
#include <vector>

namespace cactusshelf {

// Throws SettingsError if the file cannot be read.
std::string ReadFile(const std::string& path);

// Throws SettingsError if the file cannot be written completely.
void WriteFile(const std::string& path, const std::string& text);

// Returns the contents by file name. The name excludes the directory, as in the published file set.
// Throws SettingsError if a file cannot be read or two files have the same name.
std::map<std::string, std::string> ReadFiles(const std::vector<std::string>& paths);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_FILES_H_
