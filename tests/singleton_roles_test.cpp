// Tests of the components of the singleton roles: leases, fencing tokens, records, the intent log.
#include "dunlinknot/roles/singleton_roles.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include "dunlinknot/roles/overview.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

using roles::LeaseState;
using roles::RecordError;
using roles::Role;
using roles::RoleLease;

const Instant kStart{seconds(1000)};

TEST(RoleLease, ValidityCountsFromSendingLastConfirmationMinusClockDrift) {
  RoleLease lease(seconds(4));
  EXPECT_EQ(lease.state(kStart), LeaseState::candidate);
  lease.acquired({7, 11}, kStart);
  EXPECT_EQ(lease.grant().fencing_token, 7u);
  const Nanos validity = to_nanos(Seconds(4 / 1.001));
  EXPECT_TRUE(lease.may_act(kStart + validity - Nanos(1)));
  EXPECT_FALSE(lease.may_act(kStart + validity))
      << "one clock may be 0.05% slow and the other 0.05% fast";
  EXPECT_EQ(lease.state(kStart + validity), LeaseState::unconfirmed);
  lease.confirmed(kStart + seconds(3));
  EXPECT_TRUE(lease.may_act(kStart + seconds(6)));
  lease.confirmed(kStart + seconds(1));
  EXPECT_TRUE(lease.may_act(kStart + seconds(6)))
      << "an older confirmation must not shorten the validity";
}

TEST(RoleLease, ConfirmationRestoresUnconfirmedLeaseButNotLostLease) {
  RoleLease lease(seconds(4));
  lease.acquired({7, 11}, kStart);
  lease.discard_confirmation();
  EXPECT_EQ(lease.state(kStart), LeaseState::unconfirmed);
  lease.confirmed(kStart);
  EXPECT_EQ(lease.state(kStart), LeaseState::held);
  lease.mark_lost();
  lease.confirmed(kStart + seconds(1));
  EXPECT_EQ(lease.state(kStart + seconds(1)), LeaseState::lost);
  lease.become_candidate();
  EXPECT_EQ(lease.state(kStart + seconds(1)), LeaseState::candidate);
}

template <class Record>
RecordError error_of(const roles::Read<Record>& read) {
  return std::get<RecordError>(read);
}

TEST(RoleRecords, ScaleOutIntentIsReadBackAndInvalidRecordsAreRejected) {
  roles::ScaleOutIntent scale_out{"d-3-1", "box", "a", true, 50, "run-000001", 3};
  const auto read_scale_out = [](std::string_view key, const std::string& bytes) {
    const auto document = wire::Document::parse(bytes);
    return roles::read_scale_out_intent(key, document->root());
  };
  const std::string key = roles::scale_out_key(scale_out.request);
  const auto read_back = std::get<roles::ScaleOutIntent>(
      read_scale_out(key, roles::write_scale_out_intent(scale_out)));
  EXPECT_EQ(read_back.type, "box");
  EXPECT_EQ(read_back.count, 50u);
  EXPECT_TRUE(read_back.spot);
  EXPECT_EQ(read_back.fencing_token, 3u);
  EXPECT_EQ(error_of(read_scale_out(roles::scale_out_key("d-3-2"),
                                    roles::write_scale_out_intent(scale_out))),
            RecordError::damaged)
      << "the record is stored under the key of another request";
  for (const uint32_t count : {0u, 51u}) {
    scale_out.count = count;
    EXPECT_EQ(error_of(read_scale_out(key, roles::write_scale_out_intent(scale_out))),
              RecordError::damaged);
  }
  wire::Writer newer;
  newer.map(2).key("v").count(roles::kRecordVersion + 1).key("token").count(3);
  EXPECT_EQ(error_of(read_scale_out(key, newer.take())), RecordError::newer);
  wire::Writer empty;
  empty.map(0);
  EXPECT_EQ(error_of(read_scale_out(key, empty.take())), RecordError::damaged);
}

Site& enable_roles(Site& site) {
  site.operator_settings.roles = true;
  for (size_t i = 0; i < site.nodes.size(); ++i) site.restart(i);
  return site;
}

const roles::SingletonRoles& leader_roles(Site& site) {
  return *site.daemon(*site.leader()).roles();
}

size_t count_keys(const Site& site, std::string_view prefix) {
  size_t count = 0;
  for (const auto& [key, entry] : site.store.data) count += key.starts_with(prefix) ? 1 : 0;
  return count;
}

TEST(SingletonRoles, LeaderHoldsEachRoleWithItsOwnIncreasingFencingToken) {
  Site site(3);
  enable_roles(site);
  site.run_for(seconds(5));
  ASSERT_TRUE(site.leader().has_value());
  const auto& holder = leader_roles(site).holder;
  for (const Role role : roles::kAllRoles) EXPECT_TRUE(holder.may_act(role));
  EXPECT_LT(holder.fencing_token(Role::scale_out), holder.fencing_token(Role::scale_in));
  EXPECT_LT(holder.fencing_token(Role::scale_in), holder.fencing_token(Role::cleanup));
  const uint64_t previous_token = holder.fencing_token(Role::cleanup);
  site.restart(*site.leader());
  site.run_for(seconds(8));
  ASSERT_TRUE(site.leader().has_value());
  EXPECT_GT(leader_roles(site).holder.fencing_token(Role::scale_out), previous_token)
      << "tokens must increase";
}

TEST(SingletonRoles, NothingIsStoredWhenRolesAreDisabled) {
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001"));
  site.run_for(seconds(40));
  EXPECT_EQ(count_keys(site, "duty/") + count_keys(site, "intent/"), 0u);
}

TEST(SingletonRoles, IntentIsStoredBeforeItsRequestAndRemovedOnceSettled) {
  Site site(1);
  enable_roles(site);
  site.cloud.list_lag = seconds(2);
  bool launched_with_intent = false;
  site.cloud.on_operation = [&](const ScriptedCloud::Operation& operation) {
    if (!operation.request.empty() && operation.changed) {
      launched_with_intent = site.store.data.contains(roles::scale_out_key(operation.request));
    }
  };
  site.run_for(seconds(3));
  site.submit(job("run-000001"));
  site.run_for(seconds(2));
  EXPECT_TRUE(launched_with_intent);
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.cloud.deletions.size(), 1u);
  EXPECT_EQ(count_keys(site, "intent/"), 0u) << "all requests are settled";
}

TEST(SingletonRoles, LeasesAreUnconfirmedAfterSuspensionUntilNextRenewal) {
  Site site(1);
  enable_roles(site);
  site.run_for(seconds(5));
  const auto& holder = leader_roles(site).holder;
  ASSERT_TRUE(holder.may_act(Role::scale_out));
  site.clock.suspended += seconds(10);
  EXPECT_FALSE(holder.may_act(Role::scale_out))
      << "the boot clock includes the suspension, which the steady clock does not";
  EXPECT_EQ(holder.state(Role::scale_out), LeaseState::unconfirmed);
  site.run_for(seconds(3));
  EXPECT_TRUE(leader_roles(site).holder.may_act(Role::scale_out));
}

TEST(SingletonRoles, WallClockJumpsDoNotAffectLeases) {
  Site site(1);
  enable_roles(site);
  site.run_for(seconds(5));
  const uint64_t fencing_token = leader_roles(site).holder.fencing_token(Role::scale_out);
  for (const auto jump : {Nanos(seconds(5)), Nanos(std::chrono::hours(3)),
                          Nanos(std::chrono::hours(-6)), Nanos(seconds(-2))}) {
    site.clock.wall_offset += jump;
    EXPECT_TRUE(leader_roles(site).holder.may_act(Role::scale_out));
    site.run_for(seconds(5));
    EXPECT_EQ(leader_roles(site).holder.fencing_token(Role::scale_out), fencing_token);
  }
}

TEST(SingletonRoles, LeaderReacquiresLostRoleWithHigherFencingToken) {
  Site site(1);
  enable_roles(site);
  site.run_for(seconds(5));
  const uint64_t fencing_token = leader_roles(site).holder.fencing_token(Role::scale_out);
  site.store.erase(roles::role_key(Role::scale_out));
  site.run_for(seconds(4));
  EXPECT_GT(leader_roles(site).holder.fencing_token(Role::scale_out), fencing_token);
  EXPECT_TRUE(leader_roles(site).holder.may_act(Role::scale_out));
}

TEST(SingletonRoles, DamagedFencingTokenRecordPreventsAcquisitionAndIsNotOverwritten) {
  Site site(1);
  wire::Writer damaged;
  damaged.text("?");
  const std::string bytes = damaged.take();
  site.store.put(std::string(roles::kFencingTokenKey), bytes);
  enable_roles(site);
  const ScriptedCloud::Machine machine{"vm-100001",      "box", "a", false,
                                       site.clock.now(), false, {},  "10.1.0.1:9000"};
  site.cloud.machines[machine.id] = machine;
  site.add_worker(machine);
  site.run_for(seconds(5));
  site.submit(job("run-000001"));
  site.run_for(seconds(30));
  EXPECT_EQ(site.store.data.at(std::string(roles::kFencingTokenKey)).value, bytes);
  EXPECT_EQ(count_keys(site, "duty/"), 1u) << "no role was acquired";
  EXPECT_EQ(site.cloud.launches + site.cloud.deletions.size(), 0u);
  EXPECT_EQ(site.job_state("run-000001"), "done") << "work that needs no role must continue";
}

TEST(SingletonRoles, UnreadableIntentExcludesOnlyItsOwnMachine) {
  Site site(1);
  site.cloud.list_lag = Nanos(0);
  for (const char* id : {"vm-100001", "vm-100002"}) {
    const ScriptedCloud::Machine machine{id, "box",          "a", false, site.clock.now(), false,
                                         {}, "10.1.0.1:9000"};
    site.cloud.machines[machine.id] = machine;
    site.add_worker(machine);
  }
  wire::Writer newer;
  newer.map(2).key("v").count(roles::kRecordVersion + 1).key("token").count(1);
  const std::string bytes = newer.take();
  const std::string key = roles::scale_in_key("vm-100001");
  site.store.put(key, bytes);
  enable_roles(site);
  site.run_for(seconds(5));
  site.submit(job("run-000001", 4));
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_TRUE(site.workers.at("vm-100001")->started.empty());
  EXPECT_FALSE(site.workers.at("vm-100002")->started.empty());
  EXPECT_FALSE(site.cloud.machines.at("vm-100001").removed);
  EXPECT_TRUE(site.cloud.machines.at("vm-100002").removed)
      << "the other machine must be terminated once idle";
  EXPECT_EQ(site.store.data.at(key).value, bytes);
}

TEST(SingletonRoles, OverviewShowsHoldersAndOpenIntentsWithoutChangingTheStore) {
  Site site(1);
  enable_roles(site);
  site.run_for(seconds(5));
  site.store.put(roles::scale_out_key("d-9-1"),
                 roles::write_scale_out_intent({"d-9-1", "box", "a", true, 3, "run-000009", 9}));
  site.store.put(roles::scale_in_key("vm-000007"),
                 roles::write_scale_in_intent({"vm-000007", "idle", 9}));
  wire::Writer damaged;
  damaged.text("?");
  site.store.put(roles::scale_in_key("vm-000008"), damaged.take());
  const size_t keys = site.store.data.size();

  Site::Node& node = *site.nodes.front();
  kv::Client client(site.loop, node, node.platform.key_value_store,
                    kv::Limits(node.platform.store_limits), 1.0);
  const auto overview = site.get(roles::read_overview(site.loop, client));
  ASSERT_TRUE(overview.has_value());
  std::ostringstream out;
  roles::print(out, *overview);
  EXPECT_NE(out.str().find("rent     dunlin-0 under token "), std::string::npos) << out.str();
  EXPECT_NE(out.str().find("open: rent 3 x spot box in a as d-9-1"), std::string::npos);
  EXPECT_NE(out.str().find("open: return vm-000007 (token 9): idle"), std::string::npos);
  EXPECT_NE(out.str().find("unreadable: intent/return/vm-000008"), std::string::npos);
  EXPECT_EQ(site.store.data.size(), keys);

  site.store.outage = true;
  EXPECT_FALSE(site.get(roles::read_overview(site.loop, client)).has_value());
}

// Singleton roles are enabled on one controller and disabled on another. The second may have
// allocated tasks on a machine that the first had decided to terminate.
TEST(SingletonRoles, ResumedScaleInWaitsForTasksAllocatedByLeaderWithoutRoles) {
  Site site(1);
  site.cloud.list_lag = Nanos(0);
  const ScriptedCloud::Machine machine{"vm-100001",      "box", "a", false,
                                       site.clock.now(), false, {},  "10.1.0.1:9000"};
  site.cloud.machines[machine.id] = machine;
  site.add_worker(machine);
  ScriptedWorker& worker = *site.workers.at(machine.id);
  worker.run_time = [](const TaskRef&) { return seconds(20); };
  site.run_for(seconds(5));
  site.submit(job("run-000001"));
  site.run_for(seconds(5));
  ASSERT_EQ(worker.started.size(), 1u);
  site.store.put(roles::scale_in_key(machine.id),
                 roles::write_scale_in_intent({machine.id, "idle", 1}));
  enable_roles(site);
  site.run_for(seconds(8));
  EXPECT_TRUE(worker.powered_on) << "the machine must not be terminated while its task runs";
  site.submit(job("run-000002"));
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(worker.started.size(), 1u) << "a terminating machine must get no new tasks";
  EXPECT_FALSE(worker.powered_on) << "the machine must be terminated after its task ended";
  EXPECT_EQ(site.job_state("run-000002"), "done");
}

}  // namespace
}  // namespace dunlinknot::test
