// Tests that room kept for jobs that are only expected does not hold back other jobs for ever, and
// that machines are launched only for jobs that are then placed on them.
#include "dunlinknot/scheduler/cycle_state.hpp"
#include "scheduler_fixture.hpp"

namespace dunlinknot::scheduler {
namespace {

struct HeldBackTest : SchedulerTest {
  // A job that needs 3 cpus for each accelerator; a rig has 8 cpus and 2 accelerators. It is over.
  void submit_and_close_gpu_job() {
    JobSpec gpu = job("run-000009", 1);
    gpu.need = {3, 1, 4};
    add(gpu);
    cluster.close_job("run-000009", false, now);
  }
  static JobSpec plain_job(double cpus) {
    JobSpec spec = job("run-000001", 1);
    spec.need = {cpus, 0, 4};
    return spec;
  }
  void offer(const std::string& type) { cloud_capacity.refused_offers.erase({type, "a", false}); }
};

TEST_F(HeldBackTest, JobThatFitsNowhereBesideReserveForAcceleratorsIsPlaced) {
  // Guards against a job that is never placed because every machine that it may use keeps room for
  // accelerator tasks, while machines are launched for it again and again (review/6).
  submit_and_close_gpu_job();
  JobSpec spec = plain_job(4);
  spec.types = {"rig"};
  add(spec);
  offer("rig");
  EXPECT_EQ(plan().capacity_requests.size(), 1u);
  machine("vm-1", "a", "rig");
  EXPECT_EQ(plan().placements.size(), 1u) << "on the machine that was launched for it";
}

TEST_F(HeldBackTest, ReserveForAcceleratorsEndsWhenNoTaskForThemIsExpected) {
  submit_and_close_gpu_job();
  add(plain_job(4));
  machine("vm-1", "a", "rig");
  EXPECT_TRUE(plan().placements.empty());
  wall += std::chrono::minutes(5);
  EXPECT_EQ(plan().placements.size(), 1u);
}

TEST_F(HeldBackTest, ReserveForAcceleratorsCountsOnlyUsableAccelerators) {
  JobSpec gpu = job("run-000009", 1);
  gpu.need = {5, 1, 4};  // only one of the rig's two accelerators can be used at a time
  add(gpu);
  Machine& rig = machine("vm-1", "a", "rig");
  run(*cluster.job("run-000009"), rig);
  add(plain_job(2));
  EXPECT_EQ(plan().placements.size(), 1u);
}

TEST_F(HeldBackTest, NoMachineIsLaunchedOnWhichTheJobWouldNotBePlaced) {
  submit_and_close_gpu_job();
  add(plain_job(4));
  offer("rig");
  EXPECT_TRUE(plan().capacity_requests.empty()) << "a box, which has room, is only refused";
  now += to_nanos(kMaxHeldBack);
  EXPECT_EQ(plan().capacity_requests.size(), 1u);
  machine("vm-1", "a", "rig");
  EXPECT_EQ(plan().placements.size(), 1u);
}

TEST_F(HeldBackTest, LaunchesAsManyMachinesAsTheReserveLeavesRoomFor) {
  submit_and_close_gpu_job();
  JobSpec spec = plain_job(1);  // a rig has room for two beside the reserve
  spec.tasks = 4;
  spec.deadline = Seconds(6);
  add(spec);
  offer("rig");
  const Plan result_plan = plan();
  ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
  EXPECT_EQ(result_plan.capacity_requests[0].count, 2u);
}

TEST_F(HeldBackTest, HeldBackArrayBeginsInRoomReservedForAccelerators) {
  submit_and_close_gpu_job();
  JobSpec spec = plain_job(3);
  spec.tasks = 40;
  Job& array = add(spec);
  Machine& rig = machine("vm-1", "a", "rig");
  machine("vm-2", "a", "rig");
  now += to_nanos(kMaxHeldBack) - Millis(1);
  EXPECT_TRUE(plan().placements.empty());
  now += Millis(1);
  machine("vm-1", "a", "rig");
  machine("vm-2", "a", "rig");
  const Plan result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 2u);
  EXPECT_EQ(result_plan.placements[0].count + result_plan.placements[1].count, 3u)
      << "a sixteenth of the tasks, and one more";
  run(array, rig);
  EXPECT_TRUE(plan().placements.empty()) << "the reserve stands for the other tasks";
}

TEST_F(HeldBackTest, WaitingForTheTeamLimitIsNotBeingHeldBack) {
  submit_and_close_gpu_job();
  JobSpec limited = plain_job(4);
  limited.team = "tiny";  // at most 4 cpus
  Job& running = add(limited);
  run(running, machine("vm-2"));
  limited.id = "run-000002";
  add(limited);
  machine("vm-1", "a", "rig");
  now += to_nanos(kMaxHeldBack);
  machine("vm-1", "a", "rig");
  EXPECT_EQ(plan().jobs_at_limit, std::vector<std::string>{"run-000002"});
}

TEST_F(HeldBackTest, HeldBackJobUsesHeadroomButNotRoomReservedForGang) {
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  JobSpec quick = job("run-000008", 4);
  quick.job_class = "quick";
  add(quick);
  cluster.close_job("run-000008", false, now);  // more jobs of the class are expected
  machine("vm-1");
  add(plain_job(4));
  EXPECT_TRUE(plan().placements.empty()) << "the machine is headroom for the class";
  now += to_nanos(kMaxHeldBack);
  Machine& machine_1 = machine("vm-1");
  EXPECT_EQ(plan().placements.size(), 1u);
  JobSpec small = job("run-000002", 1);
  run(add(small), machine_1);
  JobSpec gang = job("run-000003", 1);
  gang.gang = true;
  gang.job_class = "quick";
  gang.priority = Priority::high;
  gang.need.cpus = 8;
  add(gang);
  EXPECT_TRUE(plan().placements.empty()) << "the gang starts when the task on the machine ends";
}

TEST_F(HeldBackTest, TaskIsNotQueuedBehindReplicasThatDoNotEnd) {
  platform.store_limits.write_rps = 0.2;  // far too few for one write per task
  Machine& machine_1 = machine("vm-1");
  JobSpec service = job("run-000002", 1);
  service.service = true;
  service.estimate = Seconds(0);
  service.need.cpus = 8;
  run(add(service), machine_1);
  add(plain_job(4));
  EXPECT_TRUE(plan().queued.empty());
}

TEST(HeldBackScenario, JobWithoutAcceleratorsIsDoneAfterOutageOfTheCloud) {
  // The events of review/6: the cloud is down while a job without accelerators arrives, and a job
  // with one follows. No machine is launched and returned unused.
  test::Site site{3};
  MachineType rig = site.cloud.types[0];
  rig.name = "rig";
  rig.size = {8, 2, 32};
  site.cloud.types = {rig};
  site.cloud.capacity = {{"rig/a/ordinary", 3}};
  site.run_for(seconds(5));
  site.cloud.unavailable = true;
  JobSpec plain = job("run-000001");
  plain.types = {"rig"};
  plain.need = {4, 0, 4};
  site.submit(plain);
  site.run_for(seconds(9));
  JobSpec gpu = job("run-000002");
  gpu.need = {3, 1, 4};
  site.submit(gpu);
  site.run_for(seconds(2));
  site.cloud.unavailable = false;
  site.run_for(seconds(90));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.job_state("run-000002"), "done");
  EXPECT_LE(site.cloud.launches, 2u);
  test::expect_no_violations(site);
}

}  // namespace
}  // namespace dunlinknot::scheduler
