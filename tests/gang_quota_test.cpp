// Tests of the team limit that is reserved for a waiting gang: only while the gang can start by
// jobs ending, and only as much as it needs.
#include "scheduler_fixture.hpp"

namespace dunlinknot::scheduler {
namespace {

// The team `blue` may use 64 cpus; a box has 8.
struct GangQuotaTest : SchedulerTest {
  GangQuotaTest() {
    for (int i = 1; i <= 10; ++i) machine(machine_id(i));
  }
  static std::string machine_id(int number) { return "vm-" + std::to_string(100 + number); }
  // Machines count only with recent heartbeats.
  void advance(Nanos duration) {
    now += duration;
    for (int i = 1; i <= 10; ++i) machine(machine_id(i));
  }
  JobSpec spec_of(const std::string& id, uint32_t tasks, double cpus) {
    JobSpec spec = job(id, tasks);
    spec.team = "blue";
    spec.need = {cpus, 0, 1};
    return spec;
  }
  JobSpec gang_of(const std::string& id, uint32_t tasks, double cpus) {
    JobSpec spec = spec_of(id, tasks, cpus);
    spec.gang = true;
    spec.priority = Priority::high;
    return spec;
  }
  JobSpec service_of(const std::string& id, uint32_t tasks, double cpus) {
    JobSpec spec = spec_of(id, tasks, cpus);
    spec.service = true;
    spec.estimate = Seconds(0);
    spec.priority = Priority::production;
    return spec;
  }
  // Runs all tasks of a new job, one on each machine from `first_machine` on.
  Job& add_running(const JobSpec& spec, int first_machine) {
    Job& open_job = add(spec);
    const uint64_t attempt = cluster.next_attempt();
    for (uint32_t i = 0; i < spec.tasks; ++i) {
      run(open_job, *cluster.find_machine(machine_id(first_machine + static_cast<int>(i))),
          spec.gang ? attempt : 0);
    }
    return open_job;
  }
  std::set<std::string> placed_jobs() {
    const Plan result_plan = plan();
    std::set<std::string> jobs;
    for (const auto& placement : result_plan.placements) jobs.insert(placement.job);
    for (const auto& gang : result_plan.gangs) jobs.insert(gang.job);
    return jobs;
  }
};

TEST_F(GangQuotaTest, GangBehindServiceReservesNoQuota) {
  // Guards against a gang that cannot start beside a service of its team and keeps all other jobs
  // of the team from starting for as long as the service runs (review/7).
  add_running(service_of("run-000001", 2, 3), 1);
  add(gang_of("run-000002", 8, 7.5));  // 60 cpus, beside 6 of the service
  add(spec_of("run-000003", 1, 4));
  EXPECT_EQ(placed_jobs(), std::set<std::string>{"run-000003"});
}

TEST_F(GangQuotaTest, OverdueGangBehindServiceReservesNoRoom) {
  refuse_all_offers();
  add_running(service_of("run-000001", 2, 3), 1);
  add(gang_of("run-000002", 8, 7.5));
  JobSpec other = spec_of("run-000003", 8, 8);  // needs machines that the gang would reserve
  other.team = "red";
  add(other);
  wall += seconds(200);
  EXPECT_EQ(placed_jobs(), std::set<std::string>{"run-000003"});
  EXPECT_TRUE(plan().reserved_room.empty());
}

TEST_F(GangQuotaTest, GangReservesQuotaThatJobsWillFree) {
  add_running(spec_of("run-000001", 2, 3), 1);
  add(gang_of("run-000002", 8, 7.5));
  add(spec_of("run-000003", 1, 4));
  EXPECT_TRUE(placed_jobs().empty()) << "the gang starts when the first tasks have ended";
}

TEST_F(GangQuotaTest, JobsUseQuotaThatGangDoesNotNeed) {
  add_running(gang_of("run-000001", 8, 7.5), 1);
  add(gang_of("run-000002", 8, 7.5));  // waits for the first gang to end as a whole
  add(spec_of("run-000003", 2, 3));    // 4 of the 64 cpus remain beside either gang
  const Plan result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 1u);
  EXPECT_EQ(result_plan.placements[0].count, 1u);
  ASSERT_TRUE(result_plan.quota_allowances.at(1));
  EXPECT_NEAR(result_plan.quota_allowances.at(1)->cpus, 1, 1e-6) << "for queued tasks";
}

TEST_F(GangQuotaTest, GangForWhichThereAreTooFewMachinesReservesNoQuota) {
  refuse_all_offers();
  add_running(spec_of("run-000001", 1, 7), 1);
  JobSpec gang = gang_of("run-000002", 15, 4);  // 60 cpus in a zone without machines
  gang.zone = "b";
  add(gang);
  add(spec_of("run-000003", 1, 4));
  EXPECT_EQ(placed_jobs(), std::set<std::string>{"run-000003"});
}

TEST_F(GangQuotaTest, OnlyFirstWaitingGangOfTeamReservesQuota) {
  add_running(spec_of("run-000001", 1, 8), 1);
  add(gang_of("run-000002", 8, 7.5));
  add(gang_of("run-000003", 8, 7));
  add(gang_of("run-000004", 1, 4));  // fits beside the first gang
  EXPECT_EQ(placed_jobs(), std::set<std::string>{"run-000004"});
}

TEST(GangQuotaScenario, JobBehindGangBehindServiceIsDone) {
  // The events of review/7 at a smaller size: the cloud is down when the gang arrives, so that the
  // service takes a part of the limit first.
  test::Site site{3};
  site.cloud.capacity = {{"box/a/ordinary", 8}};
  site.on_worker = [](test::ScriptedWorker& worker) {
    worker.run_time = [](const TaskRef& task) {
      return Nanos(task.job == "run-000002" ? seconds(100'000) : seconds(5));
    };
  };
  site.run_for(seconds(5));
  site.cloud.unavailable = true;
  JobSpec gang = job("run-000001", 8);
  gang.gang = true;
  gang.one_zone = true;
  gang.need.cpus = 7;  // 56 of the team's 64 cpus
  site.submit(gang);
  site.run_for(seconds(9));
  JobSpec service = job("run-000002", 4);
  service.service = true;
  service.estimate = Seconds(0);
  service.need.cpus = 3;
  service.priority = Priority::production;
  site.submit(service);
  site.run_for(seconds(2));
  site.cloud.unavailable = false;
  site.run_for(seconds(4));
  site.submit(job("run-000003"));
  site.run_for(seconds(90));
  EXPECT_EQ(site.copies({"run-000002", 0}), 1u) << "the service does not run";
  EXPECT_EQ(site.job_state("run-000003"), "done");
  test::expect_no_violations(site);
}

}  // namespace
}  // namespace dunlinknot::scheduler
