#include "operator/Verbs.h"

namespace daisylanding::op {

namespace {

const VerbOption ExpectVersion = {"expect-version", "", OptionKind::Number,
                                  "the configuration version you saw; without "
                                  "it, the newest one is taken"};

const std::vector<VerbOption> ClassOptions = {
    {"waiting-ms", "waiting_ms", OptionKind::Number,
     "target for the waiting time, in milliseconds"},
    {"packing", "packing", OptionKind::Fraction,
     "target for the used share of instances, 0 to 1"},
    {"on-zone-loss", "on_zone_loss", OptionKind::Text, "hold or move"},
    ExpectVersion};

const std::vector<VerbOption> ServiceOptions = {
    {"class", "class", OptionKind::Text, "default class of its requests"},
    {"run-limit-ms", "run_limit_ms", OptionKind::Number,
     "longest run of one request on an endpoint"},
    {"slots", "slots_per_endpoint", OptionKind::Number,
     "requests that an endpoint takes at once"},
    ExpectVersion};

const std::vector<VerbOption> TeamOptions = {
    {"milli-cores", "milli_cores", OptionKind::Number, "quota of cores/1000"},
    {"memory-mb", "memory_mb", OptionKind::Number, "quota of memory"},
    {"accelerators", "accelerators", OptionKind::Number,
     "quota of accelerators"},
    ExpectVersion};

const std::vector<VerbOption> JobOptions = {
    {"kind", "kind", OptionKind::Text, "service, batch or gang"},
    {"class", "class", OptionKind::Text, "class of its tasks"},
    {"team", "team", OptionKind::Text, "team whose quota it uses"},
    {"zone", "zone", OptionKind::Text, "availability zone to run in"},
    {"tasks", "tasks", OptionKind::Number, "number of tasks"},
    {"milli-cores", "milli_cores", OptionKind::Number, "cores/1000 a task"},
    {"memory-mb", "memory_mb", OptionKind::Number, "memory a task"},
    {"accelerators", "accelerators", OptionKind::Number, "accelerators a task"},
    {"run-time-ms", "run_time_ms", OptionKind::Number,
     "expected run time of a task"},
    {"max-failures", "max_failures", OptionKind::Number,
     "failures of one task after which the job ends"},
    {"payload", "payload", OptionKind::Text, "passed to the worker"}};

const std::vector<Verb> Verbs = {
    {"status",
     "",
     "",
     "entries, shards, versions in force, what is cut off",
     "",
     {}},
    {"config", "show", "", "the configuration in force", "", {}},
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
     "give an instance no new work",
     "drain-instance",
     {ExpectVersion}},
    {"instance",
     "undrain",
     "NAME",
     "give an instance work again",
     "undrain-instance",
     {ExpectVersion}},
    {"job", "submit", "ID", "submit a job; the id makes it idempotent", "",
     JobOptions},
    {"job", "show", "ID", "one job and its progress", "", {}},
    {"job", "list", "", "jobs that are not over", "", {}},
    {"job", "stop", "ID", "stop a job's tasks for good", "", {}},
    {"timeline",
     "",
     "",
     "events of all entries in causal order",
     "",
     {{"after", "", OptionKind::Number, "only events after this stamp"},
      {"trace", "", OptionKind::Text,
       "write Chrome trace-event JSON to this file"}}},
    {"metrics", "", "", "metrics of one entry, Prometheus text", "", {}},
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
