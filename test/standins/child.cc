// Starts child processes with posix_spawn and waits for them.

#include "child.h"

#include <cerrno>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace acaciahold::standins {
namespace {

pid_t Spawn(const std::vector<std::string>& arguments, int output_fd) {
  std::vector<char*> argv;
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output_fd, 1);
  posix_spawn_file_actions_adddup2(&actions, output_fd, 2);
  pid_t pid = -1;
  int code =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) {
    throw std::runtime_error("can't start " + arguments[0]);
  }
  return pid;
}

}  // namespace

Child::Child(const std::vector<std::string>& arguments,
             const std::string& log_path) {
  int output_fd =
      ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (output_fd < 0) {
    throw std::runtime_error("can't open log file " + log_path);
  }
  pid_ = Spawn(arguments, output_fd);
  ::close(output_fd);
}

Child::Child(const std::vector<std::string>& arguments, int output_fd)
    : pid_(Spawn(arguments, output_fd)) {}

Child::Child(Child&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

Child& Child::operator=(Child&& other) noexcept {
  std::swap(pid_, other.pid_);
  return *this;
}

Child::~Child() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    Wait();
  }
}

void Child::Signal(int signal_number) const {
  if (pid_ > 0) {
    ::kill(pid_, signal_number);
  }
}

int Child::Wait() {
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

int RunChild(const std::vector<std::string>& arguments,
             const std::string& log_path) {
  return Child(arguments, log_path).Wait();
}

}  // namespace acaciahold::standins
