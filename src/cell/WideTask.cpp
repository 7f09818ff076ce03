#include "cell/WideTask.h"

namespace daisylanding::cell {

std::optional<WideTask> findWideTask(const JobSpec &Job,
                                     const Workspace &Owner) {
  const Resources &Cap = Owner.Cap;
  for (size_t I = 0; I < Job.Steps.size(); ++I) {
    const StepSpec &Step = Job.Steps[I];
    uint64_t Count = Step.Gang ? Step.Count : 1;
    auto Find = [&](CappedResource Resource, uint32_t Size, uint32_t Limit) {
      bool IsWide = Limit > 0 && Count * Size > Limit;
      WideTask Found{.Step = I,
                     .Resource = Resource,
                     .Needed = Count * Size,
                     .Cap = Limit,
                     .IsGang = Step.Gang};
      return IsWide ? std::optional(Found) : std::nullopt;
    };
    auto Found =
        Find(CappedResource::Cores, Step.Size.MilliCores, Cap.MilliCores);
    if (!Found)
      Found = Find(CappedResource::Memory, Step.Size.MemoryMb, Cap.MemoryMb);
    if (!Found)
      Found = Find(CappedResource::Accelerators, Step.Size.Accelerators,
                   Cap.Accelerators);
    if (Found)
      return Found;
  }
  return std::nullopt;
}

} // namespace daisylanding::cell
