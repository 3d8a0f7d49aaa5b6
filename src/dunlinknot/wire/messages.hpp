// The messages of the platform's interfaces, typed. The names on the wire are in messages.cpp only.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot {

// Amounts of what machines have and tasks need.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Amounts are sums of decimals: a hair of rounding must not turn a fit into a misfit.
  static constexpr double kSlack = 1e-6;
  bool fits_in(const Resources& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, memory_gb -= other.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources left, const Resources& right) { return left += right; }
  friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
  friend Resources operator*(Resources each, double times) {
    each.cpus *= times, each.gpus *= times, each.memory_gb *= times;
    return each;
  }
};

enum class Priority : uint8_t { low = 0, normal = 1, high = 2, production = 3 };

// A job as it was submitted; never changes.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  bool gang = false;
  bool service = false;  // its tasks run until they are cancelled; placed like an array's
  Priority priority = Priority::normal;
  uint32_t tasks = 0;
  Resources need;  // of each task
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // allowed machine types; empty: any
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  Seconds estimate{0};
  Seconds checkpoint{0};  // 0: never saves
  Seconds save{0};
  std::optional<Seconds> deadline;
};

inline constexpr uint32_t kMaxTasks = 100'000;

// A type of machine that the cloud offers. Prices are per hour.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Seconds boot{0};
  std::vector<std::string> zones;
};

enum class TaskState : uint8_t { fetching, waiting, running, saving, exited };
enum class ExitCause : uint8_t { none, done, stopped, peers, alone, error, no_room, busy, unknown };

// One task of a job.
struct TaskRef {
  std::string job;
  uint32_t index = 0;
  std::string text() const { return job + "/" + std::to_string(index); }
  static std::optional<TaskRef> parse(std::string_view text);
  auto operator<=>(const TaskRef&) const = default;
};

// What a worker says of one attempt of a task.
struct TaskStatus {
  TaskRef task;
  uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

// A worker's status: complete, so what is not in it is not on the machine. Incarnation, then
// sequence, tell the newer of two.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  std::optional<Seconds> interruption_notice;
  std::vector<TaskStatus> tasks;
};

// What the leader tells a worker to do about one attempt of a task.
struct Command {
  enum class Op : uint8_t { start, stop, forget };
  Op op = Op::start;
  TaskRef task;
  uint64_t attempt = 0;
  Seconds grace{0};
};

// What a user is told of a job.
struct JobStatus {
  enum class State : uint8_t { queued, running, done, cancelled };
  std::string id;
  State state = State::queued;
  uint32_t done = 0;
  uint32_t running = 0;
};

enum class MachineState : uint8_t { booting, running, failed };

// A machine in the list of the cloud, which lags.
struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Seconds age{0};
};

// One page of that list.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};

namespace wire {

bool valid_job_id(std::string_view id);

// A submission: the id is read on its own, since a known id is answered before anything is checked.
std::optional<std::string> submitted_id(View root);
std::optional<JobSpec> read_job(View root, std::string& why);
void write_job(Writer& writer, const JobSpec& job);

std::string write_job_status(const JobStatus& standing, bool with_counts);
std::string write_error(std::string_view text);

std::optional<Heartbeat> read_heartbeat(std::string_view body);
std::string write_heartbeat(const Heartbeat& heartbeat);  // for scripted workers
std::string write_commands(uint64_t fencing_token, std::optional<uint64_t> incarnation,
                           const std::vector<Command>& commands);
std::string write_misdirected(const std::optional<std::string>& leader);

std::optional<std::vector<MachineType>> read_catalog(std::string_view body);
std::optional<std::vector<MachineType>> read_catalog(View root);
std::string write_catalog(const std::vector<MachineType>& types);
std::optional<MachineList> read_machines(std::string_view body);
std::optional<std::vector<std::string>> read_launched(std::string_view body);
std::string write_launch_request(std::string_view request, std::string_view type,
                                 std::string_view zone, bool spot, uint32_t count);
std::string write_termination_request(const std::vector<std::string>& machines);

}  // namespace wire
}  // namespace dunlinknot
