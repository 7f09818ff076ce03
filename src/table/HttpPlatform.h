#ifndef DAISYLANDING_TABLE_HTTPPLATFORM_H
#define DAISYLANDING_TABLE_HTTPPLATFORM_H

#include "http/Client.h"
#include "table/InstanceList.h"
#include "table/Table.h"
#include "table/WriteBudget.h"

namespace daisylanding::table {

struct HttpPlatformOptions {
  std::string Url;              ///< Base URL of the platform's service.
  std::string AvailabilityZone; ///< Sent for the platform's routing.
  Millis Timeout{2'000};
  WritePriority Priority = WritePriority::Bulk;
};

/// HTTP client of the platform service. Not thread-safe: each thread that needs
/// the platform owns one. All writes of a process share one budget.
class HttpPlatform final : public Table,
                           public ObjectStore,
                           public InstanceList {
public:
  HttpPlatform(HttpPlatformOptions Options, WriteBudget &Budget);

  Result<Row> read(std::string_view Key) override;
  Result<std::vector<Row>> scan(std::string_view Prefix) override;
  Result<CommitResult> commit(std::span<const Mutation> Mutations) override;
  std::error_code put(std::string_view Key, std::string_view Value) override;
  Result<std::string> fetch(std::string_view Key) override;
  Result<InstanceSnapshot> snapshot() override;

private:
  http::CallResult call(std::string_view Method, std::string_view Target,
                        std::string Body);

  HttpPlatformOptions Options;
  WriteBudget &Budget;
  http::Client Client;
};

} // namespace daisylanding::table

#endif
