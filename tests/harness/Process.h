#ifndef DAISYLANDING_TESTS_HARNESS_PROCESS_H
#define DAISYLANDING_TESTS_HARNESS_PROCESS_H

#include "common/Time.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace daisylanding::harness {

/// A child process of the harness; killed when the object is destroyed.
class Process {
public:
  Process() = default;
  /// Starts the program \p Arguments[0] with \p Arguments and appends its
  /// output to \p LogFile.
  Process(std::vector<std::string> Arguments, const std::string &LogFile);
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int SignalNumber) const;
  bool running();
  /// Waits at most \p Timeout for the process to exit. Returns its exit code,
  /// or -1 on time-out or when a signal ended it.
  int wait(Millis Timeout);
  pid_t pid() const { return Pid; }

private:
  pid_t Pid = -1;
  int ExitCode = -1;
};

} // namespace daisylanding::harness

#endif
