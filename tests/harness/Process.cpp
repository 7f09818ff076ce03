#include "harness/Process.h"

#include <csignal>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace daisylanding::harness {

Process::Process(std::vector<std::string> Arguments,
                 const std::string &LogFile) {
  std::vector<char *> ArgumentPointers;
  ArgumentPointers.reserve(Arguments.size() + 1);
  for (std::string &Argument : Arguments)
    ArgumentPointers.push_back(Argument.data());
  ArgumentPointers.push_back(nullptr);
  Pid = fork();
  if (Pid != 0)
    return;
  // The child may call only async-signal-safe functions, since the harness has
  // several threads. It is killed with the harness, so that an aborted run
  // leaves no processes behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr int LogFileMode = 0644;
  int LogDescriptor =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogFileMode);
  dup2(LogDescriptor, STDOUT_FILENO);
  dup2(LogDescriptor, STDERR_FILENO);
  execv(ArgumentPointers[0], ArgumentPointers.data());
  constexpr int ExecFailedCode = 127;
  _exit(ExecFailedCode);
}

Process::~Process() {
  if (!running())
    return;
  signal(SIGKILL);
  waitpid(Pid, nullptr, 0);
}

Process::Process(Process &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)), ExitCode(Other.ExitCode) {}

Process &Process::operator=(Process &&Other) noexcept {
  std::swap(Pid, Other.Pid);
  std::swap(ExitCode, Other.ExitCode);
  return *this;
}

void Process::signal(int SignalNumber) const {
  if (Pid > 0)
    ::kill(Pid, SignalNumber);
}

bool Process::running() {
  if (Pid <= 0)
    return false;
  int WaitStatus = 0;
  if (waitpid(Pid, &WaitStatus, WNOHANG) == 0)
    return true;
  ExitCode = WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus) : -1;
  Pid = -1;
  return false;
}

int Process::wait(Millis Timeout) {
  constexpr Millis PollInterval{10};
  TimePoint Deadline = monotonicNow() + Timeout;
  while (running() && monotonicNow() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return Pid > 0 ? -1 : ExitCode;
}

} // namespace daisylanding::harness
