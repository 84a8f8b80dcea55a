#ifndef CACTUSSHELF_CLI_COMMAND_LINE_H_
#define CACTUSSHELF_CLI_COMMAND_LINE_H_

#include <ostream>

namespace cactusshelf {

// Exit codes of `cactusshelf`. Scripts rely on the values; --help lists them.
enum class ExitCode {
  kSuccess = 0,
  // The files have findings, or a publish was rejected because of findings.
  kInvalid = 1,
  kUsage = 2,
  // Another publish changed the revision in force first.
  kConflict = 3,
  // The log cannot be reached or read. It is not known whether a publish took effect.
  kLogUnavailable = 4,
  // The customer is not retired, or proofs are missing.
  kNotCertified = 5,
  // Exported evidence is altered, incomplete or out of order.
  kEvidenceInvalid = 6,
  // An entry host does not report the revision in force.
  kNotInForceEverywhere = 7,
};

// Runs one command. Writes results to `out` and errors to `err`.
ExitCode RunCommandLine(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_COMMAND_LINE_H_
