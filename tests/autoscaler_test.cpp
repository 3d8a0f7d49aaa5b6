// Unit tests of the termination policy and of the backoff for refused offers.
#include <gtest/gtest.h>

#include "dunlinknot/autoscaler/refusal_backoff.hpp"
#include "dunlinknot/autoscaler/termination_policy.hpp"

namespace dunlinknot::autoscaler {
namespace {

using std::chrono::seconds;

const Instant kTermSince{seconds(1000)};

// A machine that is up, has no allocations and has been idle for 5 s. Its last heartbeat was at
// `scan.now`, 100 s after the start of the term.
struct TerminationPolicyTest : testing::Test {
  TerminationPolicyTest() {
    platform.heartbeat_interval = Seconds(2);
    platform.worker_lease = Seconds(30);
    operator_settings.lost_return = Seconds(20);
    operator_settings.boot_timeout_factor = 4;
    operator_settings.idle_return = Seconds(10);
    type.boot = Seconds(10);
    scan.now = kTermSince + seconds(100);
    scan.term_since = kTermSince;
    machine.id = "vm-1";
    machine.has_heartbeat = true;
    machine.known_since = kTermSince + seconds(1);
    machine.last_heartbeat = scan.now;
    machine.idle_since = scan.now - seconds(5);
  }
  std::optional<TerminationReason> reason() const {
    return TerminationPolicy(platform, operator_settings).reason(machine, &type, scan);
  }
  void allocate() { machine.allocations.emplace_back(); }

  settings::Platform platform;
  settings::Operator operator_settings;
  MachineType type;
  TerminationScan scan;
  cluster::Machine machine;
};

TEST_F(TerminationPolicyTest, MachineWithAllocationsOrShortIdleTimeIsKept) {
  EXPECT_EQ(reason(), std::nullopt);
  machine.idle_since = kTermSince;
  allocate();
  EXPECT_EQ(reason(), std::nullopt);
}

TEST_F(TerminationPolicyTest, IdleMachineIsTerminatedUnlessSchedulerKeepsIt) {
  machine.idle_since = scan.now - seconds(10);
  EXPECT_EQ(reason(), std::nullopt) << "idle for exactly the idle-return time";
  machine.idle_since -= Nanos(1);
  EXPECT_EQ(reason(), TerminationReason::idle);
  scan.has_waiting_tasks = true;
  EXPECT_EQ(reason(), TerminationReason::idle_no_fitting_task);
  scan.machines_to_keep = {"vm-0", "vm-1", "vm-2"};
  EXPECT_EQ(reason(), std::nullopt);
}

TEST_F(TerminationPolicyTest, TerminatingOrUnreachableMachineHasNoReason) {
  machine.idle_since = kTermSince;
  ASSERT_EQ(reason(), TerminationReason::idle);
  machine.unreachable = true;
  EXPECT_EQ(reason(), std::nullopt);
  machine.unreachable = false;
  machine.terminating = true;
  EXPECT_EQ(reason(), std::nullopt);
}

TEST_F(TerminationPolicyTest, DrainingMachineIsTerminatedOnceEmpty) {
  machine.draining = true;
  machine.drain_reason = "its tasks fail";
  allocate();
  EXPECT_EQ(reason(), std::nullopt);
  machine.allocations.clear();
  EXPECT_EQ(reason(), TerminationReason::drained);
  EXPECT_EQ(text(Termination{"vm-1", TerminationReason::drained, "its tasks fail"}),
            "its tasks fail");
}

TEST_F(TerminationPolicyTest, InterruptedMachineIsTerminatedWhenEmptyOrWithoutHeartbeat) {
  machine.interruption_at = scan.now + seconds(60);
  EXPECT_EQ(reason(), TerminationReason::interrupted_empty);
  allocate();
  machine.last_heartbeat = scan.now - to_nanos(Seconds(2 * 1.25 + 1));
  EXPECT_EQ(reason(), std::nullopt) << "the next heartbeat may still arrive";
  machine.last_heartbeat -= Nanos(1);
  EXPECT_EQ(reason(), TerminationReason::interrupted_no_heartbeat);
}

TEST_F(TerminationPolicyTest, LostMachineIsTerminatedAfterLeaseAndLostReturn) {
  allocate();
  machine.lost = true;
  machine.last_heartbeat = scan.now - seconds(50);
  EXPECT_EQ(reason(), std::nullopt);
  machine.last_heartbeat -= Nanos(1);
  EXPECT_EQ(reason(), TerminationReason::no_heartbeat);
}

TEST_F(TerminationPolicyTest, MachineOfThisTermIsTerminatedAfterBootTimeout) {
  machine.has_heartbeat = false;
  scan.now = machine.known_since + seconds(10 * 4 + 15);
  ASSERT_LT(scan.now, kTermSince + seconds(60));
  EXPECT_EQ(reason(), std::nullopt);
  scan.now += Nanos(1);
  EXPECT_EQ(reason(), TerminationReason::boot_timeout);
}

TEST_F(TerminationPolicyTest, MachineOfEarlierTermIsTerminatedAfterLostTimeout) {
  machine.has_heartbeat = false;
  machine.known_since = kTermSince - seconds(500);
  const Instant lost_deadline = kTermSince + seconds(30 + 20);
  for (const bool was_up : {false, true}) {
    machine.listed_running = was_up;
    scan.now = lost_deadline;
    EXPECT_EQ(reason(), std::nullopt);
    scan.now = lost_deadline + Nanos(1);
    EXPECT_EQ(reason(), was_up ? TerminationReason::no_heartbeat : TerminationReason::boot_timeout);
  }
  machine.listed_running = false;
  allocate();
  EXPECT_EQ(reason(), TerminationReason::no_heartbeat) << "a machine with allocations was up";
}

TEST_F(TerminationPolicyTest, MachineOfUnknownTypeWithoutHeartbeatIsKept) {
  machine.has_heartbeat = false;
  machine.known_since = kTermSince - seconds(500);
  ASSERT_EQ(reason(), TerminationReason::boot_timeout);
  EXPECT_EQ(TerminationPolicy(platform, operator_settings).reason(machine, nullptr, scan),
            std::nullopt);
}

// The texts are stored in intents and printed by `dunlinknot duties`, so they must not change.
TEST(TerminationReason, TextsMatchStoredIntents) {
  EXPECT_EQ(text(TerminationReason::failed), "it failed");
  EXPECT_EQ(text(TerminationReason::unreachable), "our responses do not reach it");
  EXPECT_EQ(text(TerminationReason::boot_timeout), "it never came up");
  EXPECT_EQ(text(TerminationReason::no_heartbeat), "its worker stays silent");
  EXPECT_EQ(text(TerminationReason::interrupted_no_heartbeat), "interrupted and silent");
  EXPECT_EQ(text(TerminationReason::interrupted_empty), "interrupted and empty");
  EXPECT_EQ(text(TerminationReason::idle), "idle");
  EXPECT_EQ(text(TerminationReason::idle_no_fitting_task), "idle, and nothing that waits fits");
}

TEST(RefusalBackoff, PauseDoublesUpToFourTimesAndRestartsAfterReset) {
  const scheduler::Offer offer{"box", "a", true};
  const scheduler::Offer other{"box", "a", false};
  RefusalBackoff backoff;
  Instant now = kTermSince;
  for (const int pause : {15, 30, 60, 60, 60}) {
    backoff.record_refusal(offer, seconds(15), now);
    EXPECT_EQ(backoff.offers_in_backoff(now + seconds(pause) - Nanos(1)), std::set{offer});
    EXPECT_TRUE(backoff.offers_in_backoff(now + seconds(pause)).empty());
    now += seconds(pause);
  }
  backoff.record_refusal(offer, seconds(15), now);
  backoff.record_refusal(other, seconds(15), now);
  backoff.reset(offer);
  EXPECT_EQ(backoff.offers_in_backoff(now), std::set{other});
  backoff.record_refusal(offer, seconds(15), now);
  EXPECT_TRUE(backoff.offers_in_backoff(now + seconds(15)).empty())
      << "the pause restarts at its initial value";
  backoff.clear();
  EXPECT_TRUE(backoff.offers_in_backoff(now).empty());
}

}  // namespace
}  // namespace dunlinknot::autoscaler
