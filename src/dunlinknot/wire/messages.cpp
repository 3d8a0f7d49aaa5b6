// Encodes and decodes the messages of messages.hpp. Their field names on the wire are used only
// here.
#include "dunlinknot/wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace dunlinknot {

namespace {

template <class E, size_t N>
using Names = std::array<std::pair<E, std::string_view>, N>;

constexpr Names<Priority, 4> kPriorities{{{Priority::production, "critical"},
                                          {Priority::high, "high"},
                                          {Priority::normal, "standard"},
                                          {Priority::low, "low"}}};
constexpr Names<TaskState, 5> kTaskStates{{{TaskState::fetching, "fetching"},
                                           {TaskState::waiting, "gathering"},
                                           {TaskState::running, "running"},
                                           {TaskState::saving, "flushing"},
                                           {TaskState::exited, "ended"}}};
constexpr Names<ExitCause, 8> kCauses{{{ExitCause::done, "done"},
                                       {ExitCause::stopped, "halted"},
                                       {ExitCause::gang_task_ended, "mates_gone"},
                                       {ExitCause::gang_incomplete, "incomplete"},
                                       {ExitCause::error, "error"},
                                       {ExitCause::no_room, "no_room"},
                                       {ExitCause::already_present, "in_use"},
                                       {ExitCause::unknown, "unknown"}}};
constexpr Names<Command::Op, 3> kOps{
    {{Command::Op::start, "run"}, {Command::Op::stop, "stop"}, {Command::Op::forget, "forget"}}};
constexpr Names<JobStatus::State, 4> kJobStates{{{JobStatus::State::queued, "queued"},
                                                 {JobStatus::State::running, "running"},
                                                 {JobStatus::State::done, "done"},
                                                 {JobStatus::State::cancelled, "cancelled"}}};
constexpr Names<MachineState, 3> kMachineStates{{{MachineState::booting, "starting"},
                                                 {MachineState::running, "running"},
                                                 {MachineState::failed, "failed"}}};

template <class E, size_t N>
std::optional<E> value_of(const Names<E, N>& names, std::optional<std::string_view> text) {
  if (!text) return std::nullopt;
  for (const auto& [value, name] : names) {
    if (name == *text) return value;
  }
  return std::nullopt;
}

template <class E, size_t N>
std::string_view name_of(const Names<E, N>& names, E value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) return name;
  }
  return "";
}

// Whether `text` may be used in keys and in other messages: not empty, at most `max_length` bytes,
// no spaces and no control characters.
bool is_plain_text(std::string_view text, size_t max_length) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) > ' ' && c != 0x7f; });
}

std::optional<double> non_negative(wire::View value) {
  const auto number = value.amount();
  return number && *number >= 0 ? number : std::nullopt;
}

}  // namespace

std::optional<TaskRef> TaskRef::parse(std::string_view text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskRef task;
  task.job = text.substr(0, slash);
  const auto result =
      std::from_chars(text.data() + slash + 1, text.data() + text.size(), task.index);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size() ||
      slash + 1 == text.size()) {
    return std::nullopt;
  }
  if (!wire::valid_job_id(task.job) || task.index >= kMaxTasks) return std::nullopt;
  return task;
}

namespace wire {

bool valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "run-";
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  return id.size() >= 6 && id.size() <= 18 &&
         std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<std::string> submitted_id(View root) {
  const auto id = root["id"].text();
  if (!id || !valid_job_id(*id)) return std::nullopt;
  return std::string(*id);
}

std::optional<JobSpec> read_job(View root, std::string& error) {
  JobSpec spec;
  const auto invalid = [&](const char* field) {
    error = std::string("missing or invalid: ") + field;
    return std::nullopt;
  };
  if (!root.is_map()) return invalid("body");
  const auto id = submitted_id(root);
  if (!id) return invalid("id");
  spec.id = *id;
  const auto name = [&](const char* field, std::string& target) {
    const auto text = root[field].text();
    if (!text || !is_plain_text(*text, 120)) return false;
    target = *text;
    return true;
  };
  if (!name("docket", spec.job_class)) return invalid("docket");
  if (!name("crew", spec.team)) return invalid("crew");
  if (!name("bundle", spec.image)) return invalid("bundle");
  const auto shape = root["shape"].text();
  if (!shape || (*shape != "batch" && *shape != "ensemble" && *shape != "service")) {
    return invalid("shape");
  }
  spec.gang = *shape == "ensemble";
  spec.service = *shape == "service";
  const auto priority = value_of(kPriorities, root["rank"].text());
  if (!priority) return invalid("rank");
  spec.priority = *priority;
  const auto tasks = root["pieces"].count();
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) return invalid("pieces");
  spec.tasks = static_cast<uint32_t>(*tasks);
  const auto amount = [&](const char* field, double& target) {
    const auto number = non_negative(root[field]);
    if (!number || *number > 1e9) return false;
    target = *number;
    return true;
  };
  if (!amount("cores", spec.need.cpus)) return invalid("cores");
  if (!amount("gpus", spec.need.gpus)) return invalid("gpus");
  if (!amount("ramGb", spec.need.memory_gb)) return invalid("ramGb");
  if (!amount("sizeGb", spec.image_gb)) return invalid("sizeGb");
  double seconds = 0;
  if (!amount("reckonS", seconds)) return invalid("reckonS");
  spec.estimate = Seconds(seconds);
  if (!amount("markEveryS", seconds)) return invalid("markEveryS");
  spec.checkpoint_interval = Seconds(seconds);
  if (!amount("markCostS", seconds)) return invalid("markCostS");
  spec.checkpoint_duration = Seconds(seconds);
  if (!root["dueS"].null()) {
    if (!amount("dueS", seconds)) return invalid("dueS");
    spec.deadline = Seconds(seconds);
  }
  if (const View types = root["rigs"]; !types.null()) {
    if (!types.is_list() || types.size() == 0 || types.size() > 32) return invalid("rigs");
    for (size_t i = 0; i < types.size(); ++i) {
      const auto text = types.at(i).text();
      if (!text || !is_plain_text(*text, 80)) return invalid("rigs");
      spec.types.emplace_back(*text);
    }
  }
  if (const View zone = root["yard"]; !zone.null()) {
    const auto text = zone.text();
    if (!text || !is_plain_text(*text, 120)) return invalid("yard");
    spec.zone = std::string(*text);
  }
  const auto flag = [&](const char* field, bool& target) {
    const auto value = root[field].flag();
    if (!value) return false;
    target = *value;
    return true;
  };
  if (!flag("together", spec.one_zone)) return invalid("together");
  if (!flag("apart", spec.spread)) return invalid("apart");
  if (!flag("loaners", spec.spot)) return invalid("loaners");
  return spec;
}

void write_job(Writer& writer, const JobSpec& spec) {
  writer.map(20);
  writer.key("id").text(spec.id).key("docket").text(spec.job_class).key("crew").text(spec.team);
  writer.key("shape").text(spec.gang ? "ensemble" : spec.service ? "service" : "batch");
  writer.key("rank").text(name_of(kPriorities, spec.priority));
  writer.key("pieces").count(spec.tasks);
  writer.key("cores").amount(spec.need.cpus).key("gpus").amount(spec.need.gpus);
  writer.key("ramGb").amount(spec.need.memory_gb);
  writer.key("bundle").text(spec.image).key("sizeGb").amount(spec.image_gb);
  writer.key("rigs");
  if (spec.types.empty()) {
    writer.null();
  } else {
    writer.list(spec.types.size());
    for (const auto& type : spec.types) writer.text(type);
  }
  writer.key("yard");
  spec.zone ? writer.text(*spec.zone) : writer.null();
  writer.key("together")
      .flag(spec.one_zone)
      .key("apart")
      .flag(spec.spread)
      .key("loaners")
      .flag(spec.spot);
  writer.key("reckonS")
      .amount(spec.estimate.count())
      .key("markEveryS")
      .amount(spec.checkpoint_interval.count());
  writer.key("markCostS").amount(spec.checkpoint_duration.count());
  writer.key("dueS");
  spec.deadline ? writer.amount(spec.deadline->count()) : writer.null();
}

std::string write_job_status(const JobStatus& status, bool with_counts) {
  Writer writer;
  writer.map(with_counts ? 4 : 2)
      .key("id")
      .text(status.id)
      .key("standing")
      .text(name_of(kJobStates, status.state));
  if (with_counts) writer.key("done").count(status.done).key("running").count(status.running);
  return writer.take();
}

std::string write_error(std::string_view text) {
  Writer writer;
  writer.map(1).key("error").text(text);
  return writer.take();
}

std::optional<Heartbeat> read_heartbeat(std::string_view body) {
  const auto document = Document::parse(body);
  if (!document) return std::nullopt;
  const View root = document->root();
  Heartbeat heartbeat;
  const auto name = [&](const char* field, std::string& target) {
    const auto text = root[field].text();
    if (!text || !is_plain_text(*text, 150)) return false;
    target = *text;
    return true;
  };
  if (!name("host", heartbeat.machine) || !name("address", heartbeat.address) ||
      !name("rig", heartbeat.type) || !name("yard", heartbeat.zone)) {
    return std::nullopt;
  }
  const auto spot = root["loaners"].flag();
  const auto incarnation = root["shift"].count();
  const auto sequence = root["tally"].count();
  if (!spot || !incarnation || !sequence) return std::nullopt;
  heartbeat.spot = *spot;
  heartbeat.incarnation = *incarnation;
  heartbeat.sequence = *sequence;
  heartbeat.fencing_token = root["baton"].count().value_or(0);
  if (!root["recallS"].null()) {
    const auto seconds = root["recallS"].amount();
    if (!seconds) return std::nullopt;
    heartbeat.interruption_notice = Seconds(std::max(0.0, *seconds));
  }
  const View tasks = root["pieces"];
  if (!tasks.null() && !tasks.is_list()) return std::nullopt;
  heartbeat.tasks.reserve(tasks.size());
  for (size_t i = 0; i < tasks.size(); ++i) {
    const View value = tasks.at(i);
    TaskStatus status;
    const auto task_text = value["piece"].text();
    const auto task = task_text ? TaskRef::parse(*task_text) : std::nullopt;
    const auto attempt = value["try"].count();
    const auto state = value_of(kTaskStates, value["standing"].text());
    // Tasks that are not listed count as absent from the machine, so a heartbeat with an unreadable
    // entry is discarded entirely.
    if (!task || !attempt || !state) return std::nullopt;
    status.task = *task;
    status.attempt = *attempt;
    status.state = *state;
    if (*state == TaskState::exited) {
      status.cause = value_of(kCauses, value["cause"].text()).value_or(ExitCause::error);
    }
    status.saved = value["stored"].flag().value_or(false);
    heartbeat.tasks.push_back(std::move(status));
  }
  return heartbeat;
}

std::string write_heartbeat(const Heartbeat& heartbeat) {
  Writer writer;
  writer.map(10)
      .key("host")
      .text(heartbeat.machine)
      .key("address")
      .text(heartbeat.address)
      .key("rig")
      .text(heartbeat.type);
  writer.key("yard")
      .text(heartbeat.zone)
      .key("loaners")
      .flag(heartbeat.spot)
      .key("shift")
      .count(heartbeat.incarnation);
  writer.key("tally")
      .count(heartbeat.sequence)
      .key("baton")
      .count(heartbeat.fencing_token)
      .key("recallS");
  heartbeat.interruption_notice ? writer.amount(heartbeat.interruption_notice->count())
                                : writer.null();
  writer.key("pieces").list(heartbeat.tasks.size());
  for (const auto& task : heartbeat.tasks) {
    const bool exited = task.state == TaskState::exited;
    writer.map(exited ? 5 : 3).key("piece").text(task.task.text()).key("try").count(task.attempt);
    writer.key("standing").text(name_of(kTaskStates, task.state));
    if (exited)
      writer.key("cause").text(name_of(kCauses, task.cause)).key("stored").flag(task.saved);
  }
  return writer.take();
}

std::string write_commands(uint64_t fencing_token, std::optional<uint64_t> incarnation,
                           const std::vector<Command>& commands) {
  Writer writer;
  writer.map(incarnation ? 3 : 2).key("baton").count(fencing_token);
  if (incarnation) writer.key("shift").count(*incarnation);
  writer.key("orders").list(commands.size());
  for (const auto& command : commands) {
    const bool stop = command.op == Command::Op::stop;
    writer.map(stop ? 4 : 3)
        .key("verb")
        .text(name_of(kOps, command.op))
        .key("piece")
        .text(command.task.text());
    writer.key("try").count(command.attempt);
    if (stop) writer.key("windDownS").amount(command.grace.count());
  }
  return writer.take();
}

std::string write_misdirected(const std::optional<std::string>& leader) {
  Writer writer;
  writer.map(leader ? 1 : 0);
  if (leader) writer.key("foreman").text(*leader);
  return writer.take();
}

std::optional<std::vector<MachineType>> read_catalog(std::string_view body) {
  const auto document = Document::parse(body);
  return document ? read_catalog(document->root()) : std::nullopt;
}

std::optional<std::vector<MachineType>> read_catalog(View root) {
  const View entries = root["rigs"];
  if (!entries.is_list()) return std::nullopt;
  std::vector<MachineType> types;
  for (size_t i = 0; i < entries.size(); ++i) {
    const View value = entries.at(i);
    const auto name = value["label"].text();
    const auto cpus = non_negative(value["cores"]);
    const auto memory = non_negative(value["ramGb"]);
    if (!name || !is_plain_text(*name, 80) || !cpus || !memory) return std::nullopt;
    MachineType machine_type;
    machine_type.name = *name;
    machine_type.size = Resources{*cpus, non_negative(value["gpus"]).value_or(0), *memory};
    machine_type.cache_gb = non_negative(value["cacheGb"]).value_or(0);
    machine_type.fetch_gb_per_s = non_negative(value["fetchGbPerS"]).value_or(0);
    machine_type.price = non_negative(value["rate"]).value_or(0);
    machine_type.spot_price = non_negative(value["lowPrice"]).value_or(machine_type.price);
    machine_type.boot = Seconds(non_negative(value["startupS"]).value_or(60));
    const View zones = value["yards"];
    for (size_t j = 0; j < zones.size(); ++j) {
      if (const auto zone = zones.at(j).text()) machine_type.zones.emplace_back(*zone);
    }
    types.push_back(std::move(machine_type));
  }
  if (types.empty()) return std::nullopt;
  return types;
}

std::string write_catalog(const std::vector<MachineType>& types) {
  Writer writer;
  writer.map(1).key("rigs").list(types.size());
  for (const auto& type : types) {
    writer.map(10).key("label").text(type.name).key("cores").amount(type.size.cpus);
    writer.key("gpus").amount(type.size.gpus).key("ramGb").amount(type.size.memory_gb);
    writer.key("cacheGb").amount(type.cache_gb).key("fetchGbPerS").amount(type.fetch_gb_per_s);
    writer.key("rate").amount(type.price).key("lowPrice").amount(type.spot_price);
    writer.key("startupS").amount(type.boot.count()).key("yards").list(type.zones.size());
    for (const auto& zone : type.zones) writer.text(zone);
  }
  return writer.take();
}

std::optional<MachineList> read_machines(std::string_view body) {
  const auto document = Document::parse(body);
  if (!document || !document->root()["hosts"].is_list()) return std::nullopt;
  MachineList list;
  list.more = document->root()["more"].flag().value_or(false);
  const View machines = document->root()["hosts"];
  for (size_t i = 0; i < machines.size(); ++i) {
    const View value = machines.at(i);
    const auto id = value["id"].text();
    const auto type = value["rig"].text();
    const auto zone = value["yard"].text();
    const auto state = value_of(kMachineStates, value["standing"].text());
    if (!id || !is_plain_text(*id, 150) || !type || !zone || !state) return std::nullopt;
    ListedMachine listed;
    listed.id = *id;
    listed.address = value["address"].text().value_or("");
    listed.type = *type;
    listed.zone = *zone;
    listed.spot = value["loaners"].flag().value_or(false);
    listed.state = *state;
    listed.age = Seconds(non_negative(value["heldS"]).value_or(0));
    list.machines.push_back(std::move(listed));
  }
  return list;
}

std::optional<std::vector<std::string>> read_launched(std::string_view body) {
  const auto document = Document::parse(body);
  if (!document || !document->root()["hosts"].is_list()) return std::nullopt;
  std::vector<std::string> ids;
  const View machines = document->root()["hosts"];
  for (size_t i = 0; i < machines.size(); ++i) {
    const auto id = machines.at(i).text();
    if (!id || !is_plain_text(*id, 150)) return std::nullopt;
    ids.emplace_back(*id);
  }
  return ids;
}

std::string write_launch_request(std::string_view request, std::string_view type,
                                 std::string_view zone, bool spot, uint32_t count) {
  Writer writer;
  writer.map(5).key("hire").text(request).key("rig").text(type).key("yard").text(zone);
  writer.key("loaners").flag(spot).key("count").count(count);
  return writer.take();
}

std::string write_termination_request(const std::vector<std::string>& machines) {
  Writer writer;
  writer.map(1).key("hosts").list(machines.size());
  for (const auto& machine : machines) writer.text(machine);
  return writer.take();
}

}  // namespace wire
}  // namespace dunlinknot
