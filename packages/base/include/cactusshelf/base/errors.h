#ifndef CACTUSSHELF_BASE_ERRORS_H_
#define CACTUSSHELF_BASE_ERRORS_H_

#include <stdexcept>

namespace cactusshelf {

// Base class of all exceptions thrown by cactusshelf.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Input from another process or a file cannot be decoded.
class DecodeError : public Error {
 public:
  using Error::Error;
};

// Settings or command line arguments are invalid.
class SettingsError : public Error {
 public:
  using Error::Error;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_ERRORS_H_
