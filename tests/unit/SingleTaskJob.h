#ifndef DAISYLANDING_TESTS_UNIT_SINGLETASKJOB_H
#define DAISYLANDING_TESTS_UNIT_SINGLETASKJOB_H

#include "common/Resources.h"

#include <cstdint>

/// A simulated job with a short task, or with several of its size.
namespace daisylanding::cellsim {

constexpr const char *JobId = "00000000000000a1";
constexpr const char *TaskId = "00000000000000a1.0.0.0";
/// Of a task, and of each executor.
constexpr Resources Size{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr int64_t RunMs = 300;
/// Until an executor that is in reach again is heard.
constexpr int64_t ContactMs = 700;

} // namespace daisylanding::cellsim

#endif
