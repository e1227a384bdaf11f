#include "harness/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>
#include <utility>

namespace camphor {
namespace {

constexpr Milliseconds kExitPoll{5};
constexpr int kSignalStatusBase = 128;

// The child must not inherit the blocked signals of this process.
void ResetSignals(posix_spawnattr_t& attributes) {
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
}

}  // namespace

std::unique_ptr<Process> Process::Start(Options options, std::string& reason) {
  std::array<int, 2> pipe_ends{};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    reason = std::string("cannot open a pipe: ") + std::strerror(errno);
    return nullptr;
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  ResetSignals(attributes);

  std::vector<char*> arguments{options.program.data()};
  for (std::string& argument : options.arguments)
    arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, options.program.c_str(), &actions,
                                &attributes, arguments.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  if (error != 0) {
    close(pipe_ends[0]);
    reason = "cannot start " + options.program + ": " + std::strerror(error);
    return nullptr;
  }
  return std::unique_ptr<Process>(
      new Process(std::move(options), pid, pipe_ends[0]));
}

Process::Process(Options options, pid_t pid, int error_pipe)
    : options_(std::move(options)), pid_(pid) {
  reader_ = std::thread([this, error_pipe] { ReadLog(error_pipe); });
}

Process::~Process() {
  Kill();
  reader_.join();
}

void Process::Terminate() { Signal(SIGTERM); }

void Process::Kill() {
  Signal(SIGKILL);
  if (exit_status_) return;
  int status = 0;
  if (waitpid(pid_, &status, 0) == pid_)
    exit_status_ = kSignalStatusBase + SIGKILL;
}

void Process::Freeze() { Signal(SIGSTOP); }

void Process::Thaw() { Signal(SIGCONT); }

std::optional<int> Process::AwaitExit(Milliseconds timeout) {
  const MonoTime deadline = std::chrono::steady_clock::now() + timeout;
  while (running()) {
    if (std::chrono::steady_clock::now() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(kExitPoll);
  }
  return exit_status_;
}

bool Process::running() {
  if (exit_status_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : kSignalStatusBase + WTERMSIG(status);
  return false;
}

// An exited process is never signalled: its id may have been reused.
void Process::Signal(int number) {
  if (running()) kill(pid_, number);
}

void Process::ReadLog(int error_pipe) {
  std::ofstream copy;
  if (!options_.log_file.empty()) copy.open(options_.log_file, std::ios::app);
  std::string pending;
  std::array<char, 65536> block{};
  ssize_t count = 0;
  while ((count = read(error_pipe, block.data(), block.size())) > 0) {
    pending.append(block.data(), static_cast<std::size_t>(count));
    std::size_t start = 0;
    for (std::size_t end = pending.find('\n'); end != std::string::npos;
         end = pending.find('\n', start)) {
      std::string line = pending.substr(start, end - start);
      if (copy.is_open()) copy << line << '\n' << std::flush;
      log_.Append(std::move(line));
      start = end + 1;
    }
    pending.erase(0, start);
  }
  if (!pending.empty()) log_.Append(std::move(pending));
  log_.Close();
  close(error_pipe);
}

}  // namespace camphor
