#ifndef DAISYLANDING_CELL_USEFULTIME_H
#define DAISYLANDING_CELL_USEFULTIME_H

/// Until when work is of use to its caller.
namespace daisylanding::cell {

/// A job has no value left once this multiple of its allowed time (begin to
/// due) has passed since its begin.
constexpr double WorthlessAllowanceFactor = 3;
/// Steps without remaining value have at least this much slack, more than any
/// others: they are done last.
constexpr double WorthlessSlackMs = 1e9;

} // namespace daisylanding::cell

#endif
