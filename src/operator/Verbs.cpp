#include "operator/Verbs.h"

namespace daisylanding::op {

namespace {

const VerbOption ExpectVersion = {"expect-version", "", OptionKind::Number,
                                  "configuration version that the change is "
                                  "based on; default: the newest"};

const std::vector<VerbOption> ClassOptions = {
    {"waiting-ms", "waiting_ms", OptionKind::Number,
     "target waiting time, in milliseconds"},
    {"packing", "packing", OptionKind::Fraction,
     "target utilization of instances, 0 to 1"},
    {"on-zone-loss", "on_zone_loss", OptionKind::Text, "hold or move"},
    ExpectVersion};

const std::vector<VerbOption> ServiceOptions = {
    {"class", "class", OptionKind::Text, "default class of its requests"},
    {"run-limit-ms", "run_limit_ms", OptionKind::Number,
     "time limit of a request on an endpoint, in milliseconds"},
    {"slots", "slots_per_endpoint", OptionKind::Number,
     "concurrent requests per endpoint"},
    ExpectVersion};

const std::vector<VerbOption> TeamOptions = {
    {"milli-cores", "milli_cores", OptionKind::Number,
     "quota in thousandths of a core"},
    {"memory-mb", "memory_mb", OptionKind::Number, "quota of memory, in MB"},
    {"accelerators", "accelerators", OptionKind::Number,
     "quota of accelerators"},
    ExpectVersion};

const std::vector<VerbOption> JobOptions = {
    {"kind", "kind", OptionKind::Text, "service, batch or gang"},
    {"class", "class", OptionKind::Text, "class of its tasks"},
    {"team", "team", OptionKind::Text, "team whose quota the job uses"},
    {"zone", "zone", OptionKind::Text, "availability zone to run in"},
    {"tasks", "tasks", OptionKind::Number, "number of tasks"},
    {"milli-cores", "milli_cores", OptionKind::Number,
     "thousandths of a core per task"},
    {"memory-mb", "memory_mb", OptionKind::Number, "memory per task, in MB"},
    {"accelerators", "accelerators", OptionKind::Number,
     "accelerators per task"},
    {"run-time-ms", "run_time_ms", OptionKind::Number,
     "expected run time of a task, in milliseconds"},
    {"max-failures", "max_failures", OptionKind::Number,
     "allowed failures per task; one more ends the job"},
    {"payload", "payload", OptionKind::Text, "text passed to the worker"}};

const std::vector<Verb> Verbs = {
    {"status",
     "",
     "",
     "show entries, shards, versions in force and cut-off zones",
     "",
     {}},
    {"status",
     "workspaces",
     "",
     "show a cell's workspaces: cap, weight, number of keys, what runs and "
     "waits",
     "",
     {}},
    {"config", "show", "", "show the configuration in force", "", {}},
    {"class", "set", "NAME", "create a class or change its targets",
     "set-class", ClassOptions},
    {"class",
     "remove",
     "NAME",
     "remove a class that no service uses",
     "remove-class",
     {ExpectVersion}},
    {"service", "set", "NAME", "create or change a service", "set-service",
     ServiceOptions},
    {"service",
     "remove",
     "NAME",
     "remove a service",
     "remove-service",
     {ExpectVersion}},
    {"team", "set", "NAME", "create a team or change its quota", "set-team",
     TeamOptions},
    {"team", "remove", "NAME", "remove a team", "remove-team", {ExpectVersion}},
    {"instance",
     "drain",
     "NAME",
     "stop placing new work on an instance",
     "drain-instance",
     {ExpectVersion}},
    {"instance",
     "undrain",
     "NAME",
     "resume placing work on an instance",
     "undrain-instance",
     {ExpectVersion}},
    {"job", "submit", "ID", "submit a job; the id makes it idempotent", "",
     JobOptions},
    {"job", "show", "ID", "show a job and its progress", "", {}},
    {"job", "list", "", "list the jobs that have not ended", "", {}},
    {"job", "stop", "ID", "stop a job and its tasks permanently", "", {}},
    {"timeline",
     "",
     "",
     "show events of all entries in causal order",
     "",
     {{"after", "", OptionKind::Number, "show only events after this stamp"},
      {"trace", "", OptionKind::Text,
       "write Chrome trace-event JSON to this file"}}},
    {"metrics", "", "", "show metrics of one entry as Prometheus text", "", {}},
};

} // namespace

std::span<const Verb> allVerbs() { return Verbs; }

const Verb *findVerb(std::string_view Group, std::string_view Action) {
  for (const Verb &Candidate : Verbs) {
    if (Candidate.Group == Group && Candidate.Action == Action)
      return &Candidate;
  }
  return nullptr;
}

} // namespace daisylanding::op
