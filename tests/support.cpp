#include "support.hpp"

#include <gtest/gtest.h>

#include <charconv>

namespace dunlinknot::test {

using http::Call;
using http::Outcome;
using http::Reply;
using wire::Document;
using wire::View;
using wire::Writer;

namespace {

std::string param(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const auto end = target.find('&', at);
  return target.substr(at + name.size() + 1,
                       end == std::string::npos ? end : end - at - name.size() - 1);
}

uint64_t number(const std::string& s) {
  return s.empty() ? 0 : std::stoull(s);
}

Reply reply(int status, std::string body = "") {
  Reply r;
  r.outcome = Outcome::ok;
  r.status = status;
  r.body = std::move(body);
  return r;
}

// Packs a view again, so that it can be kept.
std::string repack(View v) {
  Writer w;
  const std::function<void(View)> go = [&](View x) {
    if (x.null()) {
      w.null();
    } else if (x.is_list()) {
      w.list(x.size());
      for (size_t i = 0; i < x.size(); ++i) go(x.at(i));
    } else if (x.is_map()) {
      w.map(x.map_size());
      for (size_t i = 0; i < x.map_size(); ++i) {
        w.key(x.key_at(i));
        go(x.value_at(i));
      }
    } else if (const auto t = x.text()) {
      w.text(*t);
    } else if (const auto f = x.flag()) {
      w.flag(*f);
    } else if (const auto n = x.count()) {
      w.count(*n);
    } else {
      w.amount(x.amount().value_or(0));
    }
  };
  go(v);
  return w.take();
}

}  // namespace

// ---- state service

void StateService::note(std::string key, bool deleted, std::string value) {
  events_.push_back({revision_, std::move(key), deleted, std::move(value)});
}

void StateService::put(const std::string& key, std::string value) {
  ++revision_;
  data[key] = Entry{value, revision_, 0};
  note(key, false, std::move(value));
}

void StateService::erase(const std::string& key) {
  ++revision_;
  data.erase(key);
  note(key, true, "");
}

void StateService::end_outage() {
  outage = false;
  for (auto& [id, lease] : leases_) lease.ends = loop_.now() + lease.ttl;
}

void StateService::expire() {
  if (outage) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (loop_.now() < it->second.ends) {
      ++it;
      continue;
    }
    const uint64_t id = it->first;
    it = leases_.erase(it);
    std::vector<std::string> keys;
    for (const auto& [k, e] : data) {
      if (e.lease == id) keys.push_back(k);
    }
    for (const auto& k : keys) erase(k);
  }
}

Reply StateService::multi(View root) {
  std::vector<std::string> failed;
  const View guards = root["guards"];
  for (size_t i = 0; i < guards.size(); ++i) {
    const std::string key(*guards.at(i)["key"].text());
    const auto it = data.find(key);
    const uint64_t stamp = it == data.end() ? 0 : it->second.stamp;
    if (stamp != *guards.at(i)["stamp"].count()) failed.push_back(key);
  }
  Writer w;
  if (!failed.empty()) {
    w.map(2).key("failed").list(failed.size());
    for (const auto& f : failed) w.text(f);
    w.key("ledgerRev").count(revision_);
    return reply(409, w.take());
  }
  const View writes = root["writes"];
  max_writes = std::max(max_writes, writes.size());
  for (size_t i = 0; i < writes.size(); ++i) {
    const auto lease = writes.at(i)["tenancy"].count();
    if (lease && !leases_.contains(*lease)) {
      return reply(400, wire::write_error("no such lease"));
    }
  }
  if (writes.size() > 0) ++revision_;
  for (size_t i = 0; i < writes.size(); ++i) {
    const View op = writes.at(i);
    if (const auto key = op["put"].text()) {
      std::string value = repack(op["v"]);
      max_value = std::max(max_value, value.size());
      data[std::string(*key)] = Entry{value, revision_, op["tenancy"].count().value_or(0)};
      note(std::string(*key), false, std::move(value));
    } else {
      const std::string gone(*op["delete"].text());
      if (data.erase(gone)) note(gone, true, "");
    }
  }
  w.map(1).key("ledgerRev").count(revision_);
  return reply(200, w.take());
}

Task<void> StateService::multi_later(std::string body) {
  co_await loop_.sleep(late_by);
  const auto doc = Document::parse(body);
  expire();
  (void)multi(doc->root());
}

Task<Reply> StateService::changes(std::string target, Instant deadline) {
  const std::string prefix = param(target, "starts");
  const uint64_t since = number(param(target, "since"));
  const Instant end = loop_.now() + Millis(number(param(target, "blockMs")));
  for (;;) {
    if (too_old) co_return reply(410);
    if (loop_.now() >= deadline) co_return Reply{};  // the client gave up
    expire();
    std::vector<const Event*> news;
    if (!outage) {
      for (const auto& e : events_) {
        if (e.revision > since && e.key.starts_with(prefix)) news.push_back(&e);
      }
    }
    if (!news.empty() || (loop_.now() >= end && !outage)) {
      Writer w;
      w.map(2).key("ledgerRev").count(revision_).key("news").list(news.size());
      for (const auto* e : news) {
        if (e->deleted) {
          w.map(2).key("delete").text(e->key).key("stamp").count(e->revision);
        } else {
          w.map(3).key("put").text(e->key).key("v").raw(e->value).key("stamp").count(e->revision);
        }
      }
      co_return reply(200, w.take());
    }
    co_await loop_.sleep(Millis(10));
  }
}

// Renews or ends a lease.
Reply StateService::lease_request(const std::string& method, const std::string& target) {
  const uint64_t id = std::stoull(target.substr(8));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return reply(404);
  if (method == "DELETE") {
    it->second.ends = loop_.now();
    expire();
  } else {
    it->second.ends = loop_.now() + it->second.ttl;
  }
  return reply(200);
}

Reply StateService::read_key(const std::string& target) const {
  const auto it = data.find(target.substr(6));
  Writer w;
  if (it == data.end()) {
    w.map(1).key("ledgerRev").count(revision_);
    return reply(404, w.take());
  } else {
    w.map(4).key("key").text(it->first).key("v").raw(it->second.value);
    w.key("stamp").count(it->second.stamp).key("tenancy");
    it->second.lease ? w.count(it->second.lease) : w.null();
    return reply(200, w.take());
  }
}

Reply StateService::list_keys(const std::string& target) const {
  const std::string prefix = param(target, "starts");
  const std::string after = param(target, "since");
  const uint64_t most = number(param(target, "most"));
  std::vector<std::pair<std::string, const Entry*>> rows;
  bool more = false;
  for (const auto& [k, e] : data) {
    if (!k.starts_with(prefix) || (!after.empty() && k <= after)) continue;
    if (rows.size() == most) {
      more = true;
      break;
    }
    rows.emplace_back(k, &e);
  }
  Writer w;
  w.map(3).key("rows").list(rows.size());
  for (const auto& [k, e] : rows) {
    w.map(3).key("key").text(k).key("v").raw(e->value).key("stamp").count(e->stamp);
  }
  w.key("more").flag(more).key("ledgerRev").count(revision_);
  return reply(200, w.take());
}

// All requests but watches.
Reply StateService::execute(const Call& call) {
  const auto doc = Document::parse(call.body);
  const View root = doc ? doc->root() : View();
  if (call.target == "/multi") return multi(root);
  if (call.target == "/leases") {
    const Millis ttl(*root["ttlMs"].count());
    leases_[next_lease_] = Lease{ttl, loop_.now() + ttl};
    Writer w;
    w.map(1).key("tenancy").count(next_lease_++);
    return reply(200, w.take());
  }
  if (call.target.starts_with("/leases/")) return lease_request(call.method, call.target);
  if (call.target.starts_with("/keys/")) return read_key(call.target);
  if (call.target.starts_with("/keys?")) return list_keys(call.target);
  return reply(400);
}

Task<Reply> StateService::serve(Call call) {
  ++requests;
  const Fate f = fate ? fate(call) : Fate::normal;
  co_await loop_.sleep(Millis(3));
  if (f == Fate::refuse || (outage && !call.target.starts_with("/changes"))) co_return reply(503);
  if (f == Fate::lose_request) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  if (f == Fate::apply_late) {
    loop_.spawn(multi_later(call.body));
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  expire();
  Reply out;
  if (call.target.starts_with("/changes")) {
    out = co_await changes(call.target, call.deadline);
  } else {
    out = execute(call);
  }
  if (f == Fate::slow_reply) co_await loop_.sleep(late_by);
  if (f == Fate::lose_reply) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  co_return out;
}

// ---- cloud

Task<Reply> CloudService::serve(Call call) {
  co_await loop_.sleep(Millis(80));
  if (trouble) co_return reply(503, wire::write_error("trouble"));
  if (call.target == "/catalog") co_return reply(200, wire::write_catalog(types));
  const auto doc = Document::parse(call.body);
  const View root = doc ? doc->root() : View();
  if (call.target == "/rentals" && call.method == "POST") {
    const std::string request(*root["hire"].text());
    const auto names = [&](const std::vector<std::string>& ids) {
      Writer w;
      w.map(1).key("hosts").list(ids.size());
      for (const auto& id : ids) w.text(id);
      return w.take();
    };
    if (answered.contains(request)) co_return reply(200, names(answered[request]));
    const std::string type(*root["rig"].text()), zone(*root["yard"].text());
    const bool spot = *root["loaners"].flag();
    uint32_t& left = capacity[type + "/" + zone + "/" + (spot ? "spot" : "ordinary")];
    const auto n = std::min<uint64_t>(left, *root["count"].count());
    if (n == 0) {
      ++refusals;
      co_return reply(503, wire::write_error("no capacity"));
    }
    left -= static_cast<uint32_t>(n);
    std::vector<std::string> ids;
    for (uint64_t i = 0; i < n; ++i) {
      char name[16];
      std::snprintf(name, sizeof name, "vm-%06u", static_cast<unsigned>(next_++));
      Machine m{name, type, zone, spot, loop_.now(), false, {}};
      machines[m.id] = m;
      ids.push_back(m.id);
      if (on_rented) on_rented(m);
    }
    ++rentals;
    answered[request] = ids;
    if (lose_rental_replies) {
      co_await loop_.sleep_until(call.deadline);
      co_return Reply{};
    }
    co_return reply(200, names(ids));
  }
  if (call.target == "/rentals/delete") {
    const View hosts = root["hosts"];
    for (size_t i = 0; i < hosts.size(); ++i) {
      const std::string id(*hosts.at(i).text());
      deletions.push_back(id);
      const auto it = machines.find(id);
      if (it == machines.end() || it->second.gone) continue;
      it->second.gone = true;
      it->second.gone_at = loop_.now();
      ++capacity[it->second.type + "/" + it->second.zone + "/" +
                 (it->second.spot ? "spot" : "ordinary")];
      if (on_deleted) on_deleted(id);
    }
    co_return reply(200);
  }
  // The list as it was a while ago.
  const Instant as_of = loop_.now() - lag;
  Writer w;
  std::vector<const Machine*> shown;
  for (const auto& [id, m] : machines) {
    if (m.since <= as_of && !(m.gone && m.gone_at <= as_of)) shown.push_back(&m);
  }
  w.map(2).key("hosts").list(shown.size());
  for (const auto* m : shown) {
    w.map(7).key("id").text(m->id).key("address").text("10.1.0.1:9000").key("rig").text(m->type);
    w.key("yard").text(m->zone).key("loaners").flag(m->spot).key("standing").text("running");
    w.key("heldS").amount(to_seconds(as_of - m->since).count());
  }
  w.key("more").flag(false);
  co_return reply(200, w.take());
}

// ---- workers

Worker::Worker(Loop& loop, std::string id_, const MachineType& type, std::string zone, bool spot,
               std::string address_, Nanos lease)
    : id(std::move(id_)),
      address(std::move(address_)),
      loop_(loop),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      lease_(lease),
      answered_sent_(loop.now()) {}

WorkerReport Worker::report() {
  advance();
  WorkerReport b;
  b.machine = id;
  b.address = address;
  b.type = type_.name;
  b.zone = zone_;
  b.spot = spot_;
  b.session = session;
  b.seq = ++seq;
  b.token = token;
  b.notice = notice;
  for (const auto& [key, t] : tasks) {
    b.tasks.push_back({t.task, t.attempt, t.state, t.cause, t.saved});
  }
  return b;
}

void Worker::end(Running& r, ExitCause cause) {
  if (on_end) on_end(Running{r.task, r.attempt, r.state, cause, r.saved, r.since, r.ends});
  r.state = TaskState::exited;
  r.cause = cause;
}

void Worker::advance() {
  for (auto& [key, t] : tasks) {
    if (t.state == TaskState::running && loop_.now() >= t.ends) {
      end(t, fails && fails(t.task) ? ExitCause::error : ExitCause::done);
    } else if (t.state == TaskState::saving && loop_.now() >= t.ends) {
      t.saved = true;
      end(t, ExitCause::stopped);
    }
  }
}

void Worker::end_all() {
  for (auto& [key, t] : tasks) {
    if (t.state != TaskState::exited) end(t, ExitCause::none);
  }
}

void Worker::power_off() {
  on = false;
  end_all();
}

void Worker::lose_lease() {
  end_all();
  tasks.clear();
  ++session;
  answered_sent_ = loop_.now();
}

void Worker::obey(View orders) {
  advance();
  for (size_t i = 0; i < orders.size(); ++i) {
    const View o = orders.at(i);
    const TaskRef task = *TaskRef::parse(*o["piece"].text());
    const uint64_t attempt = *o["try"].count();
    const auto key = std::pair(task, attempt);
    const std::string_view verb = *o["verb"].text();
    const auto it = tasks.find(key);
    if (verb == "run") {
      if (it != tasks.end()) continue;
      Running r{task,
                attempt,
                TaskState::running,
                ExitCause::none,
                false,
                loop_.now(),
                loop_.now() + (run_time ? run_time(task) : Nanos(seconds(5)))};
      for (const auto& [k, t] : tasks) {
        if (k.first == task && t.state != TaskState::exited) {
          r.state = TaskState::exited;
          r.cause = ExitCause::busy;
        }
      }
      if (r.state == TaskState::running) {
        started.emplace_back(task, attempt);
        if (on_start) on_start(task);
      }
      tasks[key] = r;
    } else if (verb == "stop" && it != tasks.end() && it->second.state != TaskState::exited) {
      const double grace = *o["windDownS"].amount();
      const auto spec = specs ? specs->find(task.job) : std::map<std::string, JobSpec>::iterator{};
      const bool saves = specs && spec != specs->end() && spec->second.checkpoint > Seconds(0) &&
                         grace >= spec->second.save.count();
      if (it->second.state == TaskState::running && saves) {
        it->second.state = TaskState::saving;
        it->second.ends = loop_.now() + to_nanos(spec->second.save);
      } else if (it->second.state != TaskState::saving || grace == 0) {
        end(it->second, ExitCause::stopped);
      }
    } else if (verb == "forget" && it != tasks.end() && it->second.state == TaskState::exited) {
      tasks.erase(it);
    }
  }
}

Task<void> Worker::run(std::function<Task<http::Response>(http::Request)> handler, Nanos pace) {
  while (on) {
    const Instant sent = loop_.now();
    if (hung) {
      co_await loop_.sleep(Millis(50));
      continue;
    }
    if (sent - answered_sent_ > lease_) lose_lease();
    if (cut || mute) {
      co_await loop_.sleep(pace);
      continue;
    }
    const uint64_t in_session = session;
    http::Request r;
    r.method = "POST";
    r.target = "/agent/beat";
    r.body = wire::write_report(report());
    http::Response answer = co_await handler(std::move(r));
    co_await loop_.sleep(Millis(1));
    if (!on) co_return;
    // A response that took too long was given up, and a machine that hung meanwhile drops it too.
    const bool in_time = loop_.now() - sent <= seconds(4) && !hung;
    if (answer.status == 200 && !drop_responses && !cut && in_time && in_session == session) {
      const auto doc = Document::parse(answer.body);
      const auto answered = doc->root()["baton"].count();
      if (answered && *answered >= token) {
        token = *answered;
        answered_sent_ = sent;
        obey(doc->root()["orders"]);
      }
    }
    co_await loop_.sleep(pace);
  }
}

Task<void> Worker::watch_lease() {
  while (on) {
    const Instant ends = answered_sent_ + lease_;
    co_await loop_.sleep_until(std::max(ends, loop_.now()) + Millis(1));
    if (on && loop_.now() - answered_sent_ > lease_) lose_lease();
  }
}

// A hung machine has the command in its socket, and executes it when it goes on.
Task<void> Worker::execute_later(std::string body) {
  while (on && hung) co_await loop_.sleep(Millis(20));
  if (!on) co_return;
  if (loop_.now() - answered_sent_ > lease_) lose_lease();
  (void)execute(body);
}

Task<Reply> Worker::direct(Call call) {
  co_await loop_.sleep(Millis(1));
  if (on && hung) loop_.spawn(execute_later(call.body));
  if (!on || cut || refuse_direct || hung) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  co_return execute(call.body);
}

Reply Worker::execute(const std::string& body) {
  const auto doc = Document::parse(body);
  const View root = doc->root();
  int status = 409;
  if (*root["baton"].count() >= token && *root["shift"].count() == session) {
    token = *root["baton"].count();
    obey(root["orders"]);
    status = 200;
  }
  return reply(status, wire::write_report(report()));
}

// ---- all together

Site::Node::Node(Site& s, size_t index) : site(s) {
  platform = Site::platform(index, 3);
  if (s.adjust_platform) s.adjust_platform(platform);
  daemon = std::make_unique<node::Daemon>(s.loop, platform, s.op, *this,
                                          static_cast<uint32_t>(index + 7));
  daemon->start_parts();
}

Task<Reply> Site::Node::exchange(Call call) {
  if (dead) co_await site.loop.sleep(std::chrono::hours(1000));
  if (call.to == platform.state) {
    if (cut_from_state) {
      co_await site.loop.sleep_until(call.deadline);
      co_return Reply{};
    }
    // Open watches of a node that is refused wait as they do in an outage.
    if (refused_by_state && !call.target.starts_with("/changes")) co_return reply(503);
    Reply r = co_await site.state.serve(call);
    while (refused_by_state && site.loop.now() < call.deadline) {
      co_await site.loop.sleep(Millis(20));
    }
    if (refused_by_state) co_return Reply{};
    co_return r;
  }
  if (call.to == platform.cloud) co_return co_await site.cloud.serve(std::move(call));
  for (auto& [id, w] : site.workers) {
    if (w->address == call.to.text()) co_return co_await w->direct(std::move(call));
  }
  Reply none;
  none.outcome = Outcome::refused;
  co_return none;
}

void Site::restart(size_t i) {
  crash(i);
  graveyard.push_back(std::move(nodes[i]));
  nodes[i] = std::make_unique<Node>(*this, i);
}

Task<http::Response> Site::handle(size_t i, http::Request request) {
  Node& n = *nodes[i];
  http::Response none;
  none.status = 0;
  if (n.dead) co_return none;
  if (on_request) request = on_request(std::move(request));
  http::Response r = co_await n.daemon->handle(std::move(request));
  if (n.dead) co_return none;
  if (on_response) on_response(r);
  co_return r;
}

settings::Platform Site::platform(size_t index, size_t count) {
  settings::Platform p;
  p.node = "dunlin-" + std::to_string(index);
  p.zone = "a";
  p.listen = *http::Endpoint::parse("127.0.0.1:1000");
  p.back = *http::Endpoint::parse("127.0.0.1:1001");
  for (size_t i = 0; i < count; ++i) {
    if (i == index) continue;
    p.peers.push_back({"dunlin-" + std::to_string(i), "a",
                       *http::Endpoint::parse("127.0.0.1:" + std::to_string(2000 + i))});
  }
  p.cloud = *http::Endpoint::parse("127.0.0.1:3000");
  p.state = *http::Endpoint::parse("127.0.0.1:3001");
  p.nodes = static_cast<uint32_t>(count);
  p.zones = {"a", "b"};
  p.teams = {{"red", 8, 64, 0, 0}, {"blue", 8, 64, 0, 0}, {"tiny", 0, 4, 0, 0}};
  p.report = Seconds(1.5);
  p.lease = Seconds(14);
  p.gang_wait = Seconds(40);
  p.gang_peer = Seconds(6);
  p.cancel = Seconds(39);
  p.state_rps = 1000;
  p.state_write_rps = 1000;
  p.value_bytes = size_t{8} * 1024;
  p.txn_ops = 16;
  p.cloud_rps = 4;
  p.list_lag = Seconds(8);
  p.cpu_share = 0.1;
  p.memory_mb = 64;
  p.max_connections = 500;
  return p;
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
  cloud.on_rented = [this](const CloudService::Machine& m) { add_worker(m); };
  cloud.on_deleted = [this](const std::string& id) {
    if (const auto it = workers.find(id); it != workers.end()) it->second->power_off();
  };
  for (size_t i = 0; i < controllers; ++i) nodes.push_back(std::make_unique<Node>(*this, i));
  loop.spawn(sweep_rules());
  loop.spawn(exchange_statuses());
}

Task<void> Site::sweep_rules() {
  for (;;) {
    rules.sweep();
    co_await loop.sleep(Millis(100));
  }
}

// What the controllers' links carry: each hears the others' statuses every half second.
Task<void> Site::exchange_statuses() {
  for (;;) {
    co_await loop.sleep(Millis(500));
    for (auto& to : nodes) {
      for (auto& from : nodes) {
        if (to == from || to->dead || from->dead) continue;
        if (to->cut_from_peers || from->cut_from_peers) continue;
        to->daemon->peers().take_status(from->daemon->status(), loop.now());
      }
    }
  }
}

std::optional<size_t> Site::leader() const {
  for (size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i]->dead && nodes[i]->daemon->elector().leading()) return i;
  }
  return std::nullopt;
}

void Site::add_worker(const CloudService::Machine& m) {
  const MachineType* type = nullptr;
  for (const auto& t : cloud.types) {
    if (t.name == m.type) type = &t;
  }
  if (!type) throw std::runtime_error("a machine of a type that the cloud does not list");
  const size_t number = workers.size() + 1;
  const std::string address =
      "10.1." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":9000";
  auto w = std::make_unique<Worker>(loop, m.id, *type, m.zone, m.spot, address, seconds(14));
  w->specs = &specs;
  Worker* raw = w.get();
  const Rules::Place place{m.id, m.type, m.zone, m.spot};
  w->on_start = [this, place, raw](const TaskRef& t) {
    ++starts;
    if (copies(t) > 0) ++ran_twice;
    rules.started(place, t, raw->started.back().second);
  };
  w->on_end = [this, id = m.id](const Worker::Running& r) {
    rules.ended(id, r.task, r.attempt, r.cause == ExitCause::done);
  };
  if (on_worker) on_worker(*w);
  workers[m.id] = std::move(w);
  // Tries the nodes in turn, beginning with the one that answered last; the leader is the one that
  // answers 200.
  const auto handler = [this, id = m.id,
                        at = std::make_shared<size_t>(0)](http::Request r) -> Task<http::Response> {
    http::Response out;
    out.status = 503;
    for (size_t k = 0; k < nodes.size(); ++k) {
      const size_t i = (*at + k) % nodes.size();
      if (cut.contains({i, id})) continue;
      http::Request copy = r;
      out = co_await handle(i, std::move(copy));
      if (out.status != 200) continue;
      *at = i;
      break;
    }
    co_return out;
  };
  const auto boot = [](Loop& l, Worker* worker,
                       std::function<Task<http::Response>(http::Request)> h) -> Task<void> {
    co_await l.sleep(seconds(2));
    co_await worker->run(std::move(h), Millis(1500));
  };
  loop.spawn(boot(loop, raw, handler));
  loop.spawn(raw->watch_lease());
}

Task<http::Response> Site::request(size_t node, std::string method, std::string target,
                                   std::string body) {
  http::Request r;
  r.method = method;
  r.target = target;
  r.body = body;
  constexpr std::string_view kPrefix = "/v1/jobs";
  const bool users = target.starts_with(kPrefix);
  std::string id = users && target.size() > kPrefix.size() ? target.substr(kPrefix.size() + 1) : "";
  const bool withdraws = id.ends_with("/withdraw");
  if (withdraws) id.resize(id.size() - std::string_view("/withdraw").size());
  if (withdraws && method == "POST" && rules.was_accepted(id)) rules.cancel_asked(id);
  if (users && id.empty()) {
    const auto doc = Document::parse(body);
    if (doc && doc->root().is_map()) id = doc->root()["id"].text().value_or("");
  }
  const Instant asked = loop.now();
  http::Response out = co_await handle(node, std::move(r));
  if (!users || id.empty() || out.status == 0) co_return out;
  const auto doc = Document::parse(out.body);
  const std::string standing(doc ? doc->root()["standing"].text().value_or("") : "");
  if (target == kPrefix) {
    rules.submit_answered(id, out.status, standing, asked);
  } else if (withdraws) {
    rules.cancel_answered(id, out.status, standing, asked);
  } else if (method == "GET") {
    rules.poll_answered(id, out.status, standing, asked);
  }
  co_return out;
}

http::Response Site::ask(size_t node, std::string method, std::string target, std::string body) {
  return get(request(node, std::move(method), std::move(target), std::move(body)));
}

http::Response Site::submit(const JobSpec& spec, size_t node) {
  specs[spec.id] = spec;
  rules.submitted(spec);
  Writer w;
  wire::write_job(w, spec);
  return ask(node, "POST", "/v1/jobs", w.take());
}

std::string Site::standing(const std::string& id, size_t node) {
  const http::Response r = ask(node, "GET", "/v1/jobs/" + id);
  if (r.status != 200) return std::to_string(r.status);
  const auto doc = Document::parse(r.body);
  return std::string(doc->root()["standing"].text().value_or("?"));
}

size_t Site::copies(const TaskRef& t) const {
  size_t n = 0;
  for (const auto& [id, w] : workers) {
    if (!w->on) continue;
    for (const auto& [key, running] : w->tasks) {
      if (key.first == t && running.state != TaskState::exited) ++n;
    }
  }
  return n;
}

bool is_commit_of(const Call& c, std::string_view key) {
  return c.target == "/multi" && c.body.find(key) != std::string::npos;
}

void expect_rules(const Site& s) {
  EXPECT_EQ(s.ran_twice, 0u);
  for (const auto& b : s.rules.broken()) ADD_FAILURE() << b;
}

JobSpec job(const std::string& id, uint32_t tasks) {
  JobSpec j;
  j.id = id;
  j.job_class = "train";
  j.team = "red";
  j.tasks = tasks;
  j.need = {2, 0, 4};
  j.image = "img-1";
  j.image_gb = 1;
  j.estimate = Seconds(5);
  return j;
}

}  // namespace dunlinknot::test
