#ifndef DAISYLANDING_REVIEW_STORE_H
#define DAISYLANDING_REVIEW_STORE_H

#include "Record.h"
#include "http/Server.h"
#include "standin/DelayQueue.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace daisylanding::review {

/// The platform's store: rows in tables, conditional transactions, and feeds.
/// Keeps the limits of PROTOCOL.md: a value of at most 65,536 bytes, at most
/// 100 entries and 1 MB a transaction. What is over a limit is refused with
/// 400, and nothing of it is done.
class Store final : public http::Handler {
public:
  explicit Store(Record &Log) : Log(Log) {}

  void handle(http::Request Request, http::Responder Respond) override;

  /// Stores a row as the operator or an executor does.
  void put(const std::string &Table, const std::string &Key,
           const nlohmann::json &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Transactions refused for their size.
  size_t oversized() const;
  /// Cancels delayed answers. To be called before the server ends.
  void shutDown();

private:
  using Json = nlohmann::json;
  using RowKey = std::array<std::string, 3>; ///< Table, partition, key.

  struct StoredRow {
    std::string Value; ///< Base64.
    uint64_t Version = 0;
    bool Deleted = false;
  };
  struct Feed {
    std::string Table;
    uint64_t After = 0;
    http::Responder Respond;
    bool Answered = false;
  };

  void transact(const std::string &Text, const http::Responder &Respond);
  bool isOversized(const Json &Body, size_t Bytes);
  void apply(const Json &Body, const http::Responder &Respond);
  void read(const http::Request &Request, const http::Responder &Respond);
  void follow(const http::Request &Request, http::Responder Respond);
  Json changes(const std::string &Table, uint64_t After) const;
  void answerFeeds(const std::string &Table);
  Json stamped(Json Body) const;
  static Json rowOf(const RowKey &Key, const StoredRow &Row);

  Record &Log;
  mutable std::mutex Mutex;
  std::map<RowKey, StoredRow> Rows;
  uint64_t Version = 0;
  size_t Oversized = 0;
  std::vector<std::shared_ptr<Feed>> Feeds;
  std::unique_ptr<standin::DelayQueue> Delayed =
      std::make_unique<standin::DelayQueue>();
};

/// Sends a JSON answer.
void sendJson(const http::Responder &Respond, uint16_t Status,
              const nlohmann::json &Body);

} // namespace daisylanding::review

#endif
