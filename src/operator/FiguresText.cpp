#include "operator/FiguresText.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace daisylanding::op {

using nlohmann::json;

namespace {

constexpr double MillisPerSecond = 1e3;

double secondsOf(const json &Document, const char *Field) {
  auto It = Document.find(Field);
  bool IsKnown = It != Document.end() && It->is_number();
  return IsKnown ? It->get<double>() / MillisPerSecond : 0;
}

std::string describe(const json &Service) {
  std::string Name = Service.value("service", "");
  std::string Figures = Service.value("figures", "");
  double AgeSeconds = secondsOf(Service, "status_age_ms");
  if (Figures == "known")
    return fmt::format("service {}: figures of {:.1f} s ago; the stored jobs "
                       "were read {:.1f} s before",
                       Name, AgeSeconds,
                       secondsOf(Service, "jobs_read_ms_ago"));
  if (Figures == "loading")
    return fmt::format("service {}: figures and jobs unknown, its owner is "
                       "still reading the stored jobs",
                       Name);
  if (Figures == "outdated")
    return fmt::format("service {}: figures and jobs unknown, its owner has "
                       "told nothing for {:.1f} s",
                       Name, AgeSeconds);
  return fmt::format("service {}: figures {}", Name, Figures);
}

bool tellsOfFigures(const json &Service) {
  return Service.is_object() && Service.contains("figures") &&
         Service["figures"].is_string();
}

} // namespace

std::vector<std::string> describeFigures(const json &Document) {
  std::vector<std::string> Lines;
  if (!Document.is_object() || !Document.contains("services"))
    return Lines;
  for (const json &Service : Document["services"]) {
    if (tellsOfFigures(Service))
      Lines.push_back(describe(Service));
  }
  return Lines;
}

} // namespace daisylanding::op
