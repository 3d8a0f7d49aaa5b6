// Typed messages exchanged with users, workers and the cloud, and their MessagePack encoding. The
// field names on the wire are used in messages.cpp only.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot {

// Resources of a machine, or resources required by a task.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Tolerance of comparisons. Amounts are sums of decimal fractions, and rounding errors must not
  // reject a task that fits exactly.
  static constexpr double kTolerance = 1e-6;
  bool fits_in(const Resources& available) const {
    return cpus <= available.cpus + kTolerance && gpus <= available.gpus + kTolerance &&
           memory_gb <= available.memory_gb + kTolerance;
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
  friend Resources operator*(Resources amounts, double factor) {
    amounts.cpus *= factor, amounts.gpus *= factor, amounts.memory_gb *= factor;
    return amounts;
  }
};

// Job priorities in ascending order.
enum class Priority : uint8_t { low = 0, normal = 1, high = 2, production = 3 };

// A job as submitted by a user. It does not change after submission.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  bool gang = false;  // all tasks must run at the same time
  // The tasks are replicas, which run until the job is cancelled. They are placed like the tasks of
  // a job array.
  bool service = false;
  Priority priority = Priority::normal;
  uint32_t tasks = 0;
  Resources need;  // of each task
  std::string image;
  double image_gb = 0;              // size of the image
  std::vector<std::string> types;   // allowed machine types; empty: any
  std::optional<std::string> zone;  // the only allowed zone; empty: any
  bool one_zone = false;            // all tasks in the same zone
  bool spread = false;              // at most half of the tasks, rounded up, in one zone
  bool spot = false;                // may run on spot machines
  Seconds estimate{0};              // estimated run time
  Seconds checkpoint_interval{0};   // interval between checkpoints; 0: takes no checkpoints
  Seconds checkpoint_duration{0};   // time needed to save a checkpoint
  std::optional<Seconds> deadline;  // time limit for completion, counted from submission
};

// Maximum number of tasks of one job.
inline constexpr uint32_t kMaxTasks = 100'000;

// A machine type of the cloud's catalog. Prices are per hour.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;        // size of the image cache
  double fetch_gb_per_s = 0;  // rate of image downloads
  double price = 0;
  double spot_price = 0;
  Seconds boot{0};  // time from the launch until the machine is up
  std::vector<std::string> zones;
};

// State of an attempt on its machine. `waiting`: the task waits until all tasks of its gang are
// ready. `saving`: the task saves a checkpoint before it stops.
enum class TaskState : uint8_t { fetching, waiting, running, saving, exited };
// Why an attempt ended. `gang_task_ended`: another task of the gang ended. `gang_incomplete`: the
// gang was not complete within the gang's waiting time. `no_room`: the machine has too few free
// resources. `already_present`: another attempt of the task is on the machine. With `no_room`,
// `already_present` and `unknown` the worker refused to start the attempt.
enum class ExitCause : uint8_t {
  none,
  done,
  stopped,
  gang_task_ended,
  gang_incomplete,
  error,
  no_room,
  already_present,
  unknown
};

// Identifies one task of a job.
struct TaskRef {
  std::string job;
  uint32_t index = 0;
  // The form used on the wire: JOB/INDEX.
  std::string text() const { return job + "/" + std::to_string(index); }
  static std::optional<TaskRef> parse(std::string_view text);
  auto operator<=>(const TaskRef&) const = default;
};

// Status of one attempt of a task, as reported by a worker.
struct TaskStatus {
  TaskRef task;
  uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;  // a checkpoint was saved before the exit
};

// Status of a worker and of all its attempts: an attempt that is not listed is not on the machine.
// Heartbeats of one worker are ordered by incarnation, then by sequence number.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;                  // the highest that the worker has received; 0: none
  std::optional<Seconds> interruption_notice;  // time left until the cloud reclaims the machine
  std::vector<TaskStatus> tasks;
};

// A command of the leader to a worker about one attempt of a task.
struct Command {
  enum class Op : uint8_t { start, stop, forget };
  Op op = Op::start;
  TaskRef task;
  uint64_t attempt = 0;
  Seconds grace{0};  // grace period of a stop
};

// Status of a job as returned to users.
struct JobStatus {
  enum class State : uint8_t { queued, running, done, cancelled };
  std::string id;
  State state = State::queued;
  uint32_t done = 0;
  uint32_t running = 0;
};

enum class MachineState : uint8_t { booting, running, failed };

// An entry of the cloud's machine list. The list lags behind the actual state.
struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Seconds age{0};  // time since the launch
};

// One page of the cloud's machine list.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;  // further pages follow
};

namespace wire {

// Returns whether `id` is "run-" followed by 6 to 18 digits.
bool valid_job_id(std::string_view id);

// Reads only the job id of a submission: the submission of a known id is answered before the other
// fields are validated. Empty if the id is missing or invalid.
std::optional<std::string> submitted_id(View root);
// Reads and validates a submission or the spec in a job record. On failure it returns nothing and
// sets `error` to the text for the user.
std::optional<JobSpec> read_job(View root, std::string& error);
void write_job(Writer& writer, const JobSpec& job);

std::string write_job_status(const JobStatus& status, bool with_counts);
std::string write_error(std::string_view text);

// Empty if any part of the heartbeat cannot be read.
std::optional<Heartbeat> read_heartbeat(std::string_view body);
std::string write_heartbeat(const Heartbeat& heartbeat);  // for the tests' scripted workers
// The response to a heartbeat, or the body of a call to a worker. `incarnation`, if set, restricts
// the commands to that incarnation of the worker.
std::string write_commands(uint64_t fencing_token, std::optional<uint64_t> incarnation,
                           const std::vector<Command>& commands);
// The response of a node that is not the leader: names the leader if it is known.
std::string write_misdirected(const std::optional<std::string>& leader);

std::optional<std::vector<MachineType>> read_catalog(std::string_view body);
std::optional<std::vector<MachineType>> read_catalog(View root);
std::string write_catalog(const std::vector<MachineType>& types);
std::optional<MachineList> read_machines(std::string_view body);
// The ids of the machines that a launch request started.
std::optional<std::vector<std::string>> read_launched(std::string_view body);
// `request` identifies the launch, so that a retry does not launch machines twice.
std::string write_launch_request(std::string_view request, std::string_view type,
                                 std::string_view zone, bool spot, uint32_t count);
std::string write_termination_request(const std::vector<std::string>& machines);

}  // namespace wire
}  // namespace dunlinknot
