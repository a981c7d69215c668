// Typed errors that are returned through boost::leaf results. An error is a
// plain struct; it is formatted as text only where an operator reads it.

#ifndef ACACIAHOLD_SUPPORT_ERROR_H_
#define ACACIAHOLD_SUPPORT_ERROR_H_

#include <string>

#include <boost/leaf.hpp>

namespace acaciahold {

namespace leaf = boost::leaf;

template <typename T>
using Result = leaf::result<T>;

// An invalid field of a settings file, table or message.
struct FieldError {
  std::string file = "";      // Empty if the input is not a file.
  int line = 0;               // One-based; 0 if unknown.
  std::string field = "";     // Path, such as "limits.slots".
  std::string value = "";     // The invalid value, possibly truncated.
  std::string expected = "";  // Description of a valid value.
};

// A file or socket operation that failed.
struct SystemError {
  std::string operation;  // For example "open /data/log".
  std::string reason;
};

// A stored file with corrupt content.
struct CorruptionError {
  std::string file;
  uint64_t offset = 0;  // Bytes from the start of the file.
  std::string reason;
  std::string remedy;  // What the operator should do.
};

// Each returns one line that begins with a lower-case letter or a file name and
// has no full stop at the end.
std::string Describe(const FieldError& error);
std::string Describe(const SystemError& error);
std::string Describe(const CorruptionError& error);

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_ERROR_H_
