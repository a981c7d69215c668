// Child processes by posix_spawn.

#include "child.h"

#include <cerrno>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace acaciahold::standins {

Child::Child(const std::vector<std::string>& words,
             const std::string& log_path) {
  std::vector<char*> argv;
  for (const auto& word : words) {
    argv.push_back(const_cast<char*>(word.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  int code =
      posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) {
    throw std::runtime_error("can't start " + words[0]);
  }
}

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

void Child::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

int Child::Wait() {
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

int RunChild(const std::vector<std::string>& words,
             const std::string& log_path) {
  return Child(words, log_path).Wait();
}

}  // namespace acaciahold::standins
