// The scripted cloud: launches, deletions and a machine list that lags.
#include "scripted_cloud.hpp"

namespace dunlinknot::test {

using http::Call;
using http::Reply;
using wire::Document;
using wire::View;
using wire::Writer;

Task<Reply> ScriptedCloud::serve(Call call, uint64_t sender_token) {
  const CallFault f = call_fault ? call_fault(call) : CallFault::none;
  co_await loop_.sleep(Millis(80));
  if (unavailable || f == CallFault::refuse) co_return reply(503, wire::write_error("trouble"));
  if (f == CallFault::apply_late) loop_.spawn(execute_later(call, sender_token));
  if (f == CallFault::apply_late || f == CallFault::lose_request) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  const uint64_t launches_before = launches;
  Reply out = execute(call, sender_token);
  const bool lost = lose_launch_replies && launches > launches_before;
  if (f == CallFault::lose_reply || lost) {
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
  const auto names = [&](const std::vector<std::string>& ids) {
    Writer writer;
    writer.map(1).key("hosts").list(ids.size());
    for (const auto& id : ids) writer.text(id);
    return writer.take();
  };
  if (machines_by_request.contains(request)) {
    if (on_operation) on_operation({request, {}, false, sender_token});
    return reply(200, names(machines_by_request[request]));
  }
  const std::string type(*root["rig"].text()), zone(*root["yard"].text());
  const bool spot = *root["loaners"].flag();
  uint32_t& left = capacity[type + "/" + zone + "/" + (spot ? "spot" : "ordinary")];
  const auto n = std::min<uint64_t>(left, *root["count"].count());
  if (n == 0) {
    ++refusals;
    return reply(503, wire::write_error("no capacity"));
  }
  left -= static_cast<uint32_t>(n);
  std::vector<std::string> ids;
  for (uint64_t i = 0; i < n; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06u", static_cast<unsigned>(next_++));
    Machine machine{name, type, zone, spot, loop_.now(), false, {}, machine_address};
    machines[machine.id] = machine;
    ids.push_back(machine.id);
    if (on_launched) on_launched(machine);
  }
  ++launches;
  machines_by_request[request] = ids;
  if (on_operation) on_operation({request, ids, true, sender_token});
  return reply(200, names(ids));
}

Reply ScriptedCloud::remove(const Call& call, uint64_t sender_token) {
  const auto doc = Document::parse(call.body);
  const View root = doc->root();
  const View ids = root["hosts"];
  for (size_t i = 0; i < ids.size(); ++i) {
    const std::string id(*ids.at(i).text());
    deletions.push_back(id);
    const auto it = machines.find(id);
    const bool changes = it != machines.end() && !it->second.removed;
    if (on_operation) on_operation({"", {id}, changes, sender_token});
    if (!changes) continue;
    it->second.removed = true;
    it->second.removed_at = loop_.now();
    ++capacity[it->second.type + "/" + it->second.zone + "/" +
               (it->second.spot ? "spot" : "ordinary")];
    if (on_deleted) on_deleted(id);
  }
  return reply(200);
}

Reply ScriptedCloud::list(const Call& call) {
  // The list as it was a while ago.
  const Instant as_of = loop_.now() - list_lag;
  ++lists;
  const std::string after = query_value(call.target, "since");
  const size_t most = std::stoul(query_value(call.target, "most"));
  bool more = false;
  Writer writer;
  std::vector<const Machine*> shown;
  for (auto it = machines.upper_bound(after); it != machines.end(); ++it) {
    const Machine& machine = it->second;
    if (machine.since > as_of || (machine.removed && machine.removed_at <= as_of)) continue;
    more = shown.size() == most;
    if (more) break;
    shown.push_back(&machine);
  }
  writer.map(2).key("hosts").list(shown.size());
  for (const auto* m : shown) {
    writer.map(7).key("id").text(m->id).key("address").text(m->address).key("rig").text(m->type);
    writer.key("yard").text(m->zone).key("loaners").flag(m->spot).key("standing").text("running");
    writer.key("heldS").amount(to_seconds(as_of - m->since).count());
  }
  writer.key("more").flag(more);
  return reply(200, writer.take());
}

}  // namespace dunlinknot::test
