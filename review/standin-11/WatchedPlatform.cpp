#include "WatchedPlatform.h"

namespace daisylanding::review {

using nlohmann::json;

void WatchedPlatform::handle(http::Request Request, http::Responder Respond) {
  std::string Path(http::targetPath(Request.Target));
  if (Path == "/-/run-start") {
    json Body = json::parse(Request.Body);
    bool Lasts = Body.at("spec") == "lasts";
    std::pair<std::string, uint32_t> Run(Body.at("task"), Body.at("run-id"));
    const std::string *Id =
        http::findHeader(Request.Headers, "X-Daisylanding-Expect-Instance");
    // One thread serves all calls.
    Platform.setRunTimes({.RunDuration = Lasts ? LastingRun : ShortRun,
                          .MaxRenewalWait = MaxRenewalWait});
    if (Lasts) {
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        LastingTasks.insert(Run.first);
      }
      Respond = [this, Run, Executor = Id ? *Id : "",
                 Respond](http::Response Answer) {
        if (Answer.Status == http::StatusOk)
          noteStart(Run, Executor);
        Respond(std::move(Answer));
      };
    }
    Platform.handle(std::move(Request), std::move(Respond));
    return;
  }
  if (Path == "/-/hold") {
    const std::string *Id =
        http::findHeader(Request.Headers, "X-Daisylanding-Expect-Instance");
    Respond = [this, Executor = Id ? *Id : "", Respond](http::Response Answer) {
      if (Answer.Status == http::StatusOk)
        noteLists(Executor, Answer.Body);
      Respond(std::move(Answer));
    };
  }
  Platform.handle(std::move(Request), std::move(Respond));
}

void WatchedPlatform::noteStart(const std::pair<std::string, uint32_t> &Run,
                                const std::string &Executor) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Starts.try_emplace(Run, monotonicNow()).second)
    Seen.add("{} run {} begins on {}", Run.first, Run.second, Executor);
}

void WatchedPlatform::noteLists(const std::string &Executor,
                                const std::string &Body) {
  json Lists = json::parse(Body);
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const json &Row : Lists.at("finished")) {
    SeenEnd End{.Task = Row.at(1), .Run = Row.at(2), .How = Row.at(3)};
    if (!LastingTasks.count(End.Task) ||
        !KnownEnds.emplace(Executor, Row.at(0)).second)
      continue;
    End.At = monotonicNow();
    Seen.add("{} run {} has ended on {}: {}", End.Task, End.Run, Executor,
             End.How);
    Ends.push_back(std::move(End));
  }
}

std::vector<SeenEnd> WatchedPlatform::ends() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Ends;
}

std::map<std::pair<std::string, uint32_t>, TimePoint>
WatchedPlatform::starts() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Starts;
}

} // namespace daisylanding::review
