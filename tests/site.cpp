// The scripted deployment: controllers, workers, key-value store, cloud and users.
#include "site.hpp"

#include <gtest/gtest.h>

namespace dunlinknot::test {

using http::Call;
using http::Outcome;
using http::Reply;
using wire::Document;
using wire::Writer;

Site::Node::Node(Site& owner, size_t index) : site(owner) {
  platform = Site::platform(index, 3);
  if (owner.adjust_platform) owner.adjust_platform(platform);
  daemon = std::make_unique<node::Daemon>(owner.loop, platform, owner.operator_settings, *this,
                                          static_cast<uint32_t>(index + 7));
  daemon->start_components();
}

Task<Reply> Site::Node::exchange(Call call) {
  if (crashed) co_await site.loop.sleep(std::chrono::hours(1000));
  if (site.on_send) site.on_send(*this, call);
  while (paused) co_await site.loop.sleep(Millis(10));
  Reply out = co_await deliver(std::move(call));
  while (paused) co_await site.loop.sleep(Millis(10));
  co_return out;
}

Task<Reply> Site::Node::deliver(Call call) {
  if (call.to == platform.key_value_store) {
    if (cut_from_store) {
      co_await site.loop.sleep_until(call.deadline);
      co_return Reply{};
    }
    // Watches of a refused node stay open without an answer, as in an outage.
    if (refused_by_store && !call.target.starts_with("/changes")) co_return reply(503);
    Reply reply = co_await site.store.serve(call);
    while (refused_by_store && site.loop.now() < call.deadline) {
      co_await site.loop.sleep(Millis(20));
    }
    if (refused_by_store) co_return Reply{};
    co_return reply;
  }
  if (call.to == platform.cloud) {
    if (cut_from_cloud) {
      co_await site.loop.sleep_until(call.deadline);
      co_return Reply{};
    }
    const bool launch = call.target == "/rentals" && call.method == "POST";
    const auto role = launch ? roles::Role::scale_out : roles::Role::scale_in;
    const uint64_t fencing_token =
        daemon->roles() ? daemon->roles()->holder.fencing_token(role) : 0;
    co_return co_await site.cloud.serve(std::move(call), fencing_token);
  }
  for (auto& [id, worker] : site.workers) {
    if (worker->address == call.to.text())
      co_return co_await worker->serve_command(std::move(call));
  }
  Reply refused;
  refused.outcome = Outcome::not_executed;
  co_return refused;
}

void Site::restart(size_t node) {
  crash(node);
  former_processes.push_back(std::move(nodes[node]));
  nodes[node] = std::make_unique<Node>(*this, node);
}

Task<http::Response> Site::handle(size_t node, http::Request request) {
  Node& process = *nodes[node];
  http::Response no_response;
  no_response.status = 0;
  if (process.crashed || process.paused) co_return no_response;
  if (on_request) request = on_request(std::move(request));
  http::Response response = co_await process.daemon->handle(std::move(request));
  if (process.crashed || process.paused) co_return no_response;
  if (on_response) on_response(response);
  co_return response;
}

settings::Platform Site::platform(size_t index, size_t count) {
  settings::Platform platform;
  platform.node = "dunlin-" + std::to_string(index);
  platform.zone = "a";
  platform.listen = *http::Endpoint::parse("127.0.0.1:1000");
  platform.peer_listen = *http::Endpoint::parse("127.0.0.1:1001");
  for (size_t i = 0; i < count; ++i) {
    if (i == index) continue;
    platform.peers.push_back({"dunlin-" + std::to_string(i), "a",
                              *http::Endpoint::parse("127.0.0.1:" + std::to_string(2000 + i))});
  }
  platform.cloud = *http::Endpoint::parse("127.0.0.1:3000");
  platform.key_value_store = *http::Endpoint::parse("127.0.0.1:3001");
  platform.nodes = static_cast<uint32_t>(count);
  platform.zones = {"a", "b"};
  platform.teams = {{"red", 8, 64, 0, 0}, {"blue", 8, 64, 0, 0}, {"tiny", 0, 4, 0, 0}};
  platform.heartbeat_interval = Seconds(1.5);
  platform.worker_lease = Seconds(14);
  platform.gang_wait = Seconds(40);
  platform.gang_failure_detection_time = Seconds(6);
  platform.cancel_timeout = Seconds(39);
  platform.store_limits.rps = 1000;
  platform.store_limits.write_rps = 1000;
  platform.store_limits.value_bytes = size_t{8} * 1024;
  platform.store_limits.txn_ops = 16;
  platform.cloud_rps = 4;
  platform.list_lag = Seconds(8);
  platform.cpu_share = 0.1;
  platform.memory_mb = 64;
  platform.max_connections = 500;
  return platform;
}

Site::Site(size_t controllers) {
  MachineType box;
  box.name = "box";
  box.size = {8, 0, 32};
  box.cache_gb = 50;
  box.fetch_gb_per_s = 1;
  box.price = 1;
  box.spot_price = 0.4;
  box.boot = Seconds(5);
  box.zones = {"a", "b"};
  MachineType crate = box;
  crate.name = "crate";
  crate.zones = {"a"};
  cloud.types = {box, crate};
  cloud.capacity["box/a/ordinary"] = 2;
  cloud.on_launched = [this](const ScriptedCloud::Machine& machine) { add_worker(machine); };
  cloud.on_deleted = [this](const std::string& id) {
    if (const auto it = workers.find(id); it != workers.end()) it->second->power_off();
  };
  for (size_t i = 0; i < controllers; ++i) nodes.push_back(std::make_unique<Node>(*this, i));
  loop.spawn(scan_rules_periodically());
  loop.spawn(exchange_peer_statuses());
}

Task<void> Site::scan_rules_periodically() {
  for (;;) {
    rules.scan();
    co_await loop.sleep(Millis(100));
  }
}

// Stands in for the controllers' links: each node receives the others' statuses every 500 ms.
Task<void> Site::exchange_peer_statuses() {
  for (;;) {
    co_await loop.sleep(Millis(500));
    for (auto& to : nodes) {
      for (auto& from : nodes) {
        if (to == from || to->crashed || from->crashed || to->paused || from->paused) continue;
        if (to->cut_from_peers || from->cut_from_peers) continue;
        to->daemon->peers().apply_status(from->daemon->status(), loop.now());
      }
    }
  }
}

std::optional<size_t> Site::leader() const {
  for (size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i]->crashed && nodes[i]->daemon->elector().leading()) return i;
  }
  return std::nullopt;
}

void Site::add_worker(const ScriptedCloud::Machine& machine) {
  const MachineType* type = nullptr;
  for (const auto& listed_type : cloud.types) {
    if (listed_type.name == machine.type) type = &listed_type;
  }
  if (!type) throw std::runtime_error("the type of the new machine is not in the cloud's catalog");
  const size_t number = workers.size() + 1;
  const std::string address =
      "10.1." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":9000";
  auto new_worker = std::make_unique<ScriptedWorker>(loop, machine.id, *type, machine.zone,
                                                     machine.spot, address, seconds(14));
  new_worker->specs = &specs;
  ScriptedWorker* worker = new_worker.get();
  const RuleChecker::Machine checked_machine{machine.id, machine.type, machine.zone, machine.spot};
  new_worker->on_start = [this, checked_machine, worker](const TaskRef& task) {
    ++starts;
    if (copies(task) > 0) ++duplicate_starts;
    rules.started(checked_machine, task, worker->started.back().second);
  };
  new_worker->on_end = [this, id = machine.id](const ScriptedWorker::Running& running) {
    rules.ended(id, running.task, running.attempt, running.cause == ExitCause::done);
  };
  if (on_worker) on_worker(*new_worker);
  workers[machine.id] = std::move(new_worker);
  // Tries the nodes in turn, beginning with the one that answered 200 last. Only the leader
  // answers 200.
  const auto handler = [this, id = machine.id, last_answering = std::make_shared<size_t>(0)](
                           http::Request request) -> Task<http::Response> {
    http::Response out;
    out.status = 503;
    for (size_t offset = 0; offset < nodes.size(); ++offset) {
      const size_t node = (*last_answering + offset) % nodes.size();
      if (blocked_links.contains({node, id})) continue;
      http::Request copy = request;
      out = co_await handle(node, std::move(copy));
      if (out.status != 200) continue;
      *last_answering = node;
      break;
    }
    co_return out;
  };
  const auto boot = [](EventLoop& event_loop, ScriptedWorker* booting_worker,
                       std::function<Task<http::Response>(http::Request)> send) -> Task<void> {
    co_await event_loop.sleep(seconds(2));
    co_await booting_worker->run(std::move(send), Millis(1500));
  };
  loop.spawn(boot(loop, worker, handler));
  loop.spawn(worker->watch_lease());
}

Task<http::Response> Site::request(size_t node, std::string method, std::string target,
                                   std::string body) {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  constexpr std::string_view kPrefix = "/v1/jobs";
  const bool is_user_request = target.starts_with(kPrefix);
  std::string id =
      is_user_request && target.size() > kPrefix.size() ? target.substr(kPrefix.size() + 1) : "";
  const bool is_cancellation = id.ends_with("/withdraw");
  if (is_cancellation) id.resize(id.size() - std::string_view("/withdraw").size());
  if (is_cancellation && method == "POST" && rules.was_accepted(id)) rules.cancel_requested(id);
  if (is_user_request && id.empty()) {
    const auto doc = Document::parse(body);
    if (doc && doc->root().is_map()) id = doc->root()["id"].text().value_or("");
  }
  const Instant sent_at = loop.now();
  http::Response out = co_await handle(node, std::move(request));
  if (!is_user_request || id.empty() || out.status == 0) co_return out;
  const auto doc = Document::parse(out.body);
  const std::string state(doc ? doc->root()["standing"].text().value_or("") : "");
  if (target == kPrefix) {
    rules.submit_answered(id, out.status, state, sent_at);
  } else if (is_cancellation) {
    rules.cancel_answered(id, out.status, state, sent_at);
  } else if (method == "GET") {
    rules.poll_answered(id, out.status, state, sent_at);
  }
  co_return out;
}

http::Response Site::request_and_wait(size_t node, std::string method, std::string target,
                                      std::string body) {
  return get(request(node, std::move(method), std::move(target), std::move(body)));
}

http::Response Site::submit(const JobSpec& spec, size_t node) {
  specs[spec.id] = spec;
  rules.submitted(spec);
  Writer writer;
  wire::write_job(writer, spec);
  return request_and_wait(node, "POST", "/v1/jobs", writer.take());
}

std::string Site::job_state(const std::string& id, size_t node) {
  const http::Response response = request_and_wait(node, "GET", "/v1/jobs/" + id);
  if (response.status != 200) return std::to_string(response.status);
  const auto doc = Document::parse(response.body);
  return std::string(doc->root()["standing"].text().value_or("?"));
}

size_t Site::copies(const TaskRef& task) const {
  size_t count = 0;
  for (const auto& [id, worker] : workers) {
    if (!worker->powered_on) continue;
    for (const auto& [key, running] : worker->tasks) {
      const bool started =
          running.state != TaskState::exited && running.state != TaskState::fetching;
      if (key.first == task && started) ++count;
    }
  }
  return count;
}

bool is_transaction_on(const Call& call, std::string_view key) {
  return call.target == "/multi" && call.body.find(key) != std::string::npos;
}

void expect_no_violations(const Site& site) {
  EXPECT_EQ(site.duplicate_starts, 0u);
  for (const auto& violation : site.rules.violations()) ADD_FAILURE() << violation;
}

JobSpec job(const std::string& id, uint32_t tasks) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "train";
  spec.team = "red";
  spec.tasks = tasks;
  spec.need = {2, 0, 4};
  spec.image = "img-1";
  spec.image_gb = 1;
  spec.estimate = Seconds(5);
  return spec;
}

}  // namespace dunlinknot::test
