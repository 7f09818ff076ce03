#include "Store.h"

#include "common/Base64.h"

#include <algorithm>

namespace daisylanding::review {

namespace {

constexpr size_t MaxValueBytes = 65'536; ///< `row-bytes` of the settings.
constexpr size_t MaxEntries = 100;
constexpr size_t MaxTransactionBytes = 1'000'000;
constexpr size_t MaxPageRows = 500;
constexpr Millis ReadTime{4};
constexpr Millis TransactionTime{6};

} // namespace

void sendJson(const http::Responder &Respond, uint16_t Status,
              const nlohmann::json &Body) {
  Respond({.Status = Status,
           .Headers = {{"Content-Type", "application/json"}},
           .Body = Body.dump()});
}

void Store::handle(http::Request Request, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!Delayed)
    return;
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/-/rows-feed") {
    follow(Request, std::move(Respond));
    return;
  }
  bool IsRead = Path == "/-/rows-get";
  Delayed->schedule(IsRead ? ReadTime : TransactionTime,
                    [this, IsRead, Request, Respond] {
                      std::lock_guard<std::mutex> Lock(Mutex);
                      if (IsRead)
                        read(Request, Respond);
                      else
                        transact(Request.Body, Respond);
                    });
}

void Store::put(const std::string &Table, const std::string &Key,
                const nlohmann::json &Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Rows[{Table, "", Key}] = {encodeBase64(Value.dump()), ++Version, false};
  answerFeeds(Table);
}

void Store::remove(const std::string &Table, const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Rows[{Table, "", Key}] = {"", ++Version, true};
  answerFeeds(Table);
}

size_t Store::oversized() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Oversized;
}

void Store::shutDown() {
  std::unique_ptr<standin::DelayQueue> Cancelled;
  std::lock_guard<std::mutex> Lock(Mutex);
  Cancelled = std::move(Delayed);
  Feeds.clear();
}

/// Logs what is over a limit.
bool Store::isOversized(const Json &Body, size_t Bytes) {
  size_t Entries = Body.at("expected-rev").size() + Body.at("writes").size() +
                   Body.at("remove").size();
  if (Entries > MaxEntries || Bytes > MaxTransactionBytes) {
    Log.line("store refused a transaction: entries={} bytes={}", Entries,
             Bytes);
    return true;
  }
  for (const Json &Write : Body.at("writes")) {
    auto Value = decodeBase64(Write.at("value").get<std::string>());
    if (Value && Value->size() <= MaxValueBytes)
      continue;
    Log.line("store refused a transaction: table={} key={} value_bytes={}",
             Write.at("table").get<std::string>(),
             Write.at("key").get<std::string>(), Value ? Value->size() : 0);
    return true;
  }
  return false;
}

void Store::transact(const std::string &Text, const http::Responder &Respond) {
  Json Body = Json::parse(Text);
  if (!isOversized(Body, Text.size())) {
    apply(Body, Respond);
    return;
  }
  ++Oversized;
  sendJson(Respond, http::StatusBadRequest, {{"error", "too large"}});
}

void Store::apply(const Json &Body, const http::Responder &Respond) {
  auto KeyOf = [](const Json &Entry) {
    return RowKey{Entry.at("table"), Entry.at("part"), Entry.at("key")};
  };
  Json Current = Json::array();
  bool Holds = true;
  for (const Json &Condition : Body.at("expected-rev")) {
    auto Found = Rows.find(KeyOf(Condition));
    bool Exists = Found != Rows.end() && !Found->second.Deleted;
    uint64_t RowVersion = Exists ? Found->second.Version : 0;
    Holds = Holds && RowVersion == Condition.at("row-version");
    if (Exists)
      Current.push_back(rowOf(Found->first, Found->second));
  }
  if (!Holds) {
    sendJson(Respond, http::StatusPreconditionFailed,
             stamped({{"rows", Current}}));
    return;
  }
  ++Version;
  std::vector<std::string> Tables;
  for (const Json &Write : Body.at("writes")) {
    Rows[KeyOf(Write)] = {Write.at("value"), Version, false};
    Tables.push_back(Write.at("table"));
  }
  for (const Json &Removal : Body.at("remove")) {
    Rows[KeyOf(Removal)] = {"", Version, true};
    Tables.push_back(Removal.at("table"));
  }
  sendJson(Respond, http::StatusOk, stamped(Json::object()));
  for (const std::string &Table : Tables)
    answerFeeds(Table);
}

Store::Json Store::stamped(Json Body) const {
  Body["row-version"] = Version;
  Body["now-ms"] = toMillis(monotonicNow().time_since_epoch());
  return Body;
}

Store::Json Store::rowOf(const RowKey &Key, const StoredRow &Row) {
  Json Entry = {{"table", Key[0]},
                {"part", Key[1]},
                {"key", Key[2]},
                {"row-version", Row.Version}};
  if (Row.Deleted)
    Entry["deleted"] = true;
  else
    Entry["value"] = Row.Value;
  return Entry;
}

void Store::read(const http::Request &Request, const http::Responder &Respond) {
  std::string Table = http::queryValue(Request.Target, "table");
  std::string Part = http::queryValue(Request.Target, "part");
  std::string From = http::queryValue(Request.Target, "from");
  std::string To = http::queryValue(Request.Target, "to");
  std::string Limit = http::queryValue(Request.Target, "limit");
  size_t MaxRows =
      std::min(MaxPageRows, Limit.empty() ? MaxPageRows : std::stoul(Limit));
  Json Page = Json::array();
  bool HasMore = false;
  for (auto It = Rows.lower_bound({Table, Part, From}); It != Rows.end();
       ++It) {
    const RowKey &Key = It->first;
    if (Key[0] != Table || Key[1] != Part || (!To.empty() && Key[2] >= To))
      break;
    if (It->second.Deleted)
      continue;
    HasMore = Page.size() == MaxRows;
    if (HasMore)
      break;
    Page.push_back(rowOf(Key, It->second));
  }
  sendJson(Respond, http::StatusOk,
           stamped({{"rows", Page}, {"has-more", HasMore}}));
}

Store::Json Store::changes(const std::string &Table, uint64_t After) const {
  std::multimap<uint64_t, Json> ByVersion;
  for (auto It = Rows.lower_bound({Table, "", ""});
       It != Rows.end() && It->first[0] == Table; ++It) {
    if (It->second.Version > After)
      ByVersion.emplace(It->second.Version, rowOf(It->first, It->second));
  }
  Json Changed = Json::array();
  for (auto &Entry : ByVersion)
    Changed.push_back(std::move(Entry.second));
  return stamped({{"rows", Changed}});
}

void Store::follow(const http::Request &Request, http::Responder Respond) {
  std::string Table = http::queryValue(Request.Target, "table");
  uint64_t After = std::stoull(http::queryValue(Request.Target, "after"));
  Json Changed = changes(Table, After);
  if (!Changed.at("rows").empty()) {
    sendJson(Respond, http::StatusOk, Changed);
    return;
  }
  auto Waiting =
      std::make_shared<Feed>(Feed{Table, After, std::move(Respond), false});
  Feeds.push_back(Waiting);
  Millis Wait(std::stoll(http::queryValue(Request.Target, "wait-ms")));
  Delayed->schedule(Wait, [this, Waiting] {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (std::exchange(Waiting->Answered, true))
      return;
    std::erase(Feeds, Waiting);
    sendJson(Waiting->Respond, http::StatusOk,
             changes(Waiting->Table, Waiting->After));
  });
}

void Store::answerFeeds(const std::string &Table) {
  std::vector<std::shared_ptr<Feed>> Others;
  for (const auto &Waiting : Feeds) {
    if (Waiting->Table != Table) {
      Others.push_back(Waiting);
      continue;
    }
    Waiting->Answered = true;
    sendJson(Waiting->Respond, http::StatusOk, changes(Table, Waiting->After));
  }
  Feeds = std::move(Others);
}

} // namespace daisylanding::review
