#include "table/HttpPlatform.h"

#include "table/Wire.h"

#include <nlohmann/json.hpp>

namespace daisylanding::table {

namespace {

/// Runs \p Parse; the JSON library's exceptions become Malformed.
template <typename T, typename Function>
Result<T> parseOrMalformed(Function Parse) {
  try {
    return Parse();
  } catch (const nlohmann::json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace

HttpPlatform::HttpPlatform(HttpPlatformOptions Options, WriteBudget &Budget)
    : Options(std::move(Options)), Budget(Budget) {}

http::CallResult HttpPlatform::call(std::string_view Method,
                                    std::string_view Target, std::string Body) {
  http::Call Request;
  Request.Method = Method;
  Request.Url = Options.Url + std::string(Target);
  Request.Body = std::move(Body);
  Request.Timeout = Options.Timeout;
  Request.ConnectTimeout = Options.Timeout;
  Request.MaxResponseBytes = 256 << 20;
  Request.Headers = {
      {"Daisylanding-Availability-Zone", Options.AvailabilityZone}};
  http::CallResult Answer = Client.perform(Request);
  // A refusal (503) means that the service did not carry out the call.
  if (Answer && Answer->Status == http::StatusUnavailable)
    return Errc::Unreachable;
  return Answer;
}

Result<Row> HttpPlatform::read(std::string_view Key) {
  auto Answer =
      call("GET", "/v1/table/rows?key=" + http::percentEncode(Key), {});
  if (!Answer)
    return Answer.error();
  if (Answer->Status != http::StatusOk)
    return Errc::Malformed;
  return parseOrMalformed<Row>([&]() -> Result<Row> {
    auto Rows = rowsFromJson(nlohmann::json::parse(Answer->Body));
    return Rows.empty() ? Row{.Key = std::string(Key)} : Rows.front();
  });
}

Result<std::vector<Row>> HttpPlatform::scan(std::string_view Prefix) {
  auto Answer =
      call("GET", "/v1/table/rows?prefix=" + http::percentEncode(Prefix), {});
  if (!Answer)
    return Answer.error();
  if (Answer->Status != http::StatusOk)
    return Errc::Malformed;
  return parseOrMalformed<std::vector<Row>>([&]() -> Result<std::vector<Row>> {
    return rowsFromJson(nlohmann::json::parse(Answer->Body));
  });
}

Result<CommitResult> HttpPlatform::commit(std::span<const Mutation> Mutations) {
  if (!Budget.tryTake(monotonicNow(), Options.Priority))
    return Errc::BudgetExhausted;
  auto Answer =
      call("POST", "/v1/table/commit", mutationsToJson(Mutations).dump());
  if (!Answer)
    return Answer.error();
  if (Answer->Status != http::StatusOk &&
      Answer->Status != http::StatusConflict)
    return Errc::AnswerLost;
  return parseOrMalformed<CommitResult>([&]() -> Result<CommitResult> {
    return commitResultFromJson(nlohmann::json::parse(Answer->Body));
  });
}

std::error_code HttpPlatform::put(std::string_view Key,
                                  std::string_view Value) {
  if (!Budget.tryTake(monotonicNow()))
    return Errc::BudgetExhausted;
  auto Answer = call("PUT", "/v1/objects?key=" + http::percentEncode(Key),
                     std::string(Value));
  if (!Answer)
    return Answer.error();
  return Answer->Status == http::StatusOk ? std::error_code()
                                          : Errc::AnswerLost;
}

Result<std::string> HttpPlatform::fetch(std::string_view Key) {
  auto Answer = call("GET", "/v1/objects?key=" + http::percentEncode(Key), {});
  if (!Answer)
    return Answer.error();
  if (Answer->Status == http::StatusNotFound)
    return Errc::NotFound;
  return std::move(Answer->Body);
}

Result<InstanceSnapshot> HttpPlatform::snapshot() {
  auto Answer = call("GET", "/v1/instances", {});
  if (!Answer)
    return Answer.error();
  if (Answer->Status != http::StatusOk)
    return Errc::Malformed;
  return parseOrMalformed<InstanceSnapshot>([&]() -> Result<InstanceSnapshot> {
    return instancesFromJson(nlohmann::json::parse(Answer->Body));
  });
}

} // namespace daisylanding::table
