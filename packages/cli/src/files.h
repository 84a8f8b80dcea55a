#ifndef CACTUSSHELF_CLI_SRC_FILES_H_
#define CACTUSSHELF_CLI_SRC_FILES_H_

#include <map>
#include <string>
#include <vector>

namespace cactusshelf {

// Throws SettingsError if the file cannot be read.
std::string ReadFile(const std::string& path);

// Throws SettingsError if the file cannot be written as a whole.
void WriteFile(const std::string& path, const std::string& text);

// Contents by file name without the directory, which is the name in the file set. Throws
// SettingsError if a file cannot be read or two have the same name.
std::map<std::string, std::string> ReadFiles(const std::vector<std::string>& paths);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_FILES_H_
