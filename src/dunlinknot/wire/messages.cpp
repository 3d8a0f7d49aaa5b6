// The platform's messages: the only place that knows their field names.
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
                                       {ExitCause::peers, "mates_gone"},
                                       {ExitCause::alone, "incomplete"},
                                       {ExitCause::error, "error"},
                                       {ExitCause::no_room, "no_room"},
                                       {ExitCause::busy, "in_use"},
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
  for (const auto& [v, name] : names) {
    if (v == value) return name;
  }
  return "";
}

// Text that goes into keys or onto other wires: short, printable, no spaces.
bool plain_text(std::string_view s, size_t most) {
  return !s.empty() && s.size() <= most && std::all_of(s.begin(), s.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != 0x7f;
  });
}

std::optional<double> positive(wire::View value) {
  const auto d = value.amount();
  return d && *d >= 0 ? d : std::nullopt;
}

}  // namespace

std::optional<TaskRef> TaskRef::parse(std::string_view text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskRef task;
  task.job = text.substr(0, slash);
  const auto r = std::from_chars(text.data() + slash + 1, text.data() + text.size(), task.index);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size() || slash + 1 == text.size()) {
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

std::optional<JobSpec> read_job(View root, std::string& why) {
  JobSpec spec;
  const auto bad = [&](const char* field) {
    why = std::string("missing or invalid: ") + field;
    return std::nullopt;
  };
  if (!root.is_map()) return bad("body");
  const auto id = submitted_id(root);
  if (!id) return bad("id");
  spec.id = *id;
  const auto name = [&](const char* field, std::string& into) {
    const auto t = root[field].text();
    if (!t || !plain_text(*t, 120)) return false;
    into = *t;
    return true;
  };
  if (!name("docket", spec.job_class)) return bad("docket");
  if (!name("crew", spec.team)) return bad("crew");
  if (!name("bundle", spec.image)) return bad("bundle");
  const auto shape = root["shape"].text();
  if (!shape || (*shape != "batch" && *shape != "ensemble" && *shape != "service")) {
    return bad("shape");
  }
  spec.gang = *shape == "ensemble";
  spec.service = *shape == "service";
  const auto rank = value_of(kPriorities, root["rank"].text());
  if (!rank) return bad("rank");
  spec.priority = *rank;
  const auto pieces = root["pieces"].count();
  if (!pieces || *pieces < 1 || *pieces > kMaxTasks) return bad("pieces");
  spec.tasks = static_cast<uint32_t>(*pieces);
  const auto amount = [&](const char* field, double& into) {
    const auto d = positive(root[field]);
    if (!d || *d > 1e9) return false;
    into = *d;
    return true;
  };
  if (!amount("cores", spec.need.cpus)) return bad("cores");
  if (!amount("gpus", spec.need.gpus)) return bad("gpus");
  if (!amount("ramGb", spec.need.memory_gb)) return bad("ramGb");
  if (!amount("sizeGb", spec.image_gb)) return bad("sizeGb");
  double s = 0;
  if (!amount("reckonS", s)) return bad("reckonS");
  spec.estimate = Seconds(s);
  if (!amount("markEveryS", s)) return bad("markEveryS");
  spec.checkpoint = Seconds(s);
  if (!amount("markCostS", s)) return bad("markCostS");
  spec.save = Seconds(s);
  if (!root["dueS"].null()) {
    if (!amount("dueS", s)) return bad("dueS");
    spec.deadline = Seconds(s);
  }
  if (const View rigs = root["rigs"]; !rigs.null()) {
    if (!rigs.is_list() || rigs.size() == 0 || rigs.size() > 32) return bad("rigs");
    for (size_t i = 0; i < rigs.size(); ++i) {
      const auto t = rigs.at(i).text();
      if (!t || !plain_text(*t, 80)) return bad("rigs");
      spec.types.emplace_back(*t);
    }
  }
  if (const View yard = root["yard"]; !yard.null()) {
    const auto t = yard.text();
    if (!t || !plain_text(*t, 120)) return bad("yard");
    spec.zone = std::string(*t);
  }
  const auto flag = [&](const char* field, bool& into) {
    const auto f = root[field].flag();
    if (!f) return false;
    into = *f;
    return true;
  };
  if (!flag("together", spec.one_zone)) return bad("together");
  if (!flag("apart", spec.spread)) return bad("apart");
  if (!flag("loaners", spec.spot)) return bad("loaners");
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
    for (const auto& t : spec.types) writer.text(t);
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
      .amount(spec.checkpoint.count());
  writer.key("markCostS").amount(spec.save.count());
  writer.key("dueS");
  spec.deadline ? writer.amount(spec.deadline->count()) : writer.null();
}

std::string write_job_status(const JobStatus& standing, bool with_counts) {
  Writer writer;
  writer.map(with_counts ? 4 : 2)
      .key("id")
      .text(standing.id)
      .key("standing")
      .text(name_of(kJobStates, standing.state));
  if (with_counts) writer.key("done").count(standing.done).key("running").count(standing.running);
  return writer.take();
}

std::string write_error(std::string_view text) {
  Writer writer;
  writer.map(1).key("error").text(text);
  return writer.take();
}

std::optional<Heartbeat> read_heartbeat(std::string_view body) {
  const auto doc = Document::parse(body);
  if (!doc) return std::nullopt;
  const View view = doc->root();
  Heartbeat heartbeat;
  const auto name = [&](const char* field, std::string& into) {
    const auto t = view[field].text();
    if (!t || !plain_text(*t, 150)) return false;
    into = *t;
    return true;
  };
  if (!name("host", heartbeat.machine) || !name("address", heartbeat.address) ||
      !name("rig", heartbeat.type) || !name("yard", heartbeat.zone)) {
    return std::nullopt;
  }
  const auto spot = view["loaners"].flag();
  const auto incarnation = view["shift"].count();
  const auto sequence = view["tally"].count();
  if (!spot || !incarnation || !sequence) return std::nullopt;
  heartbeat.spot = *spot;
  heartbeat.incarnation = *incarnation;
  heartbeat.sequence = *sequence;
  heartbeat.fencing_token = view["baton"].count().value_or(0);
  if (!view["recallS"].null()) {
    const auto s = view["recallS"].amount();
    if (!s) return std::nullopt;
    heartbeat.interruption_notice = Seconds(std::max(0.0, *s));
  }
  const View tasks = view["pieces"];
  if (!tasks.null() && !tasks.is_list()) return std::nullopt;
  heartbeat.tasks.reserve(tasks.size());
  for (size_t i = 0; i < tasks.size(); ++i) {
    const View value = tasks.at(i);
    TaskStatus out;
    const auto ref = value["piece"].text();
    const auto parsed = ref ? TaskRef::parse(*ref) : std::nullopt;
    const auto attempt = value["try"].count();
    const auto state = value_of(kTaskStates, value["standing"].text());
    // A heartbeat that can't be read in full proves nothing about what is not in it: drop it whole.
    if (!parsed || !attempt || !state) return std::nullopt;
    out.task = *parsed;
    out.attempt = *attempt;
    out.state = *state;
    if (*state == TaskState::exited) {
      out.cause = value_of(kCauses, value["cause"].text()).value_or(ExitCause::error);
    }
    out.saved = value["stored"].flag().value_or(false);
    heartbeat.tasks.push_back(std::move(out));
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
  for (const auto& t : heartbeat.tasks) {
    const bool ended = t.state == TaskState::exited;
    writer.map(ended ? 5 : 3).key("piece").text(t.task.text()).key("try").count(t.attempt);
    writer.key("standing").text(name_of(kTaskStates, t.state));
    if (ended) writer.key("cause").text(name_of(kCauses, t.cause)).key("stored").flag(t.saved);
  }
  return writer.take();
}

std::string write_commands(uint64_t fencing_token, std::optional<uint64_t> incarnation,
                           const std::vector<Command>& commands) {
  Writer writer;
  writer.map(incarnation ? 3 : 2).key("baton").count(fencing_token);
  if (incarnation) writer.key("shift").count(*incarnation);
  writer.key("orders").list(commands.size());
  for (const auto& c : commands) {
    const bool stop = c.op == Command::Op::stop;
    writer.map(stop ? 4 : 3).key("verb").text(name_of(kOps, c.op)).key("piece").text(c.task.text());
    writer.key("try").count(c.attempt);
    if (stop) writer.key("windDownS").amount(c.grace.count());
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
  const auto doc = Document::parse(body);
  return doc ? read_catalog(doc->root()) : std::nullopt;
}

std::optional<std::vector<MachineType>> read_catalog(View root) {
  const View rigs = root["rigs"];
  if (!rigs.is_list()) return std::nullopt;
  std::vector<MachineType> out;
  for (size_t i = 0; i < rigs.size(); ++i) {
    const View value = rigs.at(i);
    const auto name = value["label"].text();
    const auto cpus = positive(value["cores"]);
    const auto memory = positive(value["ramGb"]);
    if (!name || !plain_text(*name, 80) || !cpus || !memory) return std::nullopt;
    MachineType machine_type;
    machine_type.name = *name;
    machine_type.size = Resources{*cpus, positive(value["gpus"]).value_or(0), *memory};
    machine_type.cache_gb = positive(value["cacheGb"]).value_or(0);
    machine_type.fetch_gb_per_s = positive(value["fetchGbPerS"]).value_or(0);
    machine_type.price = positive(value["rate"]).value_or(0);
    machine_type.spot_price = positive(value["lowPrice"]).value_or(machine_type.price);
    machine_type.boot = Seconds(positive(value["startupS"]).value_or(60));
    const View yards = value["yards"];
    for (size_t k = 0; k < yards.size(); ++k) {
      if (const auto z = yards.at(k).text()) machine_type.zones.emplace_back(*z);
    }
    out.push_back(std::move(machine_type));
  }
  if (out.empty()) return std::nullopt;
  return out;
}

std::string write_catalog(const std::vector<MachineType>& types) {
  Writer writer;
  writer.map(1).key("rigs").list(types.size());
  for (const auto& t : types) {
    writer.map(10).key("label").text(t.name).key("cores").amount(t.size.cpus);
    writer.key("gpus").amount(t.size.gpus).key("ramGb").amount(t.size.memory_gb);
    writer.key("cacheGb").amount(t.cache_gb).key("fetchGbPerS").amount(t.fetch_gb_per_s);
    writer.key("rate").amount(t.price).key("lowPrice").amount(t.spot_price);
    writer.key("startupS").amount(t.boot.count()).key("yards").list(t.zones.size());
    for (const auto& z : t.zones) writer.text(z);
  }
  return writer.take();
}

std::optional<MachineList> read_machines(std::string_view body) {
  const auto doc = Document::parse(body);
  if (!doc || !doc->root()["hosts"].is_list()) return std::nullopt;
  MachineList out;
  out.more = doc->root()["more"].flag().value_or(false);
  const View machines = doc->root()["hosts"];
  for (size_t i = 0; i < machines.size(); ++i) {
    const View value = machines.at(i);
    const auto id = value["id"].text();
    const auto type = value["rig"].text();
    const auto zone = value["yard"].text();
    const auto state = value_of(kMachineStates, value["standing"].text());
    if (!id || !plain_text(*id, 150) || !type || !zone || !state) return std::nullopt;
    ListedMachine listed;
    listed.id = *id;
    listed.address = value["address"].text().value_or("");
    listed.type = *type;
    listed.zone = *zone;
    listed.spot = value["loaners"].flag().value_or(false);
    listed.state = *state;
    listed.age = Seconds(positive(value["heldS"]).value_or(0));
    out.machines.push_back(std::move(listed));
  }
  return out;
}

std::optional<std::vector<std::string>> read_launched(std::string_view body) {
  const auto doc = Document::parse(body);
  if (!doc || !doc->root()["hosts"].is_list()) return std::nullopt;
  std::vector<std::string> out;
  const View machines = doc->root()["hosts"];
  for (size_t i = 0; i < machines.size(); ++i) {
    const auto id = machines.at(i).text();
    if (!id || !plain_text(*id, 150)) return std::nullopt;
    out.emplace_back(*id);
  }
  return out;
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
  for (const auto& m : machines) writer.text(m);
  return writer.take();
}

}  // namespace wire
}  // namespace dunlinknot
