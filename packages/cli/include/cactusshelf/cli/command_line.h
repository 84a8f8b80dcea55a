#ifndef CACTUSSHELF_CLI_COMMAND_LINE_H_
#define CACTUSSHELF_CLI_COMMAND_LINE_H_

#include <ostream>

namespace cactusshelf {

// Exit codes of `cactusshelf`, part of its interface; --help lists them.
enum class ExitCode {
  kSuccess = 0,
  // The files have findings, or the publish was rejected because of them.
  kInvalid = 1,
  kUsage = 2,
  // Another publish won.
  kConflict = 3,
  // The log cannot be reached or read. For publish, whether it took effect is not known.
  kLogUnavailable = 4,
  // The customer is not retired, or proofs are missing.
  kNotCertified = 5,
  // Exported evidence is altered, incomplete or out of order.
  kEvidenceInvalid = 6,
  // An entry host does not report the revision in force.
  kNotInForceEverywhere = 7,
};

// Runs one command. Results go to `out`, errors to `err`.
ExitCode RunCommandLine(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_COMMAND_LINE_H_
