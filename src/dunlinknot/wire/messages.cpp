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
constexpr Names<JobStanding::State, 4> kStandings{{{JobStanding::State::queued, "queued"},
                                                   {JobStanding::State::running, "running"},
                                                   {JobStanding::State::done, "done"},
                                                   {JobStanding::State::cancelled, "cancelled"}}};
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

std::optional<double> positive(wire::View v) {
  const auto d = v.amount();
  return d && *d >= 0 ? d : std::nullopt;
}

}  // namespace

std::optional<TaskRef> TaskRef::parse(std::string_view text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskRef t;
  t.job = text.substr(0, slash);
  const auto r = std::from_chars(text.data() + slash + 1, text.data() + text.size(), t.index);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size() || slash + 1 == text.size()) {
    return std::nullopt;
  }
  if (!wire::valid_job_id(t.job) || t.index >= kMaxTasks) return std::nullopt;
  return t;
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
  JobSpec j;
  const auto bad = [&](const char* field) {
    why = std::string("missing or invalid: ") + field;
    return std::nullopt;
  };
  if (!root.is_map()) return bad("body");
  const auto id = submitted_id(root);
  if (!id) return bad("id");
  j.id = *id;
  const auto name = [&](const char* field, std::string& into) {
    const auto t = root[field].text();
    if (!t || !plain_text(*t, 120)) return false;
    into = *t;
    return true;
  };
  if (!name("docket", j.job_class)) return bad("docket");
  if (!name("crew", j.team)) return bad("crew");
  if (!name("bundle", j.image)) return bad("bundle");
  const auto shape = root["shape"].text();
  if (!shape || (*shape != "batch" && *shape != "ensemble" && *shape != "service")) {
    return bad("shape");
  }
  j.gang = *shape == "ensemble";
  j.service = *shape == "service";
  const auto rank = value_of(kPriorities, root["rank"].text());
  if (!rank) return bad("rank");
  j.priority = *rank;
  const auto pieces = root["pieces"].count();
  if (!pieces || *pieces < 1 || *pieces > kMaxTasks) return bad("pieces");
  j.tasks = static_cast<uint32_t>(*pieces);
  const auto amount = [&](const char* field, double& into) {
    const auto d = positive(root[field]);
    if (!d || *d > 1e9) return false;
    into = *d;
    return true;
  };
  if (!amount("cores", j.need.cpus)) return bad("cores");
  if (!amount("gpus", j.need.gpus)) return bad("gpus");
  if (!amount("ramGb", j.need.memory_gb)) return bad("ramGb");
  if (!amount("sizeGb", j.image_gb)) return bad("sizeGb");
  double s = 0;
  if (!amount("reckonS", s)) return bad("reckonS");
  j.estimate = Seconds(s);
  if (!amount("markEveryS", s)) return bad("markEveryS");
  j.checkpoint = Seconds(s);
  if (!amount("markCostS", s)) return bad("markCostS");
  j.save = Seconds(s);
  if (!root["dueS"].null()) {
    if (!amount("dueS", s)) return bad("dueS");
    j.deadline = Seconds(s);
  }
  if (const View rigs = root["rigs"]; !rigs.null()) {
    if (!rigs.is_list() || rigs.size() == 0 || rigs.size() > 32) return bad("rigs");
    for (size_t i = 0; i < rigs.size(); ++i) {
      const auto t = rigs.at(i).text();
      if (!t || !plain_text(*t, 80)) return bad("rigs");
      j.types.emplace_back(*t);
    }
  }
  if (const View yard = root["yard"]; !yard.null()) {
    const auto t = yard.text();
    if (!t || !plain_text(*t, 120)) return bad("yard");
    j.zone = std::string(*t);
  }
  const auto flag = [&](const char* field, bool& into) {
    const auto f = root[field].flag();
    if (!f) return false;
    into = *f;
    return true;
  };
  if (!flag("together", j.one_zone)) return bad("together");
  if (!flag("apart", j.spread)) return bad("apart");
  if (!flag("loaners", j.spot)) return bad("loaners");
  return j;
}

void write_job(Writer& w, const JobSpec& j) {
  w.map(20);
  w.key("id").text(j.id).key("docket").text(j.job_class).key("crew").text(j.team);
  w.key("shape").text(j.gang ? "ensemble" : j.service ? "service" : "batch");
  w.key("rank").text(name_of(kPriorities, j.priority));
  w.key("pieces").count(j.tasks);
  w.key("cores").amount(j.need.cpus).key("gpus").amount(j.need.gpus);
  w.key("ramGb").amount(j.need.memory_gb);
  w.key("bundle").text(j.image).key("sizeGb").amount(j.image_gb);
  w.key("rigs");
  if (j.types.empty()) {
    w.null();
  } else {
    w.list(j.types.size());
    for (const auto& t : j.types) w.text(t);
  }
  w.key("yard");
  j.zone ? w.text(*j.zone) : w.null();
  w.key("together").flag(j.one_zone).key("apart").flag(j.spread).key("loaners").flag(j.spot);
  w.key("reckonS").amount(j.estimate.count()).key("markEveryS").amount(j.checkpoint.count());
  w.key("markCostS").amount(j.save.count());
  w.key("dueS");
  j.deadline ? w.amount(j.deadline->count()) : w.null();
}

std::string write_standing(const JobStanding& s, bool with_counts) {
  Writer w;
  w.map(with_counts ? 4 : 2)
      .key("id")
      .text(s.id)
      .key("standing")
      .text(name_of(kStandings, s.state));
  if (with_counts) w.key("done").count(s.done).key("running").count(s.running);
  return w.take();
}

std::string write_error(std::string_view text) {
  Writer w;
  w.map(1).key("error").text(text);
  return w.take();
}

std::optional<Heartbeat> read_heartbeat(std::string_view body) {
  const auto doc = Document::parse(body);
  if (!doc) return std::nullopt;
  const View r = doc->root();
  Heartbeat b;
  const auto name = [&](const char* field, std::string& into) {
    const auto t = r[field].text();
    if (!t || !plain_text(*t, 150)) return false;
    into = *t;
    return true;
  };
  if (!name("host", b.machine) || !name("address", b.address) || !name("rig", b.type) ||
      !name("yard", b.zone)) {
    return std::nullopt;
  }
  const auto spot = r["loaners"].flag();
  const auto incarnation = r["shift"].count();
  const auto sequence = r["tally"].count();
  if (!spot || !incarnation || !sequence) return std::nullopt;
  b.spot = *spot;
  b.incarnation = *incarnation;
  b.sequence = *sequence;
  b.fencing_token = r["baton"].count().value_or(0);
  if (!r["recallS"].null()) {
    const auto s = r["recallS"].amount();
    if (!s) return std::nullopt;
    b.interruption_notice = Seconds(std::max(0.0, *s));
  }
  const View tasks = r["pieces"];
  if (!tasks.null() && !tasks.is_list()) return std::nullopt;
  b.tasks.reserve(tasks.size());
  for (size_t i = 0; i < tasks.size(); ++i) {
    const View t = tasks.at(i);
    TaskStatus out;
    const auto ref = t["piece"].text();
    const auto parsed = ref ? TaskRef::parse(*ref) : std::nullopt;
    const auto attempt = t["try"].count();
    const auto state = value_of(kTaskStates, t["standing"].text());
    // A heartbeat that can't be read in full proves nothing about what is not in it: drop it whole.
    if (!parsed || !attempt || !state) return std::nullopt;
    out.task = *parsed;
    out.attempt = *attempt;
    out.state = *state;
    if (*state == TaskState::exited) {
      out.cause = value_of(kCauses, t["cause"].text()).value_or(ExitCause::error);
    }
    out.saved = t["stored"].flag().value_or(false);
    b.tasks.push_back(std::move(out));
  }
  return b;
}

std::string write_heartbeat(const Heartbeat& b) {
  Writer w;
  w.map(10).key("host").text(b.machine).key("address").text(b.address).key("rig").text(b.type);
  w.key("yard").text(b.zone).key("loaners").flag(b.spot).key("shift").count(b.incarnation);
  w.key("tally").count(b.sequence).key("baton").count(b.fencing_token).key("recallS");
  b.interruption_notice ? w.amount(b.interruption_notice->count()) : w.null();
  w.key("pieces").list(b.tasks.size());
  for (const auto& t : b.tasks) {
    const bool ended = t.state == TaskState::exited;
    w.map(ended ? 5 : 3).key("piece").text(t.task.text()).key("try").count(t.attempt);
    w.key("standing").text(name_of(kTaskStates, t.state));
    if (ended) w.key("cause").text(name_of(kCauses, t.cause)).key("stored").flag(t.saved);
  }
  return w.take();
}

std::string write_commands(uint64_t fencing_token, std::optional<uint64_t> incarnation,
                           const std::vector<Command>& commands) {
  Writer w;
  w.map(incarnation ? 3 : 2).key("baton").count(fencing_token);
  if (incarnation) w.key("shift").count(*incarnation);
  w.key("orders").list(commands.size());
  for (const auto& c : commands) {
    const bool stop = c.op == Command::Op::stop;
    w.map(stop ? 4 : 3).key("verb").text(name_of(kOps, c.op)).key("piece").text(c.task.text());
    w.key("try").count(c.attempt);
    if (stop) w.key("windDownS").amount(c.grace.count());
  }
  return w.take();
}

std::string write_misdirected(const std::optional<std::string>& leader) {
  Writer w;
  w.map(leader ? 1 : 0);
  if (leader) w.key("foreman").text(*leader);
  return w.take();
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
    const View r = rigs.at(i);
    const auto name = r["label"].text();
    const auto cpus = positive(r["cores"]);
    const auto memory = positive(r["ramGb"]);
    if (!name || !plain_text(*name, 80) || !cpus || !memory) return std::nullopt;
    MachineType t;
    t.name = *name;
    t.size = Resources{*cpus, positive(r["gpus"]).value_or(0), *memory};
    t.cache_gb = positive(r["cacheGb"]).value_or(0);
    t.fetch_gb_per_s = positive(r["fetchGbPerS"]).value_or(0);
    t.price = positive(r["rate"]).value_or(0);
    t.spot_price = positive(r["lowPrice"]).value_or(t.price);
    t.boot = Seconds(positive(r["startupS"]).value_or(60));
    const View yards = r["yards"];
    for (size_t k = 0; k < yards.size(); ++k) {
      if (const auto z = yards.at(k).text()) t.zones.emplace_back(*z);
    }
    out.push_back(std::move(t));
  }
  if (out.empty()) return std::nullopt;
  return out;
}

std::string write_catalog(const std::vector<MachineType>& types) {
  Writer w;
  w.map(1).key("rigs").list(types.size());
  for (const auto& t : types) {
    w.map(10).key("label").text(t.name).key("cores").amount(t.size.cpus);
    w.key("gpus").amount(t.size.gpus).key("ramGb").amount(t.size.memory_gb);
    w.key("cacheGb").amount(t.cache_gb).key("fetchGbPerS").amount(t.fetch_gb_per_s);
    w.key("rate").amount(t.price).key("lowPrice").amount(t.spot_price);
    w.key("startupS").amount(t.boot.count()).key("yards").list(t.zones.size());
    for (const auto& z : t.zones) w.text(z);
  }
  return w.take();
}

std::optional<MachineList> read_machines(std::string_view body) {
  const auto doc = Document::parse(body);
  if (!doc || !doc->root()["hosts"].is_list()) return std::nullopt;
  MachineList out;
  out.more = doc->root()["more"].flag().value_or(false);
  const View machines = doc->root()["hosts"];
  for (size_t i = 0; i < machines.size(); ++i) {
    const View h = machines.at(i);
    const auto id = h["id"].text();
    const auto type = h["rig"].text();
    const auto zone = h["yard"].text();
    const auto state = value_of(kMachineStates, h["standing"].text());
    if (!id || !plain_text(*id, 150) || !type || !zone || !state) return std::nullopt;
    ListedMachine m;
    m.id = *id;
    m.address = h["address"].text().value_or("");
    m.type = *type;
    m.zone = *zone;
    m.spot = h["loaners"].flag().value_or(false);
    m.state = *state;
    m.age = Seconds(positive(h["heldS"]).value_or(0));
    out.machines.push_back(std::move(m));
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
  Writer w;
  w.map(5).key("hire").text(request).key("rig").text(type).key("yard").text(zone);
  w.key("loaners").flag(spot).key("count").count(count);
  return w.take();
}

std::string write_termination_request(const std::vector<std::string>& machines) {
  Writer w;
  w.map(1).key("hosts").list(machines.size());
  for (const auto& m : machines) w.text(m);
  return w.take();
}

}  // namespace wire
}  // namespace dunlinknot
