// A gang is placed on two spot machines. One has got its `run` when the cloud announces that it takes
// this machine back; the other machine's next report is still to come.
#include <algorithm>
#include <cstdio>

#include "deployment.hpp"

namespace dunlinknot::review {
namespace {

constexpr auto kMaxWait = seconds(90);  // of a job, once the trouble is over
constexpr Seconds kNotice{8};           // nominally 12 s, half of that at least
constexpr auto kFetch = Millis(13'300);  // 2 GB at 0.15 GB a second

Setup setup() {
  Setup s;
  s.zones = {"burnaby"};
  s.limits = {200, 80, size_t{16} * 1024, 16};
  s.teams =
      "[[params.teams]]\nname = \"fitment\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\n"
      "gpus_max = 16.0\n[[params.teams]]\nname = \"platform\"\ncpus = 0.0\ncpus_max = 0.0\n"
      "gpus = 16.0\ngpus_max = 32.0\n";
  s.report_changes = true;
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

JobSpec gang_job() {
  JobSpec spec;
  spec.id = "run-200001";
  spec.job_class = "fitment-gang";
  spec.team = "fitment";
  spec.gang = true;
  spec.priority = Priority::high;
  spec.tasks = 2;
  spec.need = {20, 0, 51};
  spec.image = "img-01";
  spec.image_gb = 2;
  spec.one_zone = true;
  spec.spot = true;
  spec.estimate = Seconds(150);
  spec.checkpoint_interval = Seconds(30);
  spec.checkpoint_duration = Seconds(5);
  return spec;
}

// Keeps a third machine up, with 28 of its 32 CPUs free.
JobSpec service() {
  JobSpec spec;
  spec.id = "run-200002";
  spec.job_class = "catalogue-api";
  spec.team = "platform";
  spec.service = true;
  spec.priority = Priority::production;
  spec.tasks = 1;
  spec.need = {4, 0, 3.2};
  spec.image = "img-02";
  spec.image_gb = 1;
  return spec;
}

// The cloud announces that it takes the machine back, and does so when the notice is over.
Task<void> take_back(Deployment& site, std::string machine) {
  site.note("cloud: notice for " + machine + ", " + std::to_string(kNotice.count()) + " s");
  test::ScriptedWorker& worker = *site.workers().at(machine);
  const Instant end = site.loop().now() + to_nanos(kNotice);
  while (worker.powered_on && site.loop().now() < end) {
    worker.interruption_notice = to_seconds(end - site.loop().now());
    co_await site.loop().sleep(Millis(50));
  }
  if (!worker.powered_on) co_return;  // returned before
  test::ScriptedCloud::Machine& listed = site.cloud().machines.at(machine);
  listed.removed = true;
  listed.removed_at = site.loop().now();
  worker.power_off();
  site.note("cloud: took " + machine + " back");
}

Task<int> drive(Deployment& site) {
  site.cloud().capacity["yardbox/burnaby/spot"] = 4;
  site.cloud().capacity["yardbox/burnaby/ordinary"] = 4;
  const JobSpec gang = gang_job();
  const JobSpec api = service();
  size_t machines = 0;
  // The second machine is up 0.8 s after the first one: their reports alternate.
  site.boot_time = [&](const std::string&) {
    return Nanos(++machines == 2 ? Millis(2800) : Millis(2000));
  };
  // The gang's tasks have their image at the same time.
  Instant image_at{};
  site.fetch_time = [&](const TaskRef& task) {
    if (task.job != gang.id) return Nanos(seconds(1));
    const Instant now = site.loop().now();
    if (image_at < now) image_at = now + kFetch;
    return image_at - now;
  };
  site.run_time = [&](const TaskRef&) { return Nanos(seconds(3600)); };
  std::set<TaskRef> started;
  site.on_start = [&](const std::string&, const TaskRef& task) { started.insert(task); };
  if (!co_await site.wait_ready(seconds(8))) co_return kCouldNotRun;
  const auto user = site.user(*site.controllers()[0]);
  http::Reply reply = co_await user->call("POST", "/v1/jobs", site.describe(gang), seconds(5));
  site.note("user: submitted gang " + gang.id + ": " + std::to_string(reply.status));
  if (reply.status != 201) co_return kCouldNotRun;

  // The machines that have a task of the gang.
  const auto with_gang = [&] {
    std::vector<std::string> found;
    for (const auto& [id, worker] : site.workers()) {
      for (const auto& [key, task] : worker->tasks) {
        if (key.first.job == gang.id && task.state != TaskState::exited) found.push_back(id);
      }
    }
    return found;
  };
  while (with_gang().empty()) {
    co_await site.loop().sleep(Millis(20));
    if (site.elapsed() > 18) co_return kCouldNotRun;
  }
  const std::vector<std::string> first = with_gang();
  for (const std::string& id : first) site.note("worker " + id + ": has got a task of the gang");
  if (site.trouble()) {
    if (first.size() != 1) {
      site.note("both machines got their tasks at once");
      co_return kCouldNotRun;
    }
    site.loop().spawn(take_back(site, first.front()));
  }
  reply = co_await user->call("POST", "/v1/jobs", site.describe(api), seconds(5));
  site.note("user: submitted service " + api.id + ": " + std::to_string(reply.status));
  if (reply.status != 201) co_return kCouldNotRun;

  co_await site.loop().sleep(to_nanos(kNotice) + seconds(1));
  const auto gang_started = [&] {
    return static_cast<size_t>(std::count_if(started.begin(), started.end(), [&](const TaskRef& t) {
             return t.job == gang.id;
           })) == gang.tasks;
  };
  // The machines with room for a task of the gang, as the workers know it.
  const auto roomy = [&] {
    size_t found = 0;
    for (const auto& [id, worker] : site.workers()) {
      double used = 0;
      for (const auto& [key, task] : worker->tasks)
        used += task.state == TaskState::exited ? 0 : key.first.job == gang.id ? 20 : 4;
      found += worker->powered_on && !worker->interruption_notice && used + 20 <= 32 ? 1 : 0;
    }
    return found;
  };
  Instant since = site.loop().now();  // since when two machines have had room
  while (!gang_started() && site.loop().now() - since < kMaxWait && site.elapsed() < 116) {
    co_await site.loop().sleep(seconds(1));
    if (!gang_started() && roomy() < gang.tasks) since = site.loop().now();
    if (static_cast<int>(site.elapsed()) % 5 != 0) continue;
    reply = co_await user->call("GET", "/v1/jobs/" + gang.id, "", seconds(2));
    site.note("user: " + gang.id + " is " + standing_of(reply) +
              "; machines with room for a task of it: " + std::to_string(roomy()));
  }
  if (gang_started()) co_return kHeld;
  co_return site.loop().now() - since >= kMaxWait ? kBroken : kCouldNotRun;
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
