// The scripted worker: fencing tokens, incarnations, leases, and commands in the order they come.
#include "scripted_worker.hpp"

namespace dunlinknot::test {

using http::Call;
using http::Reply;
using wire::Document;
using wire::View;

ScriptedWorker::ScriptedWorker(EventLoop& loop, std::string machine_id, const MachineType& type,
                               std::string zone, bool spot, std::string worker_address, Nanos lease)
    : id(std::move(machine_id)),
      address(std::move(worker_address)),
      loop_(loop),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      lease_(lease),
      answered_sent_(loop.now()) {}

Heartbeat ScriptedWorker::heartbeat() {
  advance();
  Heartbeat heartbeat;
  heartbeat.machine = id;
  heartbeat.address = address;
  heartbeat.type = type_.name;
  heartbeat.zone = zone_;
  heartbeat.spot = spot_;
  heartbeat.incarnation = incarnation;
  heartbeat.sequence = ++sequence;
  heartbeat.fencing_token = fencing_token;
  heartbeat.interruption_notice = interruption_notice;
  for (const auto& [key, t] : tasks) {
    heartbeat.tasks.push_back({t.task, t.attempt, t.state, t.cause, t.saved});
  }
  return heartbeat;
}

// The image is there: the task is on the machine from now on.
void ScriptedWorker::begin(Running& r) {
  started.emplace_back(r.task, r.attempt);
  if (on_start) on_start(r.task);
  r.state = TaskState::running;
  r.ends = loop_.now() + (run_time ? run_time(r.task) : Nanos(seconds(5)));
}

void ScriptedWorker::end(Running& r, ExitCause cause) {
  if (on_end) on_end(Running{r.task, r.attempt, r.state, cause, r.saved, r.since, r.ends});
  r.state = TaskState::exited;
  r.cause = cause;
}

void ScriptedWorker::advance() {
  for (auto& [key, t] : tasks) {
    if (t.state == TaskState::fetching && loop_.now() >= t.ends) begin(t);
    if (t.state == TaskState::running && loop_.now() >= t.ends) {
      end(t, fails && fails(t.task) ? ExitCause::error : ExitCause::done);
    } else if (t.state == TaskState::saving && loop_.now() >= t.ends) {
      t.saved = true;
      end(t, ExitCause::stopped);
    }
  }
}

void ScriptedWorker::end_all() {
  for (auto& [key, t] : tasks) {
    if (t.state != TaskState::exited) end(t, ExitCause::none);
  }
}

void ScriptedWorker::power_off() {
  powered_on = false;
  end_all();
}

void ScriptedWorker::lose_lease() {
  end_all();
  tasks.clear();
  ++incarnation;
  answered_sent_ = loop_.now();
}

void ScriptedWorker::obey(View orders) {
  advance();
  for (size_t i = 0; i < orders.size(); ++i) {
    const View value = orders.at(i);
    const TaskRef task = *TaskRef::parse(*value["piece"].text());
    const uint64_t attempt = *value["try"].count();
    const auto key = std::pair(task, attempt);
    const std::string_view verb = *value["verb"].text();
    const auto it = tasks.find(key);
    if (verb == "run") {
      if (it != tasks.end()) continue;
      const Nanos fetch = fetch_time ? fetch_time(task) : Nanos(0);
      Running r{task,  attempt,     TaskState::fetching, ExitCause::none,
                false, loop_.now(), loop_.now() + fetch};
      for (const auto& [k, t] : tasks) {
        if (k.first == task && t.state != TaskState::exited) {
          r.state = TaskState::exited;
          r.cause = ExitCause::busy;
        }
      }
      if (r.state == TaskState::fetching && fetch == Nanos(0)) begin(r);
      tasks[key] = r;
    } else if (verb == "stop" && it != tasks.end() && it->second.state != TaskState::exited) {
      const double grace = *value["windDownS"].amount();
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

Task<void> ScriptedWorker::run(std::function<Task<http::Response>(http::Request)> handler,
                               Nanos pace) {
  while (powered_on) {
    const Instant sent = loop_.now();
    if (hung) {
      co_await loop_.sleep(Millis(50));
      continue;
    }
    if (sent - answered_sent_ > lease_) lose_lease();
    if (isolated || drop_heartbeats) {
      co_await loop_.sleep(pace);
      continue;
    }
    const uint64_t in_incarnation = incarnation;
    http::Request request;
    request.method = "POST";
    request.target = "/agent/beat";
    request.body = wire::write_heartbeat(heartbeat());
    http::Response answer = co_await handler(std::move(request));
    co_await loop_.sleep(Millis(1));
    if (!powered_on) co_return;
    // A response that took too long was given up, and a machine that hung meanwhile drops it too.
    const bool in_time = loop_.now() - sent <= seconds(4) && !hung;
    if (answer.status == 200 && !drop_responses && !isolated && in_time &&
        in_incarnation == incarnation) {
      const auto doc = Document::parse(answer.body);
      const auto answered = doc->root()["baton"].count();
      if (answered && *answered >= fencing_token) {
        fencing_token = *answered;
        answered_sent_ = sent;
        obey(doc->root()["orders"]);
      }
    }
    co_await loop_.sleep(pace);
  }
}

Task<void> ScriptedWorker::watch_lease() {
  while (powered_on) {
    const Instant ends = answered_sent_ + lease_;
    co_await loop_.sleep_until(std::max(ends, loop_.now()) + Millis(1));
    if (powered_on && loop_.now() - answered_sent_ > lease_) lose_lease();
  }
}

// A hung machine has the command in its socket, and executes it when it goes on.
Task<void> ScriptedWorker::execute_later(std::string body) {
  while (powered_on && hung) co_await loop_.sleep(Millis(20));
  if (!powered_on) co_return;
  if (loop_.now() - answered_sent_ > lease_) lose_lease();
  (void)execute(body);
}

Task<Reply> ScriptedWorker::direct(Call call) {
  co_await loop_.sleep(Millis(1));
  if (powered_on && hung) loop_.spawn(execute_later(call.body));
  if (!powered_on || isolated || refuse_direct || hung) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  co_return execute(call.body);
}

Reply ScriptedWorker::execute(const std::string& body) {
  const auto doc = Document::parse(body);
  const View root = doc->root();
  int status = 409;
  if (*root["baton"].count() >= fencing_token && *root["shift"].count() == incarnation) {
    fencing_token = *root["baton"].count();
    obey(root["orders"]);
    status = 200;
  }
  return reply(status, wire::write_heartbeat(heartbeat()));
}

}  // namespace dunlinknot::test
