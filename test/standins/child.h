// RAII wrapper for a child process that a test starts.

#ifndef ACACIAHOLD_TEST_STANDINS_CHILD_H_
#define ACACIAHOLD_TEST_STANDINS_CHILD_H_

#include <string>
#include <vector>

#include <sys/types.h>

namespace acaciahold::standins {

class Child {
 public:
  // Starts the program `arguments[0]`. Its stdout and stderr are appended to
  // `log_path`. Throws std::runtime_error if the file can't be opened or the
  // program can't be started.
  Child(const std::vector<std::string>& arguments, const std::string& log_path);
  // As above, but stdout and stderr go to the open file descriptor `output_fd`,
  // which the caller keeps.
  Child(const std::vector<std::string>& arguments, int output_fd);
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  // Kills the process with SIGKILL if it has not been waited for.
  ~Child();

  // Sends the signal unless the process has been waited for.
  void Signal(int signal_number) const;

  // Blocks until the process exits. Returns its exit code, or the negated
  // number of the signal that terminated it.
  int Wait();

  bool is_running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;  // -1 once the process has been waited for.
};

// Runs the program until it exits. Returns the result of Child::Wait().
int RunChild(const std::vector<std::string>& arguments,
             const std::string& log_path);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_CHILD_H_
