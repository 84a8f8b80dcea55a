#include <iostream>

#include "cactusshelf/cli/command_line.h"

int main(int argc, char** argv) {
  return static_cast<int>(cactusshelf::RunCommandLine(argc, argv, std::cout, std::cerr));
}
