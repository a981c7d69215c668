// Typed errors that travel through boost::leaf results. An error is a plain
// struct; its text is made only where an operator reads it.

#ifndef ACACIAHOLD_SUPPORT_ERROR_H_
#define ACACIAHOLD_SUPPORT_ERROR_H_

#include <string>

#include <boost/leaf.hpp>

namespace acaciahold {

namespace leaf = boost::leaf;

template <typename T>
using Result = leaf::result<T>;

// A field of a settings file, table or message that can't be accepted.
struct FieldError {
  std::string file = "";   // Empty where the input is no file.
  int line = 0;            // One-based; 0 where not known.
  std::string field = "";  // Path of the field, such as "limits.slots".
  std::string value = "";  // The text found, cut to a readable length.
  std::string wanted = "";
};

// A file or socket operation that failed.
struct SystemError {
  std::string operation;  // Such as "open /data/log".
  std::string reason;
};

// A stored file whose content can't be trusted.
struct CorruptionError {
  std::string file;
  uint64_t offset = 0;  // Bytes from the start of the file.
  std::string reason;
  std::string remedy;
};

// One line each, lower case, without a full stop.
std::string Describe(const FieldError& error);
std::string Describe(const SystemError& error);
std::string Describe(const CorruptionError& error);

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_ERROR_H_
