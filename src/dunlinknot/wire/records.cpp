// Encodes and decodes stored records and their keys. The formats are fixed; see Compatibility in
// docs/design.md.
#include "dunlinknot/wire/records.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinknot::wire {

namespace {
std::string join(std::string_view prefix, std::string_view rest) {
  std::string key(prefix);
  key.append(rest);
  return key;
}
constexpr std::string_view kHexDigits = "0123456789abcdef";
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
  uint32_t chunk = 0;
  const auto result = std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), chunk);
  if (result.ec != std::errc{} || result.ptr != rest.data() + rest.size()) return std::nullopt;
  return std::pair{std::string(rest.substr(0, slash)), chunk};
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
  std::string error;
  auto spec = read_job(value["job"], error);
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
  const auto cancelled = value["cancelled"].flag();
  if (!cancelled) return std::nullopt;
  return FinalRecord{*cancelled, static_cast<uint32_t>(value["tasks"].count().value_or(0))};
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

std::string write_epoch(uint64_t epoch) {
  Writer writer;
  writer.map(1).key("n").count(epoch);
  return writer.take();
}

std::optional<uint64_t> read_epoch(View value) {
  return value["n"].count();
}

namespace {

constexpr uint32_t kTasksPerDigit = 4;
constexpr size_t kEmptyChunkBytes = std::string_view(R"({"bits": ""})").size();

}  // namespace

uint32_t storable_chunk_tasks(size_t value_bytes) {
  const size_t digits = value_bytes > kEmptyChunkBytes ? value_bytes - kEmptyChunkBytes : 0;
  return static_cast<uint32_t>(std::min<size_t>(digits * kTasksPerDigit, kChunkTasks));
}

std::string write_done_chunk(const std::vector<bool>& done, uint32_t chunk, uint32_t storable) {
  const size_t begin = size_t{chunk} * kChunkTasks;
  const size_t end = std::min(done.size(), begin + std::min(storable, kChunkTasks));
  std::string bits;
  for (size_t i = begin; i < end; i += kTasksPerDigit) {
    unsigned nibble = 0;
    for (size_t bit = 0; bit < kTasksPerDigit && i + bit < end; ++bit)
      nibble |= (done[i + bit] ? 1u : 0u) << bit;
    bits.push_back(kHexDigits[nibble]);
  }
  Writer writer;
  writer.map(1).key("bits").text(bits);
  return writer.take();
}

bool read_done_chunk(View value, uint32_t chunk, std::vector<bool>& done) {
  const auto bits = value["bits"].text();
  if (!bits) return false;
  const size_t begin = size_t{chunk} * kChunkTasks;
  for (size_t i = 0; i < bits->size(); ++i) {
    const size_t nibble = kHexDigits.find((*bits)[i]);
    if (nibble == std::string_view::npos) return false;
    for (size_t bit = 0; bit < kTasksPerDigit; ++bit) {
      const size_t index = begin + i * kTasksPerDigit + bit;
      if ((nibble >> bit & 1) != 0 && index < done.size()) done[index] = true;
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
  for (const auto& group : record.groups) {
    writer.map(7)
        .key("job")
        .text(group.job)
        .key("crew")
        .text(group.team)
        .key("gang")
        .flag(group.gang);
    writer.key("cpus").amount(group.need.cpus).key("gpus").amount(group.need.gpus);
    writer.key("gb").amount(group.need.memory_gb).key("on").list(group.tasks.size());
    for (const auto& [index, attempt] : group.tasks) writer.list(2).count(index).count(attempt);
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

std::optional<MachineRecord> read_machine_record(View root) {
  const auto type = root["rig"].text();
  const auto zone = root["yard"].text();
  if (!type || !zone || !root["jobs"].is_list()) return std::nullopt;
  MachineRecord record;
  record.type = *type;
  record.zone = *zone;
  record.address = root["address"].text().value_or("");
  record.spot = root["spot"].flag().value_or(false);
  for (size_t i = 0; i < root["jobs"].size(); ++i) {
    const View entry = root["jobs"].at(i);
    MachineRecord::Group group;
    const auto job = entry["job"].text();
    if (!job) return std::nullopt;
    group.job = *job;
    group.team = entry["crew"].text().value_or("");
    group.gang = entry["gang"].flag().value_or(false);
    group.need = Resources{entry["cpus"].amount().value_or(0), entry["gpus"].amount().value_or(0),
                           entry["gb"].amount().value_or(0)};
    const View tasks = entry["on"];
    for (size_t j = 0; j < tasks.size(); ++j) {
      if (tasks.at(j).size() != 2) return std::nullopt;
      const auto index = tasks.at(j).at(0).count();
      const auto attempt = tasks.at(j).at(1).count();
      if (!index || !attempt) return std::nullopt;
      group.tasks.emplace_back(static_cast<uint32_t>(*index), *attempt);
    }
    record.groups.push_back(std::move(group));
  }
  return record;
}

}  // namespace dunlinknot::wire
