// A small scripted world for the tests: a clock moved by hand, a key-value store with guards,
// leases, watches and late transactions, a cloud whose list lags, and workers that keep the
// protocol.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/node/daemon.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/records.hpp"
#include "rules.hpp"

namespace dunlinknot::test {

using std::chrono::seconds;

class FakeClock final : public Clock {
 public:
  Instant now() const override { return now_; }
  WallTime wall() const override {
    return WallTime(Millis(1'700'000'000'000)) +
           std::chrono::duration_cast<Millis>(now_ + wall_jump - Instant(seconds(1000)));
  }
  Instant boot() const override { return now_ + suspended; }
  void set(Instant t) { now_ = t; }

  Nanos suspended{0};  // for which the steady clock stood still
  Nanos wall_jump{0};

 private:
  Instant now_{seconds(1000)};
};

// Moves time forward from timer to timer; nothing sleeps.
class World {
 public:
  World() : loop(clock, false) {}
  FakeClock clock;
  EventLoop loop;

  void run_for(Nanos d) {
    const Instant end = clock.now() + d;
    for (;;) {
      loop.run_ready();
      const Instant next = loop.next_timer();
      if (next > end) break;
      clock.set(std::max(next, clock.now()));
      loop.fire_due();
    }
    clock.set(end);
    loop.run_ready();
  }
  // Runs a task to its end (within a bound) and returns what it gave.
  template <class T>
  T get(Task<T> task, Nanos within = seconds(60)) {
    auto out = std::make_shared<std::optional<T>>();
    loop.spawn(store(std::move(task), out));
    const Instant end = clock.now() + within;
    while (!*out && clock.now() < end) run_for(Millis(5));
    if (!*out) throw std::runtime_error("the task did not end in time");
    return std::move(**out);
  }

 private:
  template <class T>
  static Task<void> store(Task<T> task, std::shared_ptr<std::optional<T>> out) {
    out->emplace(co_await task);
  }
};

// What happens to one call on its way.
enum class Fate { normal, refuse, lose_request, lose_reply, slow_reply, apply_late };

// A response with this status.
http::Reply reply(int status, std::string body = "");
// What the caller sees of a reply: none that is larger than it takes.
http::Reply within_limit(const http::Call& call, http::Reply reply);
// The value of a parameter of a request's target; empty where it is missing.
std::string query_value(const std::string& target, const std::string& name);

class ScriptedStore {
 public:
  explicit ScriptedStore(EventLoop& loop) : loop_(loop) {}
  Task<http::Reply> serve(http::Call call);

  bool outage = false;
  bool too_old = false;                                // watches are answered 410
  void end_outage();                                   // every lease has its full time again
  std::function<Fate(const http::Call&)> fate;         // asked for each call
  std::function<void(const std::string&)> on_removed;  // a key that a transaction deletes
  std::function<void(const std::string&)> on_change;   // a key that was put or deleted
  Nanos late_by = seconds(10);
  uint64_t requests = 0;
  size_t max_value = 0, max_writes = 0;  // the largest seen
  // Enforced where set: a larger value or transaction gets 400, writes beyond the rate 429.
  std::optional<settings::StoreLimits> limits;
  size_t malformed = 0, throttled = 0;  // requests refused for them

  struct Entry {
    std::string value;  // packed
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
  };
  std::map<std::string, Entry> data;
  void put(const std::string& key, std::string value);  // as another client would
  void erase(const std::string& key);

 private:
  struct Lease {
    Millis ttl;
    Instant ends;
  };
  struct Event {
    uint64_t revision;
    std::string key;
    bool deleted;
    std::string value;
  };
  void expire();
  http::Reply execute(const http::Call& call);
  http::Reply lease_request(const std::string& method, const std::string& target);
  http::Reply read_key(const std::string& target) const;
  http::Reply list_keys(const std::string& target) const;
  http::Reply multi(wire::View root);
  bool takes(wire::View compares, wire::View writes) const;
  bool within_rate(size_t writes);
  Task<void> multi_later(std::string body);
  Task<http::Reply> changes(std::string target, Instant deadline);
  void note(std::string key, bool deleted, std::string value);

  EventLoop& loop_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  std::map<uint64_t, Lease> leases_;
  std::deque<Event> events_;
  uint64_t forgotten_ = 0;  // changes up to this revision are no longer kept
  double write_level_ = 0;
  Instant write_level_at_{};
};

// The size of a value in JSON without any spaces.
size_t compact_json_size(wire::View value);

class ScriptedCloud {
 public:
  explicit ScriptedCloud(EventLoop& loop) : loop_(loop) {}
  // `sender_token`: of the role under which the sender acts, for the history.
  Task<http::Reply> serve(http::Call call, uint64_t sender_token = 0);

  // A request that was carried out, whether or not it changed anything.
  struct Act {
    std::string request;  // of a launch; empty: a deletion
    std::vector<std::string> machines;
    bool changed = false;
    uint64_t sender_token = 0;
  };
  std::function<void(const Act&)> on_act;
  std::function<Fate(const http::Call&)> fate;  // asked for each call
  Nanos late_by = seconds(10);

  struct Machine {
    std::string id, type, zone;
    bool spot = false;
    Instant since{};
    bool removed = false;
    Instant removed_at{};
    std::string address;
  };
  std::vector<MachineType> types;
  std::string machine_address = "10.1.0.1:9000";  // of each machine that is launched
  std::map<std::string, uint32_t> capacity;       // "type/zone/spot|ordinary"; absent: 0
  bool trouble = false;
  bool lose_launch_replies = false;
  Nanos lag = seconds(8);
  std::map<std::string, Machine> machines;
  std::map<std::string, std::vector<std::string>> answered;  // by request name
  uint64_t launches = 0, refusals = 0, lists = 0;
  std::function<void(const Machine&)> on_launched;
  std::function<void(const std::string&)> on_deleted;
  std::vector<std::string> deletions;

 private:
  Task<void> execute_later(http::Call call, uint64_t sender_token);
  http::Reply execute(const http::Call& call, uint64_t sender_token);
  http::Reply launch(const http::Call& call, uint64_t sender_token);
  http::Reply remove(const http::Call& call, uint64_t sender_token);
  http::Reply list(const http::Call& call);

  EventLoop& loop_;
  uint64_t next_ = 1;
};

// A worker that keeps to the protocol: fencing tokens, incarnations, leases, dropped responses.
class Worker {
 public:
  struct Running {
    TaskRef task;
    uint64_t attempt;
    TaskState state;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    Instant since{};
    Instant ends{};
  };
  Worker(EventLoop& loop, std::string id, const MachineType& type, std::string zone, bool spot,
         std::string address, Nanos lease);

  Task<void> run(std::function<Task<http::Response>(http::Request)> handler, Nanos pace);
  Task<void> watch_lease();
  void power_off();
  Task<http::Reply> direct(http::Call call);  // POST /do
  Heartbeat heartbeat();
  void obey(wire::View orders);
  void lose_lease();

  bool on = true;
  bool cut = false;             // nothing in or out
  bool drop_responses = false;  // they come too late
  bool refuse_direct = false;
  bool mute = false;  // reaches no controller; direct commands reach it
  bool hung = false;  // executes nothing, and may go on; direct commands wait for it
  std::function<Nanos(const TaskRef&)> run_time;    // default 5 s
  std::function<Nanos(const TaskRef&)> fetch_time;  // of its image, default none
  std::function<bool(const TaskRef&)> fails;        // default never
  std::map<std::string, JobSpec>* specs = nullptr;
  std::optional<Seconds> interruption_notice;
  std::map<std::pair<TaskRef, uint64_t>, Running> tasks;
  std::vector<std::pair<TaskRef, uint64_t>> started;
  std::function<void(const TaskRef&)> on_start;
  std::function<void(const Running&)> on_end;
  uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  std::string id;
  std::string address;

 private:
  void advance();
  void begin(Running& r);
  void end(Running& r, ExitCause cause);
  void end_all();
  http::Reply execute(const std::string& body);
  Task<void> execute_later(std::string body);
  EventLoop& loop_;
  MachineType type_;
  std::string zone_;
  bool spot_;
  Nanos lease_;
  Instant answered_sent_;
};

// Everything together: any number of controllers over one key-value store and one cloud.
class Site : public World {
 public:
  explicit Site(size_t controllers = 1);
  ~Site() { loop.abandon(); }

  // One process of one controller. A crashed one stays in memory, but nothing goes in or out of it.
  struct Node : http::Transport {
    Node(Site& site, size_t index);
    Task<http::Reply> exchange(http::Call call) override;
    Task<http::Reply> deliver(http::Call call);
    Site& site;
    settings::Platform platform;
    std::unique_ptr<node::Daemon> daemon;
    bool dead = false;
    bool cut_from_store = false;
    bool refused_by_store = false;  // 503, while others may be served
    bool cut_from_peers = false;
    bool cut_from_cloud = false;
    // Stands still: what it is about to send goes out when it goes on, without another look.
    bool paused = false;
  };
  void crash(size_t i) { nodes[i]->dead = true; }
  void restart(size_t i);
  Task<http::Response> handle(size_t i, http::Request request);

  static settings::Platform platform(size_t index, size_t count);
  node::Daemon& daemon(size_t i) { return *nodes[i]->daemon; }
  std::optional<size_t> leader() const;
  void add_worker(const ScriptedCloud::Machine& machine);
  // One user's request, watched by the rules.
  Task<http::Response> request(size_t node, std::string method, std::string target,
                               std::string body = "");
  http::Response ask(size_t node, std::string method, std::string target, std::string body = "");
  http::Response cancel(const std::string& id, size_t node = 0) {
    return ask(node, "POST", "/v1/jobs/" + id + "/withdraw");
  }
  http::Response submit(const JobSpec& spec, size_t node = 0);
  std::string standing(const std::string& id, size_t node = 0);
  // How many machines the task is on at this moment.
  size_t copies(const TaskRef& task) const;

  settings::Operator op;
  // Applied to the platform's settings of every process that starts from now on.
  std::function<void(settings::Platform&)> adjust_platform;
  const settings::Platform rules_platform = platform(0, 3);
  Rules rules{clock, rules_platform};
  ScriptedStore store{loop};
  ScriptedCloud cloud{loop};
  std::map<std::string, JobSpec> specs;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Node>> graveyard;
  std::set<std::pair<size_t, std::string>> cut;  // node and machine that do not reach one another
  std::map<std::string, std::unique_ptr<Worker>> workers;
  size_t ran_twice = 0;
  size_t starts = 0;
  std::function<void(Worker&)> on_worker;  // each new one
  // Each call of a controller, as it is about to be sent.
  std::function<void(Node&, const http::Call&)> on_send;
  // What passes between the peers and a controller; for measuring what its encoding costs.
  std::function<http::Request(http::Request)> on_request;
  std::function<void(const http::Response&)> on_response;

 private:
  Task<void> scan_rules();
  Task<void> exchange_statuses();
};

JobSpec job(const std::string& id, uint32_t tasks = 1);
// A transaction that has to do with this key.
bool is_commit_of(const http::Call& call, std::string_view key);
// Fails the test that calls it with every rule that was broken in the scenario so far.
void expect_rules(const Site& site);

}  // namespace dunlinknot::test
