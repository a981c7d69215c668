// A child process of a test, ended with the object.

#ifndef ACACIAHOLD_TEST_STANDINS_CHILD_H_
#define ACACIAHOLD_TEST_STANDINS_CHILD_H_

#include <string>
#include <vector>

#include <sys/types.h>

namespace acaciahold::standins {

class Child {
 public:
  // Starts the program; its output goes to `log_path`.
  Child(const std::vector<std::string>& words, const std::string& log_path);
  // The same with its output going to an open descriptor.
  Child(const std::vector<std::string>& words, int output);
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child();  // Kills the process if it still runs.

  void Signal(int number) const;

  // Waits for the end; returns the exit code, or minus the signal's number.
  int Wait();

  bool is_running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;  // -1 after the end was seen.
};

// Runs the program to its end; returns the exit code.
int RunChild(const std::vector<std::string>& words,
             const std::string& log_path);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_CHILD_H_
