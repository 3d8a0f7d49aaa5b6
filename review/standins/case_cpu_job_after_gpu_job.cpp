// The cloud's interface is down for a while, so a job without GPUs that needs a machine type with
// GPUs begins to wait. A job with a GPU is submitted meanwhile. Then machines can be rented again.
#include <algorithm>
#include <cstdio>

#include "deployment.hpp"

namespace dunlinknot::review {
namespace {

constexpr auto kMaxWait = seconds(90);  // of a job, once the trouble is over
constexpr double kOutageBegins = 1.0, kGpuJobAt = 8.0, kOutageEnds = 12.0;
constexpr uint32_t kMachines = 2;

Setup setup() {
  Setup s;
  s.zones = {"townsville"};
  s.limits = {250, 100, size_t{8} * 1024, 48};
  s.teams =
      "[[params.teams]]\nname = \"imports\"\ncpus = 104.0\ncpus_max = 216.0\ngpus = 0.0\n"
      "gpus_max = 0.0\n[[params.teams]]\nname = \"cellar-ops\"\ncpus = 152.0\ncpus_max = 424.0\n"
      "gpus = 0.0\ngpus_max = 0.0\n";
  s.report_s = 1.5;
  s.gang_peer_s = 6;
  s.list_lag_s = 8;
  s.cpu = 0.08;
  s.memory_mb = 56;
  s.max_connections = 800;
  MachineType rig;
  rig.name = "barrelrig";
  rig.size = {32, 4, 192};
  rig.cache_gb = 120;
  rig.fetch_gb_per_s = 0.4;
  rig.price = 10.11;
  rig.spot_price = 3.7;
  rig.boot = Seconds(25);
  rig.zones = s.zones;
  s.types = {rig};
  return s;
}

JobSpec job(const std::string& id, const std::string& job_class, const std::string& team,
            Resources need) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = job_class;
  spec.team = team;
  spec.tasks = 1;
  spec.need = need;
  spec.image = "img-01";
  spec.image_gb = 1;
  spec.types = {"barrelrig"};
  spec.estimate = Seconds(30);
  return spec;
}

Task<int> drive(Deployment& site) {
  site.cloud().capacity["barrelrig/townsville/ordinary"] = kMachines;
  const JobSpec cpu_job = job("run-200001", "stock-count", "cellar-ops", {20, 0, 64});
  const JobSpec gpu_job = job("run-200002", "label-match", "imports", {5, 1, 18});
  // The job with a GPU outlasts the run, so its machine stays, with 27 CPUs and 174 GB free.
  site.run_time = [&](const TaskRef& task) {
    return Nanos(task.job == gpu_job.id ? seconds(600) : seconds(30));
  };
  std::set<std::string> started;
  site.on_start = [&](const std::string&, const TaskRef& task) { started.insert(task.job); };
  const auto at = [&](double time) {
    return site.loop().sleep(std::max<Nanos>(to_nanos(Seconds(time - site.elapsed())), Millis(1)));
  };
  if (!co_await site.wait_ready(seconds(8))) co_return kCouldNotRun;
  co_await at(kOutageBegins);
  if (site.trouble()) {
    site.cloud_down = true;
    site.note("cloud: every call is answered 503 `trouble` from now on");
  }
  const auto user = site.user(*site.controllers()[0]);
  for (const JobSpec& spec : {cpu_job, gpu_job}) {
    if (spec.id == gpu_job.id) co_await at(kGpuJobAt);
    const http::Reply reply =
        co_await user->call("POST", "/v1/jobs", site.describe(spec), seconds(5));
    site.note("user: submitted " + spec.id + ": " + std::to_string(reply.status));
    if (reply.status != 201) co_return kCouldNotRun;
  }
  co_await at(kOutageEnds);
  if (site.trouble()) {
    site.cloud_down = false;
    site.note("cloud: serves again");
  }
  const Instant over = site.loop().now();
  // The time for which one and the same machine has had room for the job: no longer than since the
  // trouble ended, and from the start of the other job there.
  std::string roomy;
  Instant roomy_since{};
  const auto waited = [&] {
    return roomy.empty() ? Nanos(0) : site.loop().now() - std::max(over, roomy_since);
  };
  while (!started.contains(cpu_job.id) && waited() < kMaxWait && site.elapsed() < 115) {
    co_await site.loop().sleep(seconds(1));
    size_t up = 0, empty = 0;
    std::string with_gpu_job;
    for (const auto& [id, worker] : site.workers()) {
      if (!worker->powered_on) continue;
      ++up;
      empty += worker->tasks.empty() ? 1 : 0;
      if (worker->tasks.size() == 1 && worker->tasks.begin()->first.first.job == gpu_job.id)
        with_gpu_job = id;
    }
    if (with_gpu_job != roomy) {
      roomy = with_gpu_job;
      roomy_since = site.loop().now();
    }
    if (static_cast<int>(site.elapsed()) % 5 != 0) continue;
    const http::Reply reply =
        co_await user->call("GET", "/v1/jobs/" + cpu_job.id, "", seconds(2));
    site.note("user: " + cpu_job.id + " is " + standing_of(reply) + "; machines up: " +
              std::to_string(up) + ", without any task: " + std::to_string(empty) +
              ", with room beside " + gpu_job.id + ": " + (roomy.empty() ? "none" : roomy));
  }
  site.note("rental requests executed: " + std::to_string(site.cloud().launches) + ", " +
            gpu_job.id + (started.contains(gpu_job.id) ? " started, " : " did not start, ") +
            cpu_job.id + (started.contains(cpu_job.id) ? " started" : " did not start"));
  if (started.contains(cpu_job.id)) co_return kHeld;
  co_return waited() >= kMaxWait ? kBroken : kCouldNotRun;
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
