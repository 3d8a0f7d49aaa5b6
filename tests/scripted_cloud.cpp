// The scripted cloud: launches, deletions and a delayed machine list.
#include "scripted_cloud.hpp"

namespace dunlinknot::test {

using http::Call;
using http::Reply;
using wire::Document;
using wire::View;
using wire::Writer;

Task<Reply> ScriptedCloud::serve(Call call, uint64_t sender_token) {
  const CallFault fault = call_fault ? call_fault(call) : CallFault::none;
  co_await loop_.sleep(Millis(80));
  if (unavailable || fault == CallFault::refuse)
    co_return reply(503, wire::write_error("unavailable"));
  if (const auto faulty = reply_to_faulty_call(fault)) co_return *faulty;
  if (fault == CallFault::apply_late) loop_.spawn(execute_later(call, sender_token));
  if (fault == CallFault::apply_late || fault == CallFault::lose_request) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  const uint64_t launches_before = launches;
  Reply out = execute(call, sender_token);
  const bool lost = lose_launch_replies && launches > launches_before;
  if (fault == CallFault::lose_reply || lost) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  co_return within_limit(call, std::move(out));
}

Task<void> ScriptedCloud::execute_later(Call call, uint64_t sender_token) {
  co_await loop_.sleep(fault_delay);
  (void)execute(call, sender_token);
}

Reply ScriptedCloud::execute(const Call& call, uint64_t sender_token) {
  if (call.target == "/catalog") return reply(200, wire::write_catalog(types));
  if (call.target == "/rentals" && call.method == "POST") return launch(call, sender_token);
  if (call.target == "/rentals/delete") return remove(call, sender_token);
  return list(call);
}

Reply ScriptedCloud::launch(const Call& call, uint64_t sender_token) {
  const auto doc = Document::parse(call.body);
  const View root = doc->root();
  const std::string request(*root["hire"].text());
  const auto write_machine_list = [&](const std::vector<std::string>& machine_ids) {
    Writer writer;
    writer.map(1).key("hosts").list(machine_ids.size());
    for (const auto& id : machine_ids) writer.text(id);
    return writer.take();
  };
  if (machines_by_request.contains(request)) {
    if (on_operation) on_operation({request, {}, false, sender_token});
    return reply(200, write_machine_list(machines_by_request[request]));
  }
  const std::string type(*root["rig"].text()), zone(*root["yard"].text());
  const bool spot = *root["loaners"].flag();
  uint32_t& available = capacity[type + "/" + zone + "/" + (spot ? "spot" : "ordinary")];
  const auto count = std::min<uint64_t>(available, *root["count"].count());
  if (count == 0) {
    ++refusals;
    return reply(503, wire::write_error("no capacity"));
  }
  available -= static_cast<uint32_t>(count);
  std::vector<std::string> machine_ids;
  for (uint64_t i = 0; i < count; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06u", static_cast<unsigned>(next_machine_++));
    Machine machine{name, type, zone, spot, loop_.now(), false, {}, machine_address};
    machines[machine.id] = machine;
    machine_ids.push_back(machine.id);
    if (on_launched) on_launched(machine);
  }
  ++launches;
  machines_by_request[request] = machine_ids;
  if (on_operation) on_operation({request, machine_ids, true, sender_token});
  return reply(200, write_machine_list(machine_ids));
}

Reply ScriptedCloud::remove(const Call& call, uint64_t sender_token) {
  const auto doc = Document::parse(call.body);
  const View root = doc->root();
  const View machine_ids = root["hosts"];
  for (size_t i = 0; i < machine_ids.size(); ++i) {
    const std::string id(*machine_ids.at(i).text());
    deletions.push_back(id);
    const auto it = machines.find(id);
    const bool changed = it != machines.end() && !it->second.removed;
    if (on_operation) on_operation({"", {id}, changed, sender_token});
    if (!changed) continue;
    it->second.removed = true;
    it->second.removed_at = loop_.now();
    ++capacity[it->second.type + "/" + it->second.zone + "/" +
               (it->second.spot ? "spot" : "ordinary")];
    if (on_deleted) on_deleted(id);
  }
  return reply(200);
}

Reply ScriptedCloud::list(const Call& call) {
  const Instant as_of = loop_.now() - list_lag;
  ++lists;
  const std::string after = query_value(call.target, "since");
  const size_t max_machines = std::stoul(query_value(call.target, "most"));
  bool more = false;
  Writer writer;
  std::vector<const Machine*> listed;
  for (auto it = machines.upper_bound(after); it != machines.end(); ++it) {
    const Machine& machine = it->second;
    if (machine.launched_at > as_of || (machine.removed && machine.removed_at <= as_of)) continue;
    more = listed.size() == max_machines;
    if (more) break;
    listed.push_back(&machine);
  }
  writer.map(2).key("hosts").list(listed.size());
  for (const auto* m : listed) {
    writer.map(7).key("id").text(m->id).key("address").text(m->address).key("rig").text(m->type);
    writer.key("yard").text(m->zone).key("loaners").flag(m->spot).key("standing").text("running");
    writer.key("heldS").amount(to_seconds(as_of - m->launched_at).count());
  }
  writer.key("more").flag(more);
  return reply(200, writer.take());
}

}  // namespace dunlinknot::test
