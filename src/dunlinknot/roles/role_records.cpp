// Keys and MessagePack encoding of the singleton roles' records.
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

namespace {

using wire::View;
using wire::Writer;

constexpr std::string_view kScaleOutPrefix = "intent/rent/";
constexpr std::string_view kScaleInPrefix = "intent/return/";
constexpr uint64_t kMaxMachinesPerLaunch = 50;  // the cloud's limit for one launch request

std::string join(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  key.append(name);
  return key;
}

std::string_view after_prefix(std::string_view key, std::string_view prefix) {
  return key.starts_with(prefix) ? key.substr(prefix.size()) : std::string_view();
}

// Checks the fields that all records have. Returns nothing when they are valid.
std::optional<RecordError> check_header(View value) {
  const auto version = value["v"].count();
  if (!version || *version == 0) return RecordError::damaged;
  if (*version > kRecordVersion) return RecordError::newer;
  if (!value["token"].count()) return RecordError::damaged;
  return std::nullopt;
}

}  // namespace

std::string_view describe(RecordError error) {
  return error == RecordError::newer ? "it was written by a later version" : "it cannot be read";
}

std::string role_key(Role role) {
  return join(kRolePrefix, name(role));
}
std::string scale_out_key(std::string_view request) {
  return join(kScaleOutPrefix, request);
}
std::string scale_in_key(std::string_view machine) {
  return join(kScaleInPrefix, machine);
}
std::string_view request_of_scale_out_key(std::string_view key) {
  return after_prefix(key, kScaleOutPrefix);
}
std::string_view machine_of_scale_in_key(std::string_view key) {
  return after_prefix(key, kScaleInPrefix);
}

std::string write_holder(const RoleHolderRecord& record) {
  Writer writer;
  writer.map(3).key("v").count(kRecordVersion).key("token").count(record.fencing_token);
  writer.key("node").text(record.node);
  return writer.take();
}

Read<RoleHolderRecord> read_holder(View value) {
  if (const auto error = check_header(value)) return *error;
  const auto node = value["node"].text();
  if (!node) return RecordError::damaged;
  return RoleHolderRecord{std::string(*node), *value["token"].count()};
}

std::string write_fencing_token(uint64_t fencing_token) {
  Writer writer;
  writer.map(2).key("v").count(kRecordVersion).key("token").count(fencing_token);
  return writer.take();
}

Read<uint64_t> read_fencing_token(View value) {
  if (const auto error = check_header(value)) return *error;
  return *value["token"].count();
}

std::string write_scale_out_intent(const ScaleOutIntent& intent) {
  Writer writer;
  writer.map(8).key("v").count(kRecordVersion).key("token").count(intent.fencing_token);
  writer.key("request").text(intent.request).key("type").text(intent.type);
  writer.key("zone").text(intent.zone).key("spot").flag(intent.spot);
  writer.key("count").count(intent.count).key("job").text(intent.job);
  return writer.take();
}

Read<ScaleOutIntent> read_scale_out_intent(std::string_view key, View value) {
  if (const auto error = check_header(value)) return *error;
  const auto request = value["request"].text();
  const auto type = value["type"].text();
  const auto zone = value["zone"].text();
  const auto spot = value["spot"].flag();
  const auto count = value["count"].count();
  if (!request || *request != request_of_scale_out_key(key) || !type || !zone || !spot) {
    return RecordError::damaged;
  }
  if (!count || *count == 0 || *count > kMaxMachinesPerLaunch) return RecordError::damaged;
  ScaleOutIntent intent;
  intent.request = *request;
  intent.type = *type;
  intent.zone = *zone;
  intent.spot = *spot;
  intent.count = static_cast<uint32_t>(*count);
  intent.job = value["job"].text().value_or("");
  intent.fencing_token = *value["token"].count();
  return intent;
}

std::string write_scale_in_intent(const ScaleInIntent& intent) {
  Writer writer;
  writer.map(4).key("v").count(kRecordVersion).key("token").count(intent.fencing_token);
  writer.key("machine").text(intent.machine).key("reason").text(intent.reason);
  return writer.take();
}

Read<ScaleInIntent> read_scale_in_intent(std::string_view key, View value) {
  if (const auto error = check_header(value)) return *error;
  const auto machine = value["machine"].text();
  if (!machine || *machine != machine_of_scale_in_key(key)) return RecordError::damaged;
  return ScaleInIntent{std::string(*machine), std::string(value["reason"].text().value_or("")),
                       *value["token"].count()};
}

ReadIntent read_intent(std::string_view key, View value) {
  if (!request_of_scale_out_key(key).empty()) {
    const auto read = read_scale_out_intent(key, value);
    if (const auto* intent = std::get_if<ScaleOutIntent>(&read)) return *intent;
    return std::get<RecordError>(read);
  }
  const auto read = read_scale_in_intent(key, value);
  if (const auto* error = std::get_if<RecordError>(&read)) return *error;
  if (machine_of_scale_in_key(key).empty()) return RecordError::damaged;
  return std::get<ScaleInIntent>(read);
}

}  // namespace dunlinknot::roles
