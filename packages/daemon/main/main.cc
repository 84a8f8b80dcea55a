#include "cactusshelf/node/entry_node.h"
#include "program.h"

int main(int argc, char** argv) {
  return cactusshelf::RunProgram<cactusshelf::EntryNode>(argc, argv);
}
