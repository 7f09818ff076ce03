#include "common/Metrics.h"

#include <sstream> // Boost 1.74 uses it without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <array>
#include <map>
#include <mutex>

namespace daisylanding {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

using Distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

/// The estimates of the P-square algorithm are meaningless until all its
/// markers are set.
constexpr size_t SamplesForQuantiles = 2 * Quantiles.size() + 3;

double quantile(const Distribution &Values, double Probability) {
  if (acc::count(Values) < SamplesForQuantiles)
    return acc::max(Values);
  return acc::quantile(Values, acc::quantile_probability = Probability);
}

Distribution makeDistribution() {
  return Distribution(acc::extended_p_square_probabilities = Quantiles);
}

/// Splits `name{labels}` into the name and the labels.
std::pair<std::string_view, std::string> splitLabels(std::string_view Name) {
  size_t Brace = Name.find('{');
  if (Brace == std::string_view::npos)
    return {Name, ""};
  std::string_view Labels = Name.substr(Brace + 1);
  Labels.remove_suffix(1);
  return {Name.substr(0, Brace), std::string(Labels)};
}

void renderDistribution(std::string &Text, std::string_view Name,
                        const Distribution &Values) {
  auto [Base, Labels] = splitLabels(Name);
  std::string Separator = Labels.empty() ? "" : ",";
  for (double Probability : Quantiles) {
    double Value = quantile(Values, Probability);
    Text += fmt::format("daisylanding_{}{{{}{}quantile=\"{}\"}} {}\n", Base,
                        Labels, Separator, Probability, Value);
  }
  Text += fmt::format("daisylanding_{}_sum{{{}}} {}\n", Base, Labels,
                      acc::sum(Values));
  Text += fmt::format("daisylanding_{}_count{{{}}} {}\n", Base, Labels,
                      acc::count(Values));
}

} // namespace

std::string renderSample(std::string_view Name, double Value) {
  return fmt::format("daisylanding_{} {}\n", Name, Value);
}

struct Metrics::Impl {
  mutable std::mutex Mutex;
  std::map<std::string, double, std::less<>> Values;
  std::map<std::string, Distribution, std::less<>> Distributions;
};

Metrics::Metrics() : State(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::count(std::string_view Name, double Amount) {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  auto It = State->Values.find(Name);
  if (It == State->Values.end())
    It = State->Values.emplace(Name, 0).first;
  It->second += Amount;
}

void Metrics::gauge(std::string_view Name, double Value) {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  auto It = State->Values.find(Name);
  if (It == State->Values.end())
    It = State->Values.emplace(Name, 0).first;
  It->second = Value;
}

void Metrics::observe(std::string_view Name, double Value) {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  auto It = State->Distributions.find(Name);
  if (It == State->Distributions.end())
    It = State->Distributions.emplace(Name, makeDistribution()).first;
  It->second(Value);
}

std::string Metrics::render() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  std::string Text;
  for (const auto &[Name, Value] : State->Values)
    Text += renderSample(Name, Value);
  for (const auto &[Name, Values] : State->Distributions)
    renderDistribution(Text, Name, Values);
  return Text;
}

} // namespace daisylanding
