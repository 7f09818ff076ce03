#include "harness/Process.h"

#include <csignal>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace daisylanding::harness {

Process::Process(std::vector<std::string> Words, const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (std::string &Each : Words)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  Pid = fork();
  if (Pid != 0)
    return;
  // In the child: only calls that are safe after a fork of many threads. It
  // dies with the harness, so that an aborted run leaves nothing behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr int Mode = 0644;
  int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments[0], Arguments.data());
  constexpr int CannotExecute = 127;
  _exit(CannotExecute);
}

Process::~Process() {
  if (!running())
    return;
  signal(SIGKILL);
  waitpid(Pid, nullptr, 0);
}

Process::Process(Process &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)), Status(Other.Status) {}

Process &Process::operator=(Process &&Other) noexcept {
  std::swap(Pid, Other.Pid);
  std::swap(Status, Other.Status);
  return *this;
}

void Process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

bool Process::running() {
  if (Pid <= 0)
    return false;
  int State = 0;
  if (waitpid(Pid, &State, WNOHANG) == 0)
    return true;
  Status = WIFEXITED(State) ? WEXITSTATUS(State) : -1;
  Pid = -1;
  return false;
}

int Process::wait(Millis Longest) {
  constexpr Millis Step{10};
  TimePoint Until = monotonicNow() + Longest;
  while (running() && monotonicNow() < Until)
    std::this_thread::sleep_for(Step);
  return Pid > 0 ? -1 : Status;
}

} // namespace daisylanding::harness
