// Writing machine records to a key-value store that enforces its limits on transactions: however
// many jobs and tasks the records have, all of them become durable.
#include <gtest/gtest.h>

#include "dunlinknot/cluster/allocation_store.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

constexpr settings::StoreLimits kPresentLimits{
    .rps = 200, .write_rps = 80, .value_bytes = size_t{16} * 1024, .txn_ops = 16};
constexpr settings::StoreLimits kAnnouncedLimits{
    .rps = 200, .write_rps = 56, .value_bytes = size_t{2} * 1024, .txn_ops = 5};

struct IgnoreEvents : cluster::AllocationStoreHandler {
  void on_epoch_superseded() override {}
  void on_job_finished(const std::string& /*id*/, uint32_t /*tasks*/) override {}
  void on_cancellations_applied(Instant /*sent*/) override {}
  std::optional<std::vector<kv::Compare>> cleanup_compares() const override { return std::nullopt; }
  void apply_cleanup_result(const kv::TransactionResult& /*result*/, Instant /*sent*/) override {}
};

// The allocation store of a leader, whose cluster the test fills. There are no other components.
struct Leader {
  explicit Leader(const settings::StoreLimits& present,
                  const std::optional<settings::StoreLimits>& announced = std::nullopt)
      : store(simulation.loop, present) {
    platform.store_limits = present;
    platform.next_store_limits = announced;
    context.emplace(simulation.loop, platform, operator_settings);
    client.emplace(simulation.loop, transport, platform.key_value_store,
                   kv::Limits(present, announced), 1.0);
    allocation_store.emplace(*context, *client, events);
    store.put(std::string(wire::kEpochKey), wire::write_epoch(kEpoch));
    context->term = 1;
    context->epoch = kEpoch;
    context->epoch_mod_revision = store.data.at(std::string(wire::kEpochKey)).mod_revision;
    context->leader_state.with([&](cluster::LeaderState& leader) {
      leader.cluster.begin_term(kEpoch, simulation.clock.now());
      leader.cluster.set_catalog({machine_type()});
    });
    simulation.loop.spawn(allocation_store->store_machines(context->term));
  }
  ~Leader() { simulation.loop.destroy_coroutines(); }

  static MachineType machine_type() {
    MachineType type;
    type.name = "box";
    type.size = {1000, 0, 1000};
    type.zones = {"a"};
    return type;
  }

  // Allocates all tasks of a new open job on the machine.
  void allocate(const std::string& machine_id, JobSpec spec) {
    spec.need = {0.001, 0, 0.001};
    const std::string key = wire::job_key(spec.id);
    store.put(key, wire::write_job_record({spec, WallTime{}}));
    const Instant now = simulation.clock.now();
    context->leader_state.with([&](cluster::LeaderState& leader) {
      cluster::Cluster& state = leader.cluster;
      cluster::Machine& machine = state.register_machine(machine_id, "box", "a", false, now);
      machine.mod_revision_known = true;
      state.load_job({spec, WallTime{}}, store.data.at(key).mod_revision, now);
      cluster::Job& job = *state.job(spec.id);
      for (uint32_t task = 0; task < spec.tasks; ++task)
        state.allocate(machine, job, *job.pop_pending(), state.next_attempt(), now);
    });
    context->store_machines.notify();
  }
  // The number of allocations that are durable, and of those that are not.
  size_t durable() { return count(true); }
  size_t planned() { return count(false); }
  size_t count(bool is_durable) {
    return context->leader_state.with([&](cluster::LeaderState& leader) {
      size_t found = 0;
      for (const auto& [id, machine] : leader.cluster.machines()) {
        for (const cluster::Allocation& allocation : machine->allocations)
          found += (allocation.phase != cluster::AllocationPhase::planned) == is_durable ? 1 : 0;
      }
      return found;
    });
  }

  static constexpr uint64_t kEpoch = 3;
  Simulation simulation;
  settings::Platform platform = Site::platform(0, 1);
  settings::Operator operator_settings;
  ScriptedStore store;
  StoreTransport transport{store};
  IgnoreEvents events;
  std::optional<cluster::LeaderContext> context;
  std::optional<kv::Client> client;
  std::optional<cluster::AllocationStore> allocation_store;
};

std::string job_id(size_t number) {
  return "run-" + std::to_string(100'000 + number);
}

std::string machine_id(size_t number) {
  return "vm-" + std::to_string(100'000 + number);
}

// Guards against a transaction that is repeated unchanged for ever: few machines with many new jobs
// need few writes but a compare for each job, and the store had lowered its limits unnoticed.
TEST(MachineRecordWriter, AllocationsOfManyJobsOnTwoMachinesBecomeDurableAfterLimitsFell) {
  constexpr size_t kJobs = 30;
  Leader leader(kPresentLimits, kAnnouncedLimits);
  leader.store.limits = kAnnouncedLimits;
  for (size_t n = 0; n < kJobs; ++n) leader.allocate(machine_id(n % 2), job(job_id(n)));
  leader.simulation.run_for(seconds(5));
  EXPECT_EQ(leader.durable(), kJobs);
  EXPECT_EQ(leader.store.oversized, 1u) << "one refusal shows that the limits fell";
}

// Guards against transactions above the store's limit of 64 KiB: entries of tasks with large
// indices and attempts take more than twice their packed size in JSON, the form that is limited.
TEST(MachineRecordWriter, LargeRecordsOfSeveralMachinesAreWrittenInSeveralTransactions) {
  constexpr settings::StoreLimits kLargeValues{
      .rps = 200, .write_rps = 80, .value_bytes = size_t{40} * 1024, .txn_ops = 16};
  constexpr size_t kMachines = 6;
  constexpr uint32_t kTasksPerMachine = 2200;
  Leader leader(kLargeValues);
  for (size_t n = 0; n < kMachines; ++n)
    leader.allocate(machine_id(n), job(job_id(n), kTasksPerMachine));
  leader.simulation.run_for(seconds(5));
  EXPECT_EQ(leader.durable(), kMachines * kTasksPerMachine);
  EXPECT_EQ(leader.store.oversized, 0u);
}

// Guards against a record that keeps all others from being written, because the transaction that
// contains it is repeated unchanged although the store rejects it whenever it is sent.
TEST(MachineRecordWriter, RecordThatStoreRejectsDoesNotKeepOthersFromBeingWritten) {
  constexpr size_t kMachines = 8;
  Leader leader(kPresentLimits);
  const std::string rejected_key = wire::machine_key(machine_id(3));
  leader.store.call_fault = [&](const http::Call& call) {
    return is_transaction_on(call, rejected_key) ? CallFault::reject : CallFault::none;
  };
  for (size_t n = 0; n < kMachines; ++n) leader.allocate(machine_id(n), job(job_id(n)));
  leader.simulation.run_for(seconds(5));
  EXPECT_EQ(leader.durable(), kMachines - 1);
  EXPECT_EQ(leader.planned(), 0u) << "the task on the rejected machine must be placed elsewhere";
}

}  // namespace
}  // namespace dunlinknot::test
