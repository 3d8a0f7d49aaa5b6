// Handovers of the singleton roles while requests are under way: holders that are suspended, crash,
// are cut off or refused, and messages that arrive late, one fault alone and several at once. The
// history is checked over the whole run.
#include <gtest/gtest.h>

#include <random>

#include "role_history.hpp"

namespace dunlinknot::test {
namespace {

constexpr size_t kControllers = 3;

bool is_deletion(const http::Call& call) {
  return call.target == "/rentals/delete";
}
bool is_launch(const http::Call& call) {
  return call.target == "/rentals" && call.method == "POST";
}

// Three controllers that acted for a few seconds, and the history of their acts.
struct Fixture {
  explicit Fixture(bool roles = true) {
    site.operator_settings.roles = roles;
    site.operator_settings.idle_return = Seconds(3);
    site.cloud.list_lag = seconds(6);
    for (size_t i = 0; i < kControllers; ++i) site.restart(i);
    site.run_for(seconds(5));
  }
  // Pauses the controller that is about to send the first such call; returns which one it was.
  Site::Node* pause_at(bool (*which)(const http::Call&)) {
    Site::Node* stopped = nullptr;
    site.on_send = [&, which](Site::Node& node, const http::Call& call) {
      if (stopped || !which(call)) return;
      node.paused = true;
      stopped = &node;
    };
    for (int i = 0; i < 3000 && !stopped; ++i) site.run_for(Millis(10));
    site.on_send = nullptr;
    return stopped;
  }
  void expect_clean() {
    for (const auto& violation : history.violations()) ADD_FAILURE() << violation;
    expect_no_violations(site);
  }

  Site site{kControllers};
  RoleHistory history{site};
};

size_t index_of(const Site& site, const Site::Node* node) {
  for (size_t i = 0; i < site.nodes.size(); ++i) {
    if (site.nodes[i].get() == node) return i;
  }
  return site.nodes.size();
}

// The holder decided to terminate an idle machine, checked its lease, and is suspended before the
// request is sent. Work is submitted for which the machine would do. Then the holder resumes.
void pause_amid_a_termination(Fixture& fixture) {
  fixture.site.submit(job("run-000001"), 0);
  Site::Node* stopped = fixture.pause_at(is_deletion);
  ASSERT_NE(stopped, nullptr);
  const size_t other = (index_of(fixture.site, stopped) + 1) % kControllers;
  for (auto& [id, worker] : fixture.site.workers) {
    worker->run_time = [](const TaskRef&) { return seconds(30); };
  }
  fixture.site.submit(job("run-000002"), other);
  fixture.site.run_for(seconds(25));
  stopped->paused = false;
  fixture.site.run_for(seconds(90));
  EXPECT_EQ(fixture.site.job_state("run-000002", other), "done");
}

TEST(RoleHandover, AHolderPausedBeforeItSendsADeletionHarmsNobody) {
  Fixture fixture;
  pause_amid_a_termination(fixture);
  fixture.expect_clean();
  EXPECT_GE(fixture.history.counts().fenced_without_effect, 1u)
      << "it was sent, and changed nothing";
}

// The same without intents: shows that the checks find such a violation.
TEST(RoleHandover, TheChecksFindWhatHappensWithoutIntents) {
  Fixture fixture(false);
  pause_amid_a_termination(fixture);
  EXPECT_FALSE(fixture.history.violations().empty());
}

TEST(RoleHandover, AHolderPausedBeforeItSendsALaunchLaunchesNothingTwice) {
  Fixture fixture;
  fixture.site.cloud.capacity["box/a/ordinary"] = 5;
  fixture.site.submit(job("run-000001"), 0);
  Site::Node* stopped = fixture.pause_at(is_launch);
  ASSERT_NE(stopped, nullptr);
  fixture.site.run_for(seconds(20));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 1u);
  stopped->paused = false;
  fixture.site.run_for(seconds(90));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 1u) << "the successor went on under the same name";
  EXPECT_EQ(fixture.history.machines_held(), 0u);
  fixture.expect_clean();
}

TEST(RoleHandover, ALaunchThatIsExecutedMinutesLaterIsTheSameLaunch) {
  Fixture fixture;
  fixture.site.cloud.capacity["box/a/ordinary"] = 5;
  fixture.site.cloud.fault_delay = seconds(120);
  bool first = true;
  fixture.site.cloud.call_fault = [&](const http::Call& call) {
    return is_launch(call) && std::exchange(first, false) ? CallFault::apply_late : CallFault::none;
  };
  fixture.site.submit(job("run-000001"), 0);
  fixture.site.run_for(seconds(2));
  ASSERT_FALSE(first);
  fixture.site.restart(*fixture.site.leader());
  fixture.site.run_for(seconds(200));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 1u);
  EXPECT_EQ(fixture.history.machines_held(), 0u);
  fixture.expect_clean();
}

// The cloud has no capacity when the successor asks, and the former holder's request is carried out
// long after: its name is still open, and no other was used meanwhile.
TEST(RoleHandover, ANameWithACopyUnderWayStaysOpenWhileTheCloudHasNone) {
  Fixture fixture;
  auto& capacity = fixture.site.cloud.capacity["box/a/ordinary"];
  capacity = 0;
  fixture.site.cloud.fault_delay = seconds(60);
  bool first = true;
  fixture.site.cloud.call_fault = [&](const http::Call& call) {
    return is_launch(call) && std::exchange(first, false) ? CallFault::apply_late : CallFault::none;
  };
  JobSpec spec = job("run-000001");
  spec.types = {"box"};
  spec.zone = "a";
  fixture.site.submit(spec, 0);
  fixture.site.run_for(seconds(2));
  fixture.site.restart(*fixture.site.leader());
  fixture.site.run_for(seconds(30));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 0u);
  capacity = 2;
  fixture.site.run_for(seconds(120));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 1u)
      << "the late copy repeats the name that was used";
  EXPECT_EQ(fixture.site.job_state("run-000001", 0), "done");
  EXPECT_EQ(fixture.history.machines_held(), 0u);
  fixture.expect_clean();
}

// The launch was answered; its machine boots and is not in the list yet when the leader restarts.
TEST(RoleHandover, AMachineThatOnlyItsLauncherKnewIsNotLaunchedAgain) {
  Fixture fixture;
  fixture.site.cloud.capacity["box/a/ordinary"] = 5;
  fixture.site.submit(job("run-000001"), 0);
  for (int i = 0; i < 300 && fixture.site.cloud.launches == 0; ++i)
    fixture.site.run_for(Millis(10));
  ASSERT_EQ(fixture.site.cloud.launches, 1u);
  fixture.site.run_for(Millis(200));  // the answer arrives
  fixture.site.restart(*fixture.site.leader());
  fixture.site.run_for(seconds(60));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 1u);
  EXPECT_EQ(fixture.site.job_state("run-000001", 0), "done");
  fixture.expect_clean();
}

// A new leader has had no heartbeat yet from an idle machine that would do for what waits.
TEST(RoleHandover, OwnLaunchesWaitUntilTheMachinesAreKnown) {
  Fixture fixture;
  fixture.site.operator_settings.idle_return = Seconds(600);
  for (size_t i = 0; i < kControllers; ++i) fixture.site.restart(i);
  fixture.site.cloud.capacity["box/a/ordinary"] = 5;
  fixture.site.run_for(seconds(5));
  fixture.site.submit(job("run-000001"), 0);
  fixture.site.run_for(seconds(40));
  ASSERT_EQ(fixture.site.cloud.machines.size(), 1u);
  const size_t leader = *fixture.site.leader();
  fixture.site.crash(leader);
  fixture.site.submit(job("run-000002"), (leader + 1) % kControllers);
  fixture.site.run_for(seconds(20));
  EXPECT_EQ(fixture.site.cloud.machines.size(), 1u);
  EXPECT_EQ(fixture.site.job_state("run-000002", (leader + 1) % kControllers), "done");
  fixture.expect_clean();
}

enum class Fault {
  crash,            // back within a fraction of a second or some seconds
  crash_all,        // all controllers crash while requests are under way
  pause,            // the leader is suspended, up to well over its lease
  refused_alone,    // the key-value store refuses the leader, and serves the others
  cut_from_store,   // the leader loses the key-value store
  cut_from_cloud,   // the leader loses the cloud, not the key-value store
  late_acts,        // launches and deletions are executed late
  lost_answers,     // they are executed, and their answers are lost
  late_writes,      // transactions are applied late
  crash_successor,  // the leader crashes, and the next one during its failover
  cloud_outage,     // the cloud answers nobody
};
constexpr int kFaults = 11;

// One random run: submits jobs and begins faults of the given kinds for a while, lets all faults
// end, and expects a clean history. The seed determines the run.
class RandomRun {
 public:
  RandomRun(uint64_t seed, std::vector<Fault> kinds) : random_(seed), kinds_(std::move(kinds)) {
    fixture_.site.cloud.capacity["box/a/ordinary"] = 4;
    fixture_.site.cloud.capacity["crate/a/ordinary"] = 2;
    fixture_.site.cloud.fault_delay = seconds(15);
    fixture_.site.store.fault_delay = seconds(4);
    fixture_.site.on_worker = [this](ScriptedWorker& worker) {
      worker.run_time = [this](const TaskRef& task) { return seconds(2 + (task.index + 3) % 5); };
    };
  }

  void run() {
    constexpr int kSeconds = 100;
    for (int second = 0; second < kSeconds; ++second) {
      end_faults();
      if (draw(4) == 0) submit_next();
      if (draw(5) == 0) begin(kinds_[draw(kinds_.size())]);
      fixture_.site.run_for(seconds(1));
    }
    while (!ends_.empty()) {
      end_faults();
      fixture_.site.run_for(seconds(1));
    }
    fixture_.site.cloud.call_fault = nullptr;
    fixture_.site.store.call_fault = nullptr;
    fixture_.site.run_for(seconds(240));
    expect_all_settled();
  }

 private:
  struct End {
    Instant at;
    std::function<void()> what;
  };
  size_t draw(size_t below) { return random_() % below; }

  void submit_next() {
    const JobSpec spec = job("run-" + std::to_string(100'000 + accepted_.size()),
                             static_cast<uint32_t>(1 + draw(8)));
    for (size_t i = 0; i < kControllers; ++i) {
      if (fixture_.site.nodes[i]->crashed || fixture_.site.nodes[i]->paused) continue;
      const http::Response response = fixture_.site.submit(spec, i);
      if (response.status != 200 && response.status != 201) continue;
      accepted_.push_back(spec.id);
      return;
    }
  }

  void for_a_while(size_t most, std::function<void()> end) {
    ends_.push_back({fixture_.site.clock.now() + seconds(1 + draw(most)), std::move(end)});
  }
  void end_faults() {
    std::vector<End> due;
    std::erase_if(ends_, [&](End& end) {
      if (end.at > fixture_.site.clock.now()) return false;
      due.push_back(std::move(end));
      return true;
    });
    for (End& end : due) end.what();
  }
  void crash(size_t node) {
    if (fixture_.site.nodes[node]->crashed) return;
    fixture_.site.nodes[node]->paused = false;
    fixture_.site.crash(node);
    const Nanos away = draw(2) == 0 ? Nanos(Millis(200)) : Nanos(seconds(1 + draw(6)));
    ends_.push_back(
        {fixture_.site.clock.now() + away, [this, node] { fixture_.site.restart(node); }});
  }
  // The node may have been replaced by a new process meanwhile: its faults ended with it.
  void set_for_a_while(bool Site::Node::*flag, size_t node, size_t most) {
    Site::Node* process = fixture_.site.nodes[node].get();
    process->*flag = true;
    for_a_while(most, [process, flag] { process->*flag = false; });
  }
  void some_calls(CallFault call_fault) {
    fixture_.site.cloud.call_fault = [this, call_fault](const http::Call& call) {
      const bool act = is_launch(call) || is_deletion(call);
      return act && draw(3) == 0 ? call_fault : CallFault::none;
    };
    for_a_while(15, [this] { fixture_.site.cloud.call_fault = nullptr; });
  }

  void begin(Fault fault) {
    const size_t leader = fixture_.site.leader().value_or(draw(kControllers));
    switch (fault) {
      case Fault::crash:
        return crash(leader);
      case Fault::crash_all:
        for (size_t i = 0; i < kControllers; ++i) crash(i);
        return;
      case Fault::pause:
        return set_for_a_while(&Site::Node::paused, leader, 12);
      case Fault::refused_alone:
        return set_for_a_while(&Site::Node::refused_by_store, leader, 10);
      case Fault::cut_from_store:
        return set_for_a_while(&Site::Node::cut_from_store, leader, 10);
      case Fault::cut_from_cloud:
        return set_for_a_while(&Site::Node::cut_from_cloud, leader, 10);
      case Fault::late_acts:
        return some_calls(CallFault::apply_late);
      case Fault::lost_answers:
        return some_calls(CallFault::lose_reply);
      case Fault::late_writes:
        fixture_.site.store.call_fault = [this](const http::Call& call) {
          return call.target == "/multi" && draw(8) == 0 ? CallFault::apply_late : CallFault::none;
        };
        return for_a_while(10, [this] { fixture_.site.store.call_fault = nullptr; });
      case Fault::crash_successor:
        crash(leader);
        for (int i = 0; i < 1000 && !fixture_.site.leader(); ++i) fixture_.site.run_for(Millis(10));
        if (fixture_.site.leader()) crash(*fixture_.site.leader());
        return;
      case Fault::cloud_outage:
        fixture_.site.cloud.unavailable = true;
        return for_a_while(8, [this] { fixture_.site.cloud.unavailable = false; });
    }
  }

  void expect_all_settled() {
    for (const auto& violation : fixture_.history.violations()) ADD_FAILURE() << violation;
    EXPECT_EQ(fixture_.site.duplicate_starts, 0u);
    for (const auto& broken : fixture_.site.rules.violations()) ADD_FAILURE() << broken;
    for (const std::string& id : accepted_) EXPECT_EQ(fixture_.site.job_state(id, 0), "done") << id;
    EXPECT_EQ(fixture_.history.machines_held(), 0u) << "paid for and forgotten";
    for (const auto& [key, entry] : fixture_.site.store.data) {
      EXPECT_FALSE(key.starts_with(roles::scale_in_key(""))) << key << " is still open";
    }
    EXPECT_GT(fixture_.history.counts().changed, 0u);
  }

  Fixture fixture_;
  std::mt19937_64 random_;
  std::vector<Fault> kinds_;
  std::vector<std::string> accepted_;
  std::vector<End> ends_;
};

class RoleFaults : public testing::TestWithParam<int> {};

TEST_P(RoleFaults, AloneLeaveACleanHistory) {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    RandomRun(seed, {static_cast<Fault>(GetParam())}).run();
  }
}
INSTANTIATE_TEST_SUITE_P(Kinds, RoleFaults, testing::Range(0, kFaults));

class RoleConcurrentFaults : public testing::TestWithParam<int> {};

TEST_P(RoleConcurrentFaults, OfSeveralFaultsLeaveACleanHistory) {
  std::vector<Fault> all;
  all.reserve(kFaults);
  for (int i = 0; i < kFaults; ++i) all.push_back(static_cast<Fault>(i));
  RandomRun(static_cast<uint64_t>(100 + GetParam()), all).run();
}
INSTANTIATE_TEST_SUITE_P(Seeds, RoleConcurrentFaults, testing::Range(0, 36));

}  // namespace
}  // namespace dunlinknot::test
