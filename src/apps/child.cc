// Child processes of the demo and the tests.

#include "child.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>

extern char** environ;

namespace cassiaferry {

namespace {

constexpr int kReadyTimeoutMs = 30'000;
constexpr std::chrono::milliseconds kPoll{10};

std::string ReadLine(int fd) {
  std::string line;
  for (;;) {
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, kReadyTimeoutMs) <= 0)
      return "";
    char c = 0;
    if (read(fd, &c, 1) != 1)
      return "";
    if (c == '\n')
      return line;
    line += c;
  }
}

int Decode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace

child StartChild(std::vector<std::string> command,
                 const std::string& log_file) {
  child c;
  int fds[2];
  if (pipe2(fds, O_CLOEXEC) != 0)
    return c;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, fds[1], STDOUT_FILENO);
  if (!log_file.empty()) {
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  // The child must not inherit a mask that blocks its signals.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& word : command)
    arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const int error = posix_spawn(&c.pid, arguments[0], &actions, &attributes,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  close(fds[1]);
  if (error == 0)
    c.ready = nlohmann::json::parse(ReadLine(fds[0]), nullptr, false);
  else
    c.pid = 0;
  if (c.ready.is_discarded())
    c.ready = nullptr;
  close(fds[0]);
  c.command = std::move(command);
  return c;
}

namespace {

// Failure guarded against: a child that has ended and been waited for is
// signalled, and its number is another process's by now.
bool IsOurs(pid_t pid) {
  siginfo_t ignored{};
  return waitid(P_PID, static_cast<id_t>(pid), &ignored,
                WEXITED | WNOHANG | WNOWAIT) == 0;
}

}  // namespace

void SignalChild(const child& c, int signal) {
  if (c.pid > 0 && IsOurs(c.pid))
    kill(c.pid, signal);
}

int WaitChild(const child& c, int seconds) {
  if (c.pid <= 0)
    return 0;
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  int status = 0;
  while (std::chrono::steady_clock::now() < until) {
    const pid_t ended = waitpid(c.pid, &status, WNOHANG);
    if (ended == c.pid)
      return Decode(status);
    if (ended < 0)
      return 0;
    std::this_thread::sleep_for(kPoll);
  }
  kill(c.pid, SIGCONT);
  kill(c.pid, SIGKILL);
  waitpid(c.pid, &status, 0);
  return Decode(status);
}

std::string ProgramFolder() {
  char path[4096];
  const ssize_t n = readlink("/proc/self/exe", path, sizeof(path));
  const std::string program(path, n > 0 ? static_cast<size_t>(n) : 0);
  return program.substr(0, program.rfind('/'));
}

}  // namespace cassiaferry
