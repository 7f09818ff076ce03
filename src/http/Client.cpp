#include "http/Client.h"

#include <curl/curl.h>

#include <strings.h>

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace daisylanding::http {

namespace {

void initializeOnce() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// One call in flight: the request's storage and the answer so far.
struct Transfer {
  Call Request;
  Response Answer;
  curl_slist *Headers = nullptr;
  CURL *Handle = nullptr;
  bool Issued = false; ///< A request may have gone out, on any connection.
  Completion Done;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() { curl_slist_free_all(Headers); }
};

size_t onBody(char *Data, size_t Size, size_t Count, void *User) {
  auto *Each = static_cast<Transfer *>(User);
  size_t Bytes = Size * Count;
  if (Each->Answer.Body.size() + Bytes > Each->Request.MaxAnswerBytes)
    return 0;
  Each->Answer.Body.append(Data, Bytes);
  return Bytes;
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.back() == '\r' || Text.back() == '\n'))
    Text.remove_suffix(1);
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  return Text;
}

size_t onHeader(char *Data, size_t Size, size_t Count, void *User) {
  auto *Each = static_cast<Transfer *>(User);
  std::string_view Line(Data, Size * Count);
  if (Line.substr(0, 5) == "HTTP/")
    Each->Answer.Headers.clear();
  size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    Each->Answer.Headers.emplace_back(
        std::string(Line.substr(0, Colon)),
        std::string(trimmed(Line.substr(Colon + 1))));
  }
  return Size * Count;
}

/// Called when a connection stands and a request is about to go out on it.
int onRequest(void *User, char *, char *, int, int) {
  static_cast<Transfer *>(User)->Issued = true;
  return CURL_PREREQFUNC_OK;
}

void configure(Transfer &Each, CURL *Handle) {
  Each.Handle = Handle;
  const Call &Request = Each.Request;
  curl_easy_reset(Handle);
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT,
                   Request.FreshConnection ? 1L : 0L);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Request.ConnectTimeout.count()));
  curl_easy_setopt(
      Handle, CURLOPT_TIMEOUT_MS,
      static_cast<long>(std::max<int64_t>(1, Request.Timeout.count())));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Each);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Each);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, onRequest);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, &Each);
  if (Request.Method != "GET") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  Each.Headers = curl_slist_append(nullptr, "Expect:");
  for (const Header &Field : Request.Headers) {
    std::string Line = Field.first + ": " + Field.second;
    Each.Headers = curl_slist_append(Each.Headers, Line.c_str());
  }
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Each.Headers);
}

/// An answer that ends with its connection can't be told from a cut one.
bool hasVerifiableLength(const Response &Answer) {
  constexpr uint16_t StatusNoContent = 204;
  return Answer.Status == StatusNoContent ||
         findHeader(Answer.Headers, "Content-Length") ||
         findHeader(Answer.Headers, "Transfer-Encoding");
}

Outcome conclude(Transfer &Each, CURLcode Code) {
  if (Code == CURLE_OK) {
    long Status = 0;
    curl_easy_getinfo(Each.Handle, CURLINFO_RESPONSE_CODE, &Status);
    Each.Answer.Status = static_cast<uint16_t>(Status);
    if (!hasVerifiableLength(Each.Answer))
      return Errc::AnswerLost;
    return std::move(Each.Answer);
  }
  // The code alone would mislead: the library sends a request again when a
  // kept connection closes on it, and that second try may fail to connect.
  if (!Each.Issued)
    return Errc::Unreachable;
  return Code == CURLE_OPERATION_TIMEDOUT ? Errc::Timeout : Errc::AnswerLost;
}

} // namespace

struct Client::Impl {
  CURL *Handle = curl_easy_init();
};

Client::Client() {
  initializeOnce();
  Inner = std::make_unique<Impl>();
}

Client::~Client() { curl_easy_cleanup(Inner->Handle); }

Outcome Client::perform(const Call &Request) {
  Transfer Each;
  Each.Request = Request;
  configure(Each, Inner->Handle);
  CURLcode Code = curl_easy_perform(Inner->Handle);
  return conclude(Each, Code);
}

struct MultiClient::Impl {
  CURLM *Multi = curl_multi_init();
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Running;
  std::vector<CURL *> Spare;

  CURL *takeHandle() {
    if (Spare.empty())
      return curl_easy_init();
    CURL *Handle = Spare.back();
    Spare.pop_back();
    return Handle;
  }

  void finish(CURL *Handle, CURLcode Code) {
    auto Found = Running.find(Handle);
    std::unique_ptr<Transfer> Each = std::move(Found->second);
    Running.erase(Found);
    Outcome Ended = conclude(*Each, Code);
    curl_multi_remove_handle(Multi, Handle);
    Spare.push_back(Handle);
    Each->Done(std::move(Ended));
  }
};

MultiClient::MultiClient(MultiClientOptions Options) {
  initializeOnce();
  Inner = std::make_unique<Impl>();
  curl_multi_setopt(Inner->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    Options.MaxConnectionsPerHost);
  curl_multi_setopt(Inner->Multi, CURLMOPT_MAXCONNECTS,
                    Options.MaxIdleConnections);
}

MultiClient::~MultiClient() {
  for (auto &Each : Inner->Running) {
    curl_multi_remove_handle(Inner->Multi, Each.first);
    curl_easy_cleanup(Each.first);
  }
  for (CURL *Handle : Inner->Spare)
    curl_easy_cleanup(Handle);
  curl_multi_cleanup(Inner->Multi);
}

void MultiClient::start(Call Request, Completion Done) {
  auto Each = std::make_unique<Transfer>();
  Each->Request = std::move(Request);
  Each->Done = std::move(Done);
  CURL *Handle = Inner->takeHandle();
  configure(*Each, Handle);
  Inner->Running.emplace(Handle, std::move(Each));
  curl_multi_add_handle(Inner->Multi, Handle);
}

void MultiClient::poll(Millis Longest) {
  int Active = 0;
  curl_multi_perform(Inner->Multi, &Active);
  int Left = 0;
  bool Finished = false;
  while (CURLMsg *Message = curl_multi_info_read(Inner->Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    Inner->finish(Message->easy_handle, Message->data.result);
    Finished = true;
  }
  if (!Finished)
    curl_multi_poll(Inner->Multi, nullptr, 0, static_cast<int>(Longest.count()),
                    nullptr);
}

void MultiClient::wake() { curl_multi_wakeup(Inner->Multi); }

size_t MultiClient::running() const { return Inner->Running.size(); }

} // namespace daisylanding::http
