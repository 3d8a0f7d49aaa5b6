// Drives one controller with scripted peers at a given cluster size, to attribute its CPU time
// under callgrind (see cost_table.sh). Time is simulated and seeds are fixed, so two runs of one
// binary execute the same instructions. Every request passes through the HTTP parser and
// serializer, as on a socket; system calls are not included.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "dunlinknot/http/message.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

// Job rates and team limits are given for a cluster of this size and scale with the machine count.
constexpr double kReferenceMachines = 600;

struct Load {
  uint32_t machines = 600;
  uint32_t seconds = 60;
  uint32_t array_tasks = 110;    // tasks per submitted array
  double task_cpus = 3;          // CPUs per task
  double jobs_per_second = 0.6;  // arrays and gangs, per kReferenceMachines
  double jobs_at_start = 75;     // arrays and gangs, per kReferenceMachines
  double polls_per_second = 18;  // status requests, spread over all submitted jobs
  double task_seconds = 100;     // mean run time
  uint32_t failovers = 1;        // restarts of the controller, evenly spaced over the run
};

struct Counts {
  uint64_t heartbeats = 0;
  uint64_t heartbeat_bytes = 0;
  uint64_t submissions = 0;
  uint64_t polls = 0;
  uint64_t ready_probes = 0;
};

// Serializes and parses a request, as the server of a controller would receive it on a connection.
http::Request serialize_and_parse(const http::Request& request) {
  http::Parser parser(http::Parser::Kind::request, http::Limits{});
  const std::string bytes =
      http::render_request(request.method, request.target, "127.0.0.1:1000", request.body);
  if (parser.feed(bytes) != http::Parser::Result::complete) {
    throw std::runtime_error("the parser did not accept a serialized request");
  }
  return parser.take();
}

class Driver {
 public:
  explicit Driver(const Load& load) : load_(load) {
    site_.adjust_platform = [this](settings::Platform& platform) {
      const double cpus = 2000 * scale();
      const double gpus = 400 * scale();
      platform.teams = {
          {"red", cpus, 0, gpus, 0}, {"blue", cpus, 0, gpus, 0}, {"tiny", 0, 4, 0, 0}};
      platform.heartbeat_interval = Seconds(2.5);
      platform.store_limits.rps = 200;
      platform.store_limits.write_rps = 80;
      platform.store_limits.value_bytes = size_t{16} * 1024;
      site_.store.limits = platform.store_limits;
      platform.max_connections = 1800;
    };
    site_.cloud.types = catalog();
    site_.cloud.capacity["cpu/a/ordinary"] = load.machines / 2;
    site_.cloud.capacity["cpu/b/ordinary"] = load.machines / 4;
    site_.cloud.capacity["gpu/a/ordinary"] = load.machines / 4;
    site_.operator_settings.max_machines = load.machines;
    site_.on_worker = [this](ScriptedWorker& worker) {
      worker.run_time = [this](const TaskRef& task) {
        const double factor = 0.5 + static_cast<double>(task.index * 37 % 100) / 100;
        return to_nanos(Seconds(load_.task_seconds * factor));
      };
    };
    site_.on_request = [this](const http::Request& request) {
      if (request.target == "/agent/beat") {
        ++counts_.heartbeats;
        counts_.heartbeat_bytes += request.body.size();
      }
      return serialize_and_parse(request);
    };
    site_.on_response = [](const http::Response& response) {
      if (http::render_response(response, true).empty()) std::abort();
    };
    site_.restart(0);
  }

  void run() {
    site_.run_for(seconds(3));
    const Instant start = site_.clock.now();
    const Instant end = start + seconds(load_.seconds);
    uint32_t restarts = 0;
    double jobs_due = load_.jobs_at_start * scale();
    double polls_due = 0;
    while (site_.clock.now() < end) {
      const auto jobs = static_cast<uint32_t>(jobs_due);
      for (uint32_t i = 0; i < jobs; ++i) site_.loop.spawn(submit_next());
      jobs_due -= jobs;
      const auto polls = static_cast<uint32_t>(polls_due);
      for (uint32_t i = 0; i < polls; ++i) site_.loop.spawn(poll_next());
      polls_due -= polls;
      site_.loop.spawn(probe_ready());
      site_.run_for(seconds(1));
      jobs_due += load_.jobs_per_second * scale();
      polls_due += load_.polls_per_second;
      const auto elapsed = site_.clock.now() - start;
      if (restarts < load_.failovers &&
          elapsed >= seconds(load_.seconds) * (restarts + 1) / (load_.failovers + 1)) {
        site_.restart(0);
        ++restarts;
      }
    }
  }

  void print() const {
    std::cout << "machines " << site_.workers.size() << ", tasks started " << site_.starts
              << ", heartbeats " << counts_.heartbeats << " (" << counts_.heartbeat_bytes
              << " bytes), submissions " << counts_.submissions << ", polls " << counts_.polls
              << ", probes " << counts_.ready_probes << ", key-value store requests "
              << site_.store.requests << "\n";
  }

 private:
  double scale() const { return load_.machines / kReferenceMachines; }

  static std::vector<MachineType> catalog() {
    MachineType cpu;
    cpu.name = "cpu";
    cpu.size = {32, 0, 128};
    cpu.cache_gb = 60;
    cpu.fetch_gb_per_s = 1;
    cpu.price = 1;
    cpu.spot_price = 0.4;
    cpu.boot = Seconds(5);
    cpu.zones = {"a", "b"};
    MachineType gpu = cpu;
    gpu.name = "gpu";
    gpu.size = {64, 8, 512};
    gpu.price = 8;
    gpu.spot_price = 3;
    return {cpu, gpu};
  }

  JobSpec next_job() {
    JobSpec spec = job("run-" + std::to_string(100'000 + counts_.submissions), load_.array_tasks);
    spec.team = counts_.submissions % 2 == 0 ? "red" : "blue";
    spec.estimate = Seconds(load_.task_seconds);
    spec.need = {load_.task_cpus, 0, 4};
    switch (counts_.submissions % 5) {
      case 0:
        spec.gang = true;
        spec.one_zone = true;
        spec.tasks = 8;
        spec.need.cpus = 16;
        spec.priority = Priority::high;
        break;
      case 1:
        spec.tasks = 16;
        spec.need = {4, 1, 32};
        break;
      default:
        break;
    }
    return spec;
  }

  Task<void> submit_next() {
    const JobSpec spec = next_job();
    ++counts_.submissions;
    site_.specs[spec.id] = spec;
    wire::Writer body;
    wire::write_job(body, spec);
    http::Request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = body.take();
    (void)co_await site_.handle(0, std::move(request));
  }

  Task<void> poll_next() {
    if (counts_.submissions == 0) co_return;
    const uint64_t index = ++counts_.polls * 7919 % counts_.submissions;
    http::Request request;
    request.method = "GET";
    request.target = "/v1/jobs/run-" + std::to_string(100'000 + index);
    (void)co_await site_.handle(0, std::move(request));
  }

  Task<void> probe_ready() {
    ++counts_.ready_probes;
    http::Request request;
    request.method = "GET";
    request.target = "/ready";
    (void)co_await site_.handle(0, std::move(request));
  }

  Load load_;
  Counts counts_;
  Site site_;
};

}  // namespace
}  // namespace dunlinknot::test

int main(int argc, char** argv) {
  try {
    dunlinknot::test::Load load;
    CLI::App app{"Drives one controller at a given cluster size, for callgrind"};
    app.add_option("--machines", load.machines, "Number of machines");
    app.add_option("--seconds", load.seconds, "Simulated seconds");
    app.add_option("--jobs-per-second", load.jobs_per_second, "Jobs submitted, per 600 machines");
    app.add_option("--take-overs", load.failovers, "Restarts of the controller");
    app.add_option("--polls-per-second", load.polls_per_second, "Status requests of users");
    CLI11_PARSE(app, argc, argv);
    dunlinknot::test::Driver driver(load);
    driver.run();
    driver.print();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cost_driver: %s\n", error.what());
    return 1;
  }
}
