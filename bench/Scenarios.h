#ifndef DAISYLANDING_BENCH_SCENARIOS_H
#define DAISYLANDING_BENCH_SCENARIOS_H

/// Simulations of the scheduling decisions in virtual time under seeded load,
/// without processes. Each compares the decisions of the scheduler with
/// baselines under the same load and prints Markdown tables.
namespace daisylanding::bench {

/// Queueing and endpoint choice for the requests of one service.
void runRequestScenarios();

/// Placement of jobs on the workers of one shard.
void runTaskScenarios();

/// Division of endpoint slots between entries: shares that follow demand, fixed
/// shares, and forwarding of requests.
void runCreditScenarios();

} // namespace daisylanding::bench

#endif
