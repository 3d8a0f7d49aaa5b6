// The state service lowers its limits as announced; then one-task jobs are submitted.
#include <algorithm>
#include <cstdio>

#include "deployment.hpp"

namespace dunlinknot::review {
namespace {

constexpr size_t kJobs = 30;
constexpr size_t kTasksPerMachine = 16;  // 32 CPUs, 2 for each task
constexpr auto kMaxWait = seconds(90);

const StoreLimits kLimits{200, 80, size_t{16} * 1024, 16};
const StoreLimits kNext{200, 56, size_t{2} * 1024, 5};

Setup setup() {
  Setup s;
  s.zones = {"burnaby", "kamloops", "nanaimo"};
  s.limits = kLimits;
  s.next_limits = kNext;
  s.teams =
      "[[params.teams]]\nname = \"pricing\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\n"
      "gpus_max = 16.0\n";
  MachineType box;
  box.name = "yardbox";
  box.size = {32, 0, 128};
  box.cache_gb = 40;
  box.fetch_gb_per_s = 0.15;
  box.price = 2.14;
  box.spot_price = 0.77;
  box.boot = Seconds(20);
  box.zones = s.zones;
  s.types = {box};
  return s;
}

JobSpec job(size_t n) {
  JobSpec spec;
  spec.id = "run-" + std::to_string(100'000 + n);
  spec.job_class = "vin-checks";
  spec.team = "pricing";
  spec.tasks = 1;
  spec.need = {2, 0, 4.4};
  spec.image = "img-01";
  spec.image_gb = 1.2;
  spec.estimate = Seconds(30);
  return spec;
}

Task<int> drive(Deployment& site) {
  for (const char* zone : {"burnaby", "kamloops", "nanaimo"})
    site.cloud().capacity[std::string("yardbox/") + zone + "/ordinary"] = 10;
  site.run_time = [](const TaskRef&) { return Nanos(seconds(20)); };
  std::set<std::string> started;
  site.on_start = [&](const std::string&, const TaskRef& task) { started.insert(task.job); };
  Instant last_up{};
  site.on_machine_up = [&](const std::string&) { last_up = site.loop().now(); };
  if (!co_await site.wait_ready(seconds(10))) co_return kCouldNotRun;
  co_await site.loop().sleep(seconds(1));
  if (site.trouble()) {
    site.store().set_limits(kNext);
    site.note("state service: the announced limits are in force");
  }
  co_await site.loop().sleep(Millis(500));
  const auto user = site.user(*site.controllers()[0]);
  for (size_t n = 0; n < kJobs; ++n) {
    const JobSpec spec = job(n);
    const std::string body = site.describe(spec);
    http::Reply reply;
    for (int tries = 0; tries < 5 && reply.status != 201; ++tries) {
      if (tries > 0) co_await site.loop().sleep(seconds(1));
      reply = co_await user->call("POST", "/v1/jobs", body, seconds(5));
      site.note("user: submitted " + spec.id + ": " + std::to_string(reply.status));
    }
    if (reply.status != 201 && reply.status != 200) co_return kCouldNotRun;
  }
  const Instant accepted = site.loop().now();
  const auto waited = [&] { return site.loop().now() - std::max(accepted, last_up); };
  // A machine counts from its first answered report on, at most two report intervals after it is up.
  while (waited() < kMaxWait + seconds(5) && started.size() < kJobs) {
    co_await site.loop().sleep(seconds(5));
    size_t slots = 0, tasks = 0;
    for (const auto& [id, worker] : site.workers()) {
      if (!worker->powered_on) continue;
      slots += kTasksPerMachine;
      for (const auto& [key, task] : worker->tasks) tasks += task.state != TaskState::exited ? 1 : 0;
    }
    const http::Reply asked =
        co_await user->call("GET", "/v1/jobs/" + job(0).id, "", seconds(2));
    site.note("machines up have room for " + std::to_string(slots) + " tasks and run " +
              std::to_string(tasks) + "; jobs started: " + std::to_string(started.size()) + " of " +
              std::to_string(kJobs) + "; " + job(0).id + " is " + standing_of(asked) +
              "; transactions answered 400: " + std::to_string(site.store().refused_transactions) +
              (site.store().last_refusal.empty() ? "" : " (" + site.store().last_refusal + ")"));
    if (slots < kJobs && site.elapsed() > 30) {
      site.note("the machines have too little room for all jobs");
      co_return kCouldNotRun;
    }
  }
  co_return started.size() == kJobs ? kHeld : kBroken;
}

}  // namespace
}  // namespace dunlinknot::review

int main(int argc, char** argv) {
  try {
    dunlinknot::review::Deployment site(argc, argv, dunlinknot::review::setup());
    return site.run(dunlinknot::review::drive(site));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return dunlinknot::review::kCouldNotRun;
  }
}
