#ifndef DAISYLANDING_BENCH_SCENARIOS_H
#define DAISYLANDING_BENCH_SCENARIOS_H

/// Seeded load on the decisions alone, in virtual time, beside baselines that
/// see the same load. Each prints its tables in Markdown.
namespace daisylanding::bench {

/// Requests on the endpoints of one service.
void runRequestScenarios();

/// Jobs on the workers of one shard.
void runTaskScenarios();

/// Slots moving with demand, fixed shares, and forwarding to an owner.
void runCreditScenarios();

} // namespace daisylanding::bench

#endif
