// Tests of `Cluster`: when allocations are created and ended, and which commands workers are sent.
#include "dunlinknot/cluster/cluster.hpp"

#include <gtest/gtest.h>

#include "dunlinknot/leadership/elector.hpp"
#include "site.hpp"

namespace dunlinknot::cluster {
namespace {

using std::chrono::seconds;
using test::job;

struct ClusterTest : testing::Test {
  ClusterTest() {
    MachineType box;
    box.name = "box";
    box.size = {8, 0, 32};
    box.cache_gb = 50;
    box.zones = {"a", "b"};
    cluster_state.begin_term(5, now);
    cluster_state.set_catalog({box});
  }

  Job& add(JobSpec spec) {
    const std::string id = spec.id;
    cluster_state.load_job({std::move(spec), WallTime(Millis(1))}, 10, now);
    return *cluster_state.job(id);
  }
  Heartbeat heartbeat(const std::string& machine_id = "vm-1") {
    Heartbeat heartbeat;
    heartbeat.machine = machine_id;
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = "box";
    heartbeat.zone = "a";
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = ++sequence;
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
  }
  std::vector<Command> send(const Heartbeat& heartbeat, bool may_start = true) {
    effects = Effects{};
    return cluster_state.handle_heartbeat(heartbeat, now, may_start, effects).commands;
  }
  TaskStatus on(const Allocation& allocation, TaskState state = TaskState::running,
                ExitCause cause = ExitCause::none) {
    return {allocation.task, allocation.attempt, state, cause, false};
  }
  // Allocates one task of the job on the machine and makes the allocation durable.
  Allocation& durable(Job& job, const std::string& machine_id = "vm-1") {
    Machine& machine = *cluster_state.find_machine(machine_id);
    cluster_state.allocate(machine, job, *job.pop_pending(), cluster_state.next_attempt(), now);
    Effects ignored;
    cluster_state.machine_stored(machine, cluster_state.record_of(machine), ++mod_revision,
                                 ignored);
    return machine.allocations.back();
  }
  size_t allocated(const std::string& machine_id = "vm-1") {
    return cluster_state.find_machine(machine_id)->allocations.size();
  }

  settings::Platform platform = test::Site::platform(0, 1);
  settings::Operator op;
  Cluster cluster_state{platform, op};
  Instant now{seconds(100)};
  uint64_t incarnation = 1, sequence = 0, fencing_token = 5, mod_revision = 20;
  Effects effects;
};

TEST_F(ClusterTest, RunIsSentOnlyAfterAllocationIsDurable) {
  Job& open_job = add(job("run-000001", 2));
  send(heartbeat());
  Machine& machine = *cluster_state.find_machine("vm-1");
  cluster_state.allocate(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                         now);
  EXPECT_TRUE(send(heartbeat()).empty());
  Effects ignored;
  cluster_state.machine_stored(machine, cluster_state.record_of(machine), 21, ignored);
  EXPECT_TRUE(send(heartbeat(), false).empty()) << "no task starts without the key-value store";
  const auto commands = send(heartbeat());
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, Command::Op::start);
}

TEST_F(ClusterTest, ResponseIsDelayedOnlyIfRunIsLikelyAndIsStaleAfterNewerHeartbeat) {
  // A `run` is sent only in responses to heartbeats. On a large cluster the next heartbeat is
  // seconds away, so a response sent too early delays the start of the task.
  Job& open_job = add(job("run-000001", 8));
  Heartbeat first = heartbeat();
  first.fencing_token = 4;
  EXPECT_FALSE(cluster_state.apply_heartbeat(first, now, true, effects).run_likely)
      << "the heartbeat does not have our fencing token";
  EXPECT_FALSE(cluster_state.apply_heartbeat(heartbeat(), now, true, effects).run_likely)
      << "there are no pending tasks";
  cluster_state.set_has_pending_work(true);
  EXPECT_FALSE(cluster_state.apply_heartbeat(heartbeat(), now, true, effects).run_likely)
      << "nothing changed on the machine";
  Machine& machine = *cluster_state.find_machine("vm-1");
  cluster_state.allocate(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                         now);
  const Heartbeat waiting = heartbeat();
  EXPECT_TRUE(cluster_state.apply_heartbeat(waiting, now, true, effects).run_likely)
      << "an allocation on the machine is being written";
  Effects ignored;
  cluster_state.machine_stored(machine, cluster_state.record_of(machine), 21, ignored);
  EXPECT_TRUE(ignored.runs);
  EXPECT_EQ(cluster_state.drain_runnable(), std::vector<std::string>{"vm-1"});
  const Heartbeat newer = heartbeat();  // the worker timed out waiting for the response
  EXPECT_FALSE(cluster_state.apply_heartbeat(newer, now, true, effects).run_likely)
      << "the run is sent immediately";
  EXPECT_EQ(cluster_state.commands_for(waiting, now, true).kind, HeartbeatResponse::Kind::stale);
  EXPECT_TRUE(cluster_state.commands_for(newer, now, false).commands.empty())
      << "the key-value store became unavailable meanwhile";
  ASSERT_EQ(cluster_state.commands_for(newer, now, true).commands.size(), 1u);
  cluster_state.remove_machine("vm-1", now);
  EXPECT_EQ(cluster_state.commands_for(newer, now, true).kind, HeartbeatResponse::Kind::stale)
      << "the machine was removed meanwhile";
}

TEST_F(ClusterTest, RunIsResentAfterLostResponse) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  durable(open_job);
  ASSERT_EQ(send(heartbeat()).size(), 1u);
  // The newer heartbeat does not list the task, so the response was lost.
  const auto again = send(heartbeat());
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].op, Command::Op::start);
  EXPECT_EQ(allocated(), 1u);
}

TEST_F(ClusterTest, OutdatedHeartbeatIsIgnored) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  const Heartbeat late = heartbeat();
  const Allocation& allocation = durable(open_job);
  Heartbeat empty = heartbeat();
  send(empty);
  Heartbeat running = heartbeat();
  running.tasks = {on(allocation)};
  send(running);
  EXPECT_TRUE(send(late).empty());
  EXPECT_EQ(allocated(), 1u);
  Heartbeat old_incarnation = late;
  old_incarnation.incarnation = 0;
  old_incarnation.sequence = 1000;
  EXPECT_TRUE(send(old_incarnation).empty());
  EXPECT_EQ(allocated(), 1u);
}

TEST_F(ClusterTest, UnlistedTaskEndsAllocationOnlyWithCurrentFencingToken) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  const Allocation& allocation = durable(open_job);
  send(heartbeat());
  Heartbeat running = heartbeat();
  running.tasks = {on(allocation)};
  send(running);
  fencing_token = 4;  // the token of a former leader: the worker may still execute its commands
  send(heartbeat());
  EXPECT_EQ(allocated(), 1u);
  fencing_token = 5;
  send(heartbeat());
  EXPECT_EQ(allocated(), 0u);
  EXPECT_EQ(open_job.pending(), 1u);
}

TEST_F(ClusterTest, InheritedAllocationIsKeptUntilHeartbeatWithCurrentFencingToken) {
  Job& open_job = add(job("run-000001", 2));
  wire::MachineRecord record{
      "box", "a", "10.0.0.1:9000", false, {{"run-000001", "red", {2, 0, 4}, false, {{0, 3}}}}};
  cluster_state.load_machine("vm-1", record, 7, now);
  EXPECT_EQ(cluster_state.usage(0).used.cpus, 2);
  EXPECT_EQ(open_job.pending(), 1u)
      << "task 0 may be running on the machine and must not start elsewhere";
  fencing_token = 4;
  send(heartbeat());
  EXPECT_EQ(allocated(), 1u) << "the former leader's `run` may still arrive";
  fencing_token = 5;
  send(heartbeat());
  EXPECT_EQ(allocated(), 0u);
  EXPECT_EQ(open_job.pending(), 2u);
}

TEST_F(ClusterTest, LeaseExpiryIsCountedFromLastResponse) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  durable(open_job);
  send(heartbeat());
  const Instant answered = now;
  now = answered + seconds(14);
  cluster_state.expire_leases(now);
  EXPECT_EQ(allocated(), 1u) << "the bound allows for clock drift";
  now = answered + leadership::worker_lease_bound(platform);
  cluster_state.expire_leases(now);
  EXPECT_EQ(allocated(), 0u);
  EXPECT_TRUE(cluster_state.find_machine("vm-1")->lost);
  // A delayed heartbeat of the old incarnation is rejected.
  EXPECT_EQ(cluster_state.handle_heartbeat(heartbeat(), now, true, effects).kind,
            HeartbeatResponse::Kind::stale);
  incarnation = 2;
  sequence = 0;
  EXPECT_EQ(cluster_state.handle_heartbeat(heartbeat(), now, true, effects).kind,
            HeartbeatResponse::Kind::accept);
}

TEST_F(ClusterTest, NewLeaderExpiresLeasesOnlyAfterFormerRenewalWindow) {
  add(job("run-000001"));
  wire::MachineRecord record{
      "box", "a", "10.0.0.1:9000", false, {{"run-000001", "red", {2, 0, 4}, false, {{0, 3}}}}};
  cluster_state.load_machine("vm-1", record, 7, now);
  const Nanos wait =
      leadership::renewal_window(platform) + leadership::worker_lease_bound(platform);
  cluster_state.expire_leases(now + wait - Millis(1));
  EXPECT_EQ(allocated(), 1u);
  cluster_state.expire_leases(now + wait + seconds(1));
  EXPECT_EQ(allocated(), 0u);
  // The renewal window, the lease and a margin together must be shorter than the time limit of a
  // cancellation.
  EXPECT_LT(wait + seconds(1), to_nanos(platform.cancel_timeout));
}

TEST_F(ClusterTest, RemovedMachineLosesAllocationsAndLateHeartbeatsAreRejected) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  durable(open_job);
  cluster_state.remove_machine("vm-1", now);
  EXPECT_EQ(open_job.pending(), 1u);
  EXPECT_EQ(cluster_state.usage(0).used.cpus, 0);
  EXPECT_EQ(cluster_state.handle_heartbeat(heartbeat(), now, true, effects).kind,
            HeartbeatResponse::Kind::stale);
  EXPECT_EQ(cluster_state.find_machine("vm-1"), nullptr);
  EXPECT_EQ(cluster_state.drain_obsolete_records().size(), 1u);
}

TEST_F(ClusterTest, NewIncarnationEndsAllocationsSentToPreviousOne) {
  Job& open_job = add(job("run-000001", 2));
  send(heartbeat());
  durable(open_job);
  send(heartbeat());
  incarnation = 2;
  sequence = 0;
  EXPECT_TRUE(send(heartbeat()).empty());
  EXPECT_EQ(allocated(), 0u);
  EXPECT_EQ(open_job.pending(), 2u);
}

TEST_F(ClusterTest, ForgetIsSentOnlyAfterCompletionIsDurable) {
  Job& open_job = add(job("run-000001", 2));
  send(heartbeat());
  const Allocation allocation = durable(open_job);
  send(heartbeat());
  Heartbeat ended = heartbeat();
  ended.tasks = {on(allocation, TaskState::exited, ExitCause::done)};
  EXPECT_TRUE(send(ended).empty());
  EXPECT_TRUE(effects.store_progress);
  EXPECT_EQ(open_job.done_count(), 1u);
  open_job.chunk_stored(0, open_job.done_bits(), 30);
  ended.sequence = ++sequence;
  const auto commands = send(ended);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, Command::Op::forget);
}

TEST_F(ClusterTest, CancelledJobIsStoppedAndStaysAllocatedUntilTasksEnd) {
  Job& open_job = add(job("run-000001", 3));
  send(heartbeat());
  const Allocation running = durable(open_job);
  send(heartbeat());
  Heartbeat status = heartbeat();
  status.tasks = {on(running)};
  send(status);
  durable(open_job);  // its `run` is not sent
  cluster_state.close_job("run-000001", true, now);
  EXPECT_EQ(allocated(), 1u);
  EXPECT_EQ(cluster_state.usage(0).used.cpus, 2)
      << "the task counts towards its team's limit until it has ended";
  const auto calls = cluster_state.drain_stop_calls();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].commands[0].grace, Seconds(0));
  status.sequence = ++sequence;
  const auto commands = send(status);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, Command::Op::stop);
  send(heartbeat());
  EXPECT_EQ(allocated(), 0u);
  EXPECT_EQ(cluster_state.usage(0).used.cpus, 0);
}

TEST_F(ClusterTest, ReportedTaskOfClosedJobIsStopped) {
  Heartbeat status = heartbeat();
  status.tasks = {{{"run-000009", 0}, 3, TaskState::running, ExitCause::none, false}};
  const auto commands = send(status);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, Command::Op::stop);
  EXPECT_EQ(commands[0].grace, Seconds(0));
  EXPECT_EQ(allocated(), 1u);
}

TEST_F(ClusterTest, GangStartsOnceAllAllocationsAreDurableAndBreaksAsAWhole) {
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  Job& job = add(spec);
  send(heartbeat("vm-1"));
  send(heartbeat("vm-2"));
  const uint64_t attempt = cluster_state.next_attempt();
  Machine& first_machine = *cluster_state.find_machine("vm-1");
  Machine& second_machine = *cluster_state.find_machine("vm-2");
  cluster_state.allocate(first_machine, job, *job.pop_pending(), attempt, now);
  cluster_state.allocate(second_machine, job, *job.pop_pending(), attempt, now);
  Effects ignored;
  cluster_state.machine_stored(first_machine, cluster_state.record_of(first_machine), 21, ignored);
  EXPECT_TRUE(send(heartbeat("vm-1")).empty()) << "the other allocation is not durable yet";
  cluster_state.machine_stored(second_machine, cluster_state.record_of(second_machine), 22,
                               ignored);
  EXPECT_EQ(send(heartbeat("vm-1")).size(), 1u);
  EXPECT_EQ(send(heartbeat("vm-2")).size(), 1u);
  Heartbeat status = heartbeat("vm-1");
  status.tasks = {on(first_machine.allocations[0], TaskState::waiting)};
  send(status);
  // One machine is removed: the other tasks are stopped immediately, and no task is pending before
  // all of them have ended.
  cluster_state.remove_machine("vm-2", now);
  EXPECT_TRUE(job.any_live());
  const auto calls = cluster_state.drain_stop_calls();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].machine, "vm-1");
  send(heartbeat("vm-1"));
  EXPECT_FALSE(job.any_live());
  EXPECT_EQ(job.pending(), 2u);
}

TEST_F(ClusterTest, JobFailingOnEveryMachineBacksOffWithoutDrainingMachines) {
  Job& open_job = add(job("run-000001", 10));
  for (int i = 1; i <= 3; ++i) {
    const std::string machine_id = "vm-" + std::to_string(i);
    for (int k = 0; k < 3; ++k) {
      send(heartbeat(machine_id));
      const Allocation allocation = durable(open_job, machine_id);
      send(heartbeat(machine_id));
      Heartbeat ended = heartbeat(machine_id);
      ended.tasks = {on(allocation, TaskState::exited, ExitCause::error)};
      send(ended);
    }
    EXPECT_FALSE(cluster_state.find_machine(machine_id)->draining) << machine_id;
  }
  EXPECT_TRUE(open_job.failing);
  EXPECT_GT(open_job.not_before, now);
}

TEST_F(ClusterTest, MachineFailingTasksThatCompleteElsewhereIsDrained) {
  Job& open_job = add(job("run-000001", 10));
  send(heartbeat("vm-2"));
  const Allocation completed = durable(open_job, "vm-2");
  send(heartbeat("vm-2"));
  Heartbeat done = heartbeat("vm-2");
  done.tasks = {on(completed, TaskState::exited, ExitCause::done)};
  send(done);
  for (int k = 0; k < 3; ++k) {
    send(heartbeat());
    const Allocation allocation = durable(open_job);
    send(heartbeat());
    Heartbeat ended = heartbeat();
    ended.tasks = {on(allocation, TaskState::exited, ExitCause::error)};
    send(ended);
  }
  EXPECT_TRUE(cluster_state.find_machine("vm-1")->draining);
  EXPECT_FALSE(cluster_state.find_machine("vm-2")->draining);
}

TEST_F(ClusterTest, UnsentAllocationsOnUnusableMachineAreEnded) {
  // Guards against a job that never starts although machines are free (found in simulated days):
  // its allocation was durable but unsent when its machine was drained. The same can happen on
  // machines that are unreachable, are terminating or send no heartbeats.
  for (const int cause : {0, 1, 2, 3}) {
    const std::string machine_id = "vm-" + std::to_string(cause + 1);
    Job& open_job = add(job("run-00000" + std::to_string(cause + 1), 2));
    send(heartbeat(machine_id));
    durable(open_job, machine_id);
    Machine& machine = *cluster_state.find_machine(machine_id);
    cluster_state.allocate(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                           now);  // not durable
    if (cause == 0) machine.draining = true;
    if (cause == 1) machine.unreachable = true;
    if (cause == 2) machine.terminating = true;
    if (cause == 3) now += seconds(5);
    const Effects ignored = cluster_state.tick(now);
    EXPECT_TRUE(ignored.schedule);
    EXPECT_EQ(allocated(machine_id), 0u) << cause;
    EXPECT_EQ(open_job.pending(), 2u) << cause;
  }
}

TEST_F(ClusterTest, HigherFencingTokenSupersedesLeader) {
  fencing_token = 6;
  EXPECT_EQ(cluster_state.handle_heartbeat(heartbeat(), now, true, effects).kind,
            HeartbeatResponse::Kind::superseded);
}

TEST_F(ClusterTest, TaskWithCheckpointIsSavedBeforeInterruption) {
  JobSpec spec = job("run-000001");
  spec.checkpoint_interval = Seconds(10);
  spec.checkpoint_duration = Seconds(3);
  Job& job = add(spec);
  send(heartbeat());
  const Allocation allocation = durable(job);
  send(heartbeat());
  Heartbeat status = heartbeat();
  status.tasks = {on(allocation)};
  status.interruption_notice = Seconds(12);
  send(status);
  cluster_state.tick(now);
  EXPECT_TRUE(cluster_state.drain_stop_calls().empty())
      << "the task keeps running while there is time";
  now += seconds(6);
  cluster_state.tick(now);
  const auto calls = cluster_state.drain_stop_calls();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_GE(calls[0].commands[0].grace, spec.checkpoint_duration);
}

TEST_F(ClusterTest, GangOnInterruptedMachineSavesCheckpointAsAWhole) {
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  spec.checkpoint_interval = Seconds(10);
  spec.checkpoint_duration = Seconds(3);
  Job& job = add(spec);
  const uint64_t attempt = cluster_state.next_attempt();
  for (const char* machine_id : {"vm-1", "vm-2"}) {
    send(heartbeat(machine_id));
    Allocation& allocation = *cluster_state.allocate(*cluster_state.find_machine(machine_id), job,
                                                     *job.pop_pending(), attempt, now);
    allocation.phase = AllocationPhase::seen;
    allocation.state = TaskState::running;
  }
  Heartbeat status = heartbeat("vm-1");
  status.tasks = {on(cluster_state.find_machine("vm-1")->allocations[0])};
  status.interruption_notice = Seconds(6);
  send(status);
  cluster_state.tick(now);
  const auto calls = cluster_state.drain_stop_calls();
  ASSERT_EQ(calls.size(), 2u) << "both tasks are stopped at the same time";
  for (const auto& call : calls) EXPECT_GE(call.commands[0].grace, spec.checkpoint_duration);
  // The exit of the first task after saving must not interrupt the saving of the other task.
  status.tasks[0].state = TaskState::exited;
  status.tasks[0].cause = ExitCause::stopped;
  status.tasks[0].saved = true;
  status.sequence = ++sequence;
  send(status);
  EXPECT_TRUE(cluster_state.drain_stop_calls().empty());
  EXPECT_TRUE(job.any_live());
}

TEST_F(ClusterTest, PlannedRecordStaysWithinSizeLimit) {
  JobSpec spec = job("run-000001", 10'000);
  spec.need = {0.001, 0, 0.001};
  Job& job = add(spec);
  send(heartbeat());
  Machine& machine = *cluster_state.find_machine("vm-1");
  size_t planned = 0;
  const auto room_for_one_more = [&] {
    const Cluster::RecordCost cost = cluster_state.record_cost(job);
    return cluster_state.record_size(machine) + cost.group_bytes + cost.task_bytes <=
           cluster_state.record_limit();
  };
  while (room_for_one_more() && planned < 10'000) {
    cluster_state.allocate(machine, job, *job.pop_pending(), cluster_state.next_attempt(), now);
    ++planned;
  }
  EXPECT_GT(planned, 50u);
  // The size of the record in JSON, as counted by the platform, must not exceed the bound used for
  // planning.
  const std::string written = wire::write_machine_record(cluster_state.record_of(machine));
  const size_t size = wire::json_size(wire::Document::parse(written)->root());
  EXPECT_LE(size, cluster_state.record_size(machine));
  EXPECT_LE(cluster_state.record_size(machine), cluster_state.record_limit());
  EXPECT_LT(cluster_state.record_limit(), platform.store_limits.value_bytes);
  EXPECT_LT(wire::write_machine_record(cluster_state.record_of(machine)).size(),
            platform.store_limits.value_bytes);
}

TEST_F(ClusterTest, QueuedTaskStartsWithHeartbeatThatFreesResources) {
  // Queueing tasks on machines avoids one record write per task, which exhausted the write budget
  // of the key-value store on a large deployment.
  Job& open_job = add(job("run-000001", 2));
  send(heartbeat());
  Machine& machine = *cluster_state.find_machine("vm-1");
  open_job.mod_revision = 10;
  JobSpec big = job("run-000002", 1);
  big.need = {8, 0, 4};
  Job& whole_machine_job = add(big);
  const Allocation first = durable(whole_machine_job);
  cluster_state.queue_on(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                         {0, 1}, now);
  cluster_state.queue_on(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                         {0, 0}, now);
  Effects ignored;
  cluster_state.machine_stored(machine, cluster_state.record_of(machine), ++mod_revision, ignored);
  EXPECT_EQ(machine.used.cpus, 8) << "queued tasks use no resources";
  EXPECT_EQ(cluster_state.usage(0).used.cpus, 8);
  EXPECT_EQ(open_job.pending(), 0u);
  ASSERT_EQ(send(heartbeat()).size(), 1u) << "the machine is full";
  Heartbeat status = heartbeat();
  status.tasks = {on(first)};
  EXPECT_TRUE(send(status).empty());
  // The machine has free resources, but some are reserved for a nomination.
  cluster_state.set_reserved({{"vm-1", {5, 0, 4}}}, {});
  status = heartbeat();
  status.tasks = {on(first, TaskState::exited, ExitCause::done)};
  const auto commands = send(status);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, Command::Op::start);
  EXPECT_EQ(commands[0].task.index, 1u) << "the task with the first queue position";
  EXPECT_EQ(machine.used.cpus, 2);
  EXPECT_EQ(cluster_state.usage(0).used.cpus, 2)
      << "the task counts towards the limit from its start";
}

TEST_F(ClusterTest, RemovedMachineLeavesNoReservation) {
  // Guards against a use after free (found by the address sanitizer): a scheduling cycle clears the
  // reservations of the previous one, and a machine with a reservation may have been destroyed
  // meanwhile.
  send(heartbeat());
  send(heartbeat("vm-2"));
  cluster_state.set_reserved({{"vm-1", {5, 0, 4}}, {"vm-2", {1, 0, 1}}}, {});
  cluster_state.remove_machine("vm-1", now);
  cluster_state.set_reserved({}, {});
  EXPECT_EQ(cluster_state.find_machine("vm-2")->reserved.cpus, 0);
  EXPECT_FALSE(cluster_state.find_machine("vm-1"));
}

TEST_F(ClusterTest, QueuedTasksRespectTeamLimit) {
  JobSpec spec = job("run-000001", 3);
  spec.team = "tiny";  // limit: 4 cpus
  Job& job = add(spec);
  send(heartbeat());
  Machine& machine = *cluster_state.find_machine("vm-1");
  for (int i = 0; i < 3; ++i) {
    cluster_state.queue_on(machine, job, *job.pop_pending(), cluster_state.next_attempt(), {}, now);
  }
  Effects ignored;
  cluster_state.machine_stored(machine, cluster_state.record_of(machine), ++mod_revision, ignored);
  ASSERT_EQ(send(heartbeat()).size(), 2u);
  EXPECT_EQ(job.queued_tasks, 1u);
}

TEST_F(ClusterTest, QueuedTasksLeaveQuotaReservedForGang) {
  // Guards against queued tasks that take each part of a team's limit that becomes free, so that a
  // gang of the team never starts.
  JobSpec spec = job("run-000001", 3);
  spec.team = "tiny";  // limit: 4 cpus
  Job& open_job = add(spec);
  send(heartbeat());
  Machine& machine = *cluster_state.find_machine("vm-1");
  for (int i = 0; i < 3; ++i) {
    cluster_state.queue_on(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                           {}, now);
  }
  Effects ignored;
  cluster_state.machine_stored(machine, cluster_state.record_of(machine), ++mod_revision, ignored);
  // The team may use 2 cpus beside the gang, for one task.
  cluster_state.set_reserved({}, {std::nullopt, std::nullopt, Resources{2, 0, 0}});
  const auto commands = send(heartbeat());
  ASSERT_EQ(commands.size(), 1u);
  Heartbeat status = heartbeat();
  status.tasks = {{commands[0].task, commands[0].attempt, TaskState::exited, ExitCause::done}};
  for (const Command& command : send(status)) EXPECT_NE(command.op, Command::Op::start);
  EXPECT_EQ(open_job.queued_tasks, 2u) << "what the task freed is for the gang";
  cluster_state.set_reserved({}, {});
  EXPECT_EQ(send(heartbeat()).size(), 2u);
}

TEST_F(ClusterTest, QueuedTaskIsMovedOffMachineWithoutHeartbeats) {
  Job& open_job = add(job("run-000001", 2));
  send(heartbeat());
  Machine& machine = *cluster_state.find_machine("vm-1");
  cluster_state.queue_on(machine, open_job, *open_job.pop_pending(), cluster_state.next_attempt(),
                         {}, now);
  EXPECT_EQ(open_job.pending(), 1u);
  now += seconds(1);
  cluster_state.tick(now);
  EXPECT_EQ(open_job.pending(), 1u);
  now += seconds(5);
  cluster_state.tick(now);
  EXPECT_EQ(open_job.pending(), 2u)
      << "no run was sent, so the task can be placed elsewhere immediately";
  EXPECT_TRUE(machine.allocations.empty());
}

TEST_F(ClusterTest, DuplicateHeartbeatDoesNotRenewLease) {
  // Duplicates of heartbeats can arrive seconds or more than a lease late. When every response
  // counted as a renewal, a duplicate kept the allocations of a lost machine.
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  const Allocation& allocation = durable(open_job);
  const Heartbeat answered = heartbeat();
  send(answered);
  Heartbeat running = heartbeat();
  running.tasks = {on(allocation)};
  send(running);
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    EXPECT_EQ(cluster_state.handle_heartbeat(i % 2 ? answered : running, now, true, effects).kind,
              HeartbeatResponse::Kind::stale);
    cluster_state.expire_leases(now);
  }
  EXPECT_TRUE(cluster_state.find_machine("vm-1")->lost);
  EXPECT_EQ(allocated(), 0u);
  // The machine stays lost when further duplicates arrive.
  EXPECT_EQ(cluster_state.handle_heartbeat(running, now, true, effects).kind,
            HeartbeatResponse::Kind::stale);
  EXPECT_TRUE(cluster_state.find_machine("vm-1")->lost);
}

TEST_F(ClusterTest, MachineNotReachedByResponsesBecomesUnreachable) {
  // The heartbeats of the machine arrive, so its lease does not expire here, but no command reaches
  // it.
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  send(heartbeat("vm-2"));
  durable(open_job);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(cluster_state.unreachable_machines().empty() || i > 2);
    send(heartbeat());
    now += Millis(1500);
  }
  EXPECT_EQ(cluster_state.unreachable_machines(), std::vector<std::string>{"vm-1"});
  EXPECT_EQ(allocated(), 1u) << "the allocation may end only when the machine is removed";
  cluster_state.tick(now);
  EXPECT_EQ(allocated(), 1u);
  cluster_state.remove_machine("vm-1", now);
  EXPECT_EQ(open_job.pending(), 1u);
}

TEST_F(ClusterTest, UnreachableMachineIsReusedAfterIncarnationOutlivesLease) {
  // Guards against a machine that stays unreachable forever (found by random scenarios): it was
  // sent no `run` that it could execute.
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  durable(open_job);
  for (int i = 0; i < 8; ++i) {
    send(heartbeat());
    now += Millis(1500);
  }
  ASSERT_TRUE(cluster_state.find_machine("vm-1")->unreachable);
  cluster_state.tick(now);
  const auto heartbeats_for = [&](Nanos time) {
    for (Nanos t{0}; t < time; t += Millis(1500)) {
      now += Millis(1500);
      send(heartbeat());
    }
  };
  ++incarnation;  // its lease expired: responses still do not reach it
  heartbeats_for(seconds(13));
  EXPECT_TRUE(cluster_state.find_machine("vm-1")->unreachable);
  ++incarnation;
  heartbeats_for(seconds(13));
  EXPECT_TRUE(cluster_state.find_machine("vm-1")->unreachable);
  heartbeats_for(seconds(4));  // the incarnation lasted longer than a lease: a response renewed it
  EXPECT_FALSE(cluster_state.find_machine("vm-1")->unreachable);
}

TEST_F(ClusterTest, MachineExecutingRunLateIsNotUnreachable) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  const Allocation& allocation = durable(open_job);
  for (int i = 0; i < 2; ++i) {
    send(heartbeat());
    now += seconds(5);
  }
  Heartbeat running = heartbeat();
  running.tasks = {on(allocation)};
  send(running);
  EXPECT_EQ(cluster_state.find_machine("vm-1")->lost_responses.suspicions, 0u);
  EXPECT_TRUE(cluster_state.unreachable_machines().empty());
}

TEST_F(ClusterTest, NoMachineIsReportedUnreachableIfManyAre) {
  // Otherwise a leader that responds too late would delete its whole cluster.
  JobSpec spec = job("run-000001", 12);
  Job& job = add(spec);
  for (int m = 0; m < 12; ++m) {
    const std::string machine_id = "vm-" + std::to_string(m);
    send(heartbeat(machine_id));
    durable(job, machine_id);
  }
  for (int i = 0; i < 10; ++i) {
    for (int m = 0; m < 12; ++m) send(heartbeat("vm-" + std::to_string(m)));
    now += Millis(1500);
  }
  EXPECT_TRUE(cluster_state.find_machine("vm-3")->unreachable);
  EXPECT_TRUE(cluster_state.unreachable_machines().empty());
}

TEST_F(ClusterTest, RestartedMachineHasNewIncarnationAndNoTasks) {
  Job& open_job = add(job("run-000001"));
  send(heartbeat());
  const Allocation& allocation = durable(open_job);
  send(heartbeat());
  Heartbeat running = heartbeat();
  running.tasks = {on(allocation)};
  send(running);
  now += Millis(300);
  ++incarnation;
  sequence = 0;
  send(heartbeat());
  EXPECT_EQ(allocated(), 0u);
  EXPECT_EQ(open_job.pending(), 1u);
  EXPECT_TRUE(send(running).empty()) << "a duplicate from the previous incarnation";
  EXPECT_EQ(allocated(), 0u);
}

}  // namespace
}  // namespace dunlinknot::cluster
