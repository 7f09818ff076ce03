#ifndef DAISYLANDING_COMMON_METRICS_H
#define DAISYLANDING_COMMON_METRICS_H

#include <memory>
#include <string>
#include <string_view>

namespace daisylanding {

/// A current value; the name includes its labels.
struct Gauge {
  std::string Name;
  double Value = 0;
};

/// A line of the Prometheus text format, with the name prefixed with
/// `daisylanding_`.
std::string renderSample(std::string_view Name, double Value);

/// Counters, gauges and distributions, rendered in the Prometheus text format.
/// Names include their labels, as in `answers_total{outcome="done"}`.
/// Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds to a counter.
  void count(std::string_view Name, double Amount = 1);
  void gauge(std::string_view Name, double Value);
  /// Adds a sample to a distribution with quantiles 0.5, 0.9 and 0.99.
  void observe(std::string_view Name, double Value);

  /// Text of all time series, with names prefixed with `daisylanding_`.
  std::string render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisylanding

#endif
