// Stored records and their keys; the forms are fixed (docs/design.md, Compatibility).
#include "dunlinknot/wire/records.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinknot::wire {

namespace {
std::string join(std::string_view a, std::string_view b) {
  std::string s(a);
  s.append(b);
  return s;
}
constexpr std::string_view kHex = "0123456789abcdef";
}  // namespace

std::string job_key(std::string_view id) {
  return join(kJobPrefix, id);
}
std::string final_key(std::string_view id) {
  return join(kFinalPrefix, id);
}
std::string done_key(std::string_view id, uint32_t chunk) {
  return join(kDonePrefix, id) + "/" + std::to_string(chunk);
}
std::string machine_key(std::string_view machine) {
  return join(kMachinePrefix, machine);
}

std::string_view after_prefix(std::string_view key, std::string_view prefix) {
  return key.starts_with(prefix) ? key.substr(prefix.size()) : std::string_view();
}

std::optional<std::pair<std::string, uint32_t>> parse_done_key(std::string_view key) {
  const std::string_view rest = after_prefix(key, kDonePrefix);
  const size_t slash = rest.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  uint32_t n = 0;
  const auto r = std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), n);
  if (r.ec != std::errc{} || r.ptr != rest.data() + rest.size()) return std::nullopt;
  return std::pair{std::string(rest.substr(0, slash)), n};
}

std::string write_job_record(const JobRecord& record) {
  Writer writer;
  writer.map(2).key("at").count(static_cast<uint64_t>(record.submitted.time_since_epoch().count()));
  writer.key("job");
  write_job(writer, record.spec);
  return writer.take();
}

std::optional<JobRecord> read_job_record(View value) {
  const auto at = value["at"].count();
  std::string why;
  auto spec = read_job(value["job"], why);
  if (!at || !spec) return std::nullopt;
  return JobRecord{std::move(*spec), WallTime(Millis(static_cast<int64_t>(*at)))};
}

uint32_t read_job_record_tasks(View value) {
  return static_cast<uint32_t>(value["job"]["pieces"].count().value_or(0));
}

std::string write_final(const FinalRecord& record) {
  Writer writer;
  writer.map(2).key("cancelled").flag(record.cancelled).key("tasks").count(record.tasks);
  return writer.take();
}

std::optional<FinalRecord> read_final(View value) {
  const auto c = value["cancelled"].flag();
  if (!c) return std::nullopt;
  return FinalRecord{*c, static_cast<uint32_t>(value["tasks"].count().value_or(0))};
}

std::string write_leader(const LeaderRecord& record) {
  Writer writer;
  writer.map(2).key("node").text(record.node).key("epoch").count(record.epoch);
  return writer.take();
}

std::optional<LeaderRecord> read_leader(View value) {
  const auto node = value["node"].text();
  const auto epoch = value["epoch"].count();
  if (!node || !epoch) return std::nullopt;
  return LeaderRecord{std::string(*node), *epoch};
}

std::string write_epoch(uint64_t n) {
  Writer writer;
  writer.map(1).key("n").count(n);
  return writer.take();
}

std::optional<uint64_t> read_epoch(View value) {
  return value["n"].count();
}

namespace {

constexpr uint32_t kTasksPerCharacter = 4;
constexpr size_t kChunkFrame = std::string_view(R"({"bits": ""})").size();

}  // namespace

uint32_t storable_chunk_tasks(size_t value_bytes) {
  const size_t characters = value_bytes > kChunkFrame ? value_bytes - kChunkFrame : 0;
  return static_cast<uint32_t>(std::min<size_t>(characters * kTasksPerCharacter, kChunkTasks));
}

std::string write_done_chunk(const std::vector<bool>& done, uint32_t chunk, uint32_t storable) {
  const size_t begin = size_t{chunk} * kChunkTasks;
  const size_t end = std::min(done.size(), begin + std::min(storable, kChunkTasks));
  std::string bits;
  for (size_t i = begin; i < end; i += kTasksPerCharacter) {
    unsigned nibble = 0;
    for (size_t k = 0; k < kTasksPerCharacter && i + k < end; ++k)
      nibble |= (done[i + k] ? 1u : 0u) << k;
    bits.push_back(kHex[nibble]);
  }
  Writer writer;
  writer.map(1).key("bits").text(bits);
  return writer.take();
}

bool read_done_chunk(View value, uint32_t chunk, std::vector<bool>& into) {
  const auto bits = value["bits"].text();
  if (!bits) return false;
  const size_t begin = size_t{chunk} * kChunkTasks;
  for (size_t i = 0; i < bits->size(); ++i) {
    const size_t nibble = kHex.find((*bits)[i]);
    if (nibble == std::string_view::npos) return false;
    for (size_t k = 0; k < kTasksPerCharacter; ++k) {
      const size_t at = begin + i * kTasksPerCharacter + k;
      if ((nibble >> k & 1) != 0 && at < into.size()) into[at] = true;
    }
  }
  return true;
}

std::string write_machine_record(const MachineRecord& record) {
  Writer writer;
  writer.map(5)
      .key("rig")
      .text(record.type)
      .key("yard")
      .text(record.zone)
      .key("address")
      .text(record.address);
  writer.key("spot").flag(record.spot).key("jobs").list(record.groups.size());
  for (const auto& g : record.groups) {
    writer.map(7).key("job").text(g.job).key("crew").text(g.team).key("gang").flag(g.gang);
    writer.key("cpus").amount(g.need.cpus).key("gpus").amount(g.need.gpus);
    writer.key("gb").amount(g.need.memory_gb).key("on").list(g.tasks.size());
    for (const auto& [index, attempt] : g.tasks) writer.list(2).count(index).count(attempt);
  }
  return writer.take();
}

size_t machine_record_size(std::string_view type, std::string_view zone, std::string_view address) {
  constexpr std::string_view kFrame =
      R"({"rig": "", "yard": "", "address": "", "spot": false, "jobs": []})";
  return kFrame.size() + type.size() + zone.size() + address.size();
}

size_t machine_group_size(std::string_view job, std::string_view team, const Resources& need) {
  constexpr std::string_view kFrame =
      R"({"job": "", "crew": "", "gang": false, "cpus": , "gpus": , "gb": , "on": []}, )";
  return kFrame.size() + job.size() + team.size() + json_size_of_amount(need.cpus) +
         json_size_of_amount(need.gpus) + json_size_of_amount(need.memory_gb);
}

size_t machine_task_size(uint32_t index, uint64_t attempt) {
  constexpr std::string_view kFrame = "[, ], ";
  return kFrame.size() + json_size_of_count(index) + json_size_of_count(attempt);
}

std::optional<MachineRecord> read_machine_record(View view) {
  const auto type = view["rig"].text();
  const auto zone = view["yard"].text();
  if (!type || !zone || !view["jobs"].is_list()) return std::nullopt;
  MachineRecord record;
  record.type = *type;
  record.zone = *zone;
  record.address = view["address"].text().value_or("");
  record.spot = view["spot"].flag().value_or(false);
  for (size_t i = 0; i < view["jobs"].size(); ++i) {
    const View value = view["jobs"].at(i);
    MachineRecord::Group out;
    const auto job = value["job"].text();
    if (!job) return std::nullopt;
    out.job = *job;
    out.team = value["crew"].text().value_or("");
    out.gang = value["gang"].flag().value_or(false);
    out.need = Resources{value["cpus"].amount().value_or(0), value["gpus"].amount().value_or(0),
                         value["gb"].amount().value_or(0)};
    const View on = value["on"];
    for (size_t k = 0; k < on.size(); ++k) {
      if (on.at(k).size() != 2) return std::nullopt;
      const auto index = on.at(k).at(0).count();
      const auto attempt = on.at(k).at(1).count();
      if (!index || !attempt) return std::nullopt;
      out.tasks.emplace_back(static_cast<uint32_t>(*index), *attempt);
    }
    record.groups.push_back(std::move(out));
  }
  return record;
}

}  // namespace dunlinknot::wire
