#include "cactusshelf/node/entry_node.h"
#include "cactusshelf/platform/platform_adapter.h"
#include "program.h"

int main(int argc, char** argv) {
  return cactusshelf::RunProgram<cactusshelf::EntryNode, cactusshelf::platform::PlatformAdapter>(
      argc, argv);
}
