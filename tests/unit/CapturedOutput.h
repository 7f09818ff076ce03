#ifndef DAISYLANDING_TESTS_UNIT_CAPTUREDOUTPUT_H
#define DAISYLANDING_TESTS_UNIT_CAPTUREDOUTPUT_H

#include "common/Log.h"

#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <limits>
#include <string_view>

namespace daisylanding {

/// Takes what is written to standard output, until it is read. Meanwhile no
/// line is dropped for those that were logged in the same second before.
class CapturedOutput {
public:
  CapturedOutput() : Saved(::dup(STDOUT_FILENO)) {
    setMaxLogLines(std::numeric_limits<uint64_t>::max());
    ::fflush(stdout);
    ::dup2(::fileno(Captured), STDOUT_FILENO);
  }
  ~CapturedOutput() {
    restore();
    (void)::fclose(Captured);
    setMaxLogLines(DefaultMaxLogLines);
  }
  CapturedOutput(const CapturedOutput &) = delete;
  CapturedOutput &operator=(const CapturedOutput &) = delete;

  size_t countLinesWith(std::string_view Event) {
    restore();
    ::rewind(Captured);
    char Line[1'024];
    size_t Count = 0;
    while (::fgets(Line, sizeof(Line), Captured))
      Count += std::string_view(Line).find(Event) != std::string_view::npos;
    return Count;
  }

private:
  void restore() {
    if (Saved < 0)
      return;
    ::fflush(stdout);
    ::dup2(Saved, STDOUT_FILENO);
    ::close(Saved);
    Saved = -1;
  }

  FILE *Captured = ::tmpfile();
  int Saved;
};

} // namespace daisylanding

#endif
