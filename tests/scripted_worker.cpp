// The scripted worker: fencing tokens, incarnations, leases, and commands in the order of arrival.
#include "scripted_worker.hpp"

namespace dunlinknot::test {

using http::Call;
using http::Reply;
using wire::Document;
using wire::View;

namespace {

constexpr auto kResponseTimeout = seconds(4);  // a worker drops later responses

}  // namespace

ScriptedWorker::ScriptedWorker(EventLoop& loop, std::string machine_id, const MachineType& type,
                               std::string zone, bool spot, std::string worker_address, Nanos lease)
    : id(std::move(machine_id)),
      address(std::move(worker_address)),
      loop_(loop),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      lease_(lease),
      lease_renewed_at_(loop.now()) {}

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
  for (const auto& [key, running] : tasks) {
    heartbeat.tasks.push_back(
        {running.task, running.attempt, running.state, running.cause, running.saved});
  }
  return heartbeat;
}

// The image has been fetched: the task counts as started on this machine.
void ScriptedWorker::begin(Running& running) {
  started.emplace_back(running.task, running.attempt);
  if (on_start) on_start(running.task);
  running.state = TaskState::running;
  running.ends = loop_.now() + (run_time ? run_time(running.task) : Nanos(seconds(5)));
}

void ScriptedWorker::end(Running& running, ExitCause cause) {
  if (on_end)
    on_end(Running{running.task, running.attempt, running.state, cause, running.saved,
                   running.since, running.ends});
  running.state = TaskState::exited;
  running.cause = cause;
}

void ScriptedWorker::advance() {
  for (auto& [key, running] : tasks) {
    if (running.state == TaskState::fetching && loop_.now() >= running.ends) begin(running);
    if (running.state == TaskState::running && loop_.now() >= running.ends) {
      end(running, fails && fails(running.task) ? ExitCause::error : ExitCause::done);
    } else if (running.state == TaskState::saving && loop_.now() >= running.ends) {
      running.saved = true;
      end(running, ExitCause::stopped);
    }
  }
}

void ScriptedWorker::end_all() {
  for (auto& [key, running] : tasks) {
    if (running.state != TaskState::exited) end(running, ExitCause::none);
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
  lease_renewed_at_ = loop_.now();
}

void ScriptedWorker::execute_commands(View commands) {
  advance();
  for (size_t i = 0; i < commands.size(); ++i) {
    const View command = commands.at(i);
    const TaskRef task = *TaskRef::parse(*command["piece"].text());
    const uint64_t attempt = *command["try"].count();
    const auto key = std::pair(task, attempt);
    const std::string_view verb = *command["verb"].text();
    const auto it = tasks.find(key);
    if (verb == "run") {
      if (it != tasks.end()) continue;
      const Nanos fetch = fetch_time ? fetch_time(task) : Nanos(0);
      Running running{task,  attempt,     TaskState::fetching, ExitCause::none,
                      false, loop_.now(), loop_.now() + fetch};
      for (const auto& [other_key, other] : tasks) {
        if (other_key.first == task && other.state != TaskState::exited) {
          running.state = TaskState::exited;
          running.cause = ExitCause::already_present;
        }
      }
      if (running.state == TaskState::fetching && fetch == Nanos(0)) begin(running);
      tasks[key] = running;
    } else if (verb == "stop" && it != tasks.end() && it->second.state != TaskState::exited) {
      const double grace = *command["windDownS"].amount();
      const auto spec = specs ? specs->find(task.job) : std::map<std::string, JobSpec>::iterator{};
      const bool saves = specs && spec != specs->end() &&
                         spec->second.checkpoint_interval > Seconds(0) &&
                         grace >= spec->second.checkpoint_duration.count();
      if (it->second.state == TaskState::running && saves) {
        it->second.state = TaskState::saving;
        it->second.ends = loop_.now() + to_nanos(spec->second.checkpoint_duration);
      } else if (it->second.state != TaskState::saving || grace == 0) {
        end(it->second, ExitCause::stopped);
      }
    } else if (verb == "forget" && it != tasks.end() && it->second.state == TaskState::exited) {
      tasks.erase(it);
    }
  }
}

Task<void> ScriptedWorker::run(std::function<Task<http::Response>(http::Request)> handler,
                               Nanos interval) {
  while (powered_on) {
    const Instant sent = loop_.now();
    if (hung) {
      co_await loop_.sleep(Millis(50));
      continue;
    }
    if (sent - lease_renewed_at_ > lease_) lose_lease();
    if (isolated || drop_heartbeats) {
      co_await loop_.sleep(interval);
      continue;
    }
    const uint64_t sent_by_incarnation = incarnation;
    last_heartbeat_sent_at_ = sent;
    http::Request request;
    request.method = "POST";
    request.target = "/agent/beat";
    request.body = wire::write_heartbeat(heartbeat());
    http::Response response = co_await handler(std::move(request));
    co_await loop_.sleep(Millis(1));
    if (!powered_on) co_return;
    // The worker's timeout for a response is 4 s; a machine that hung meanwhile drops it too.
    const bool in_time = loop_.now() - sent <= kResponseTimeout && !hung;
    if (response.status == 200 && !drop_responses && !isolated && in_time &&
        sent_by_incarnation == incarnation && accept_response(response.body)) {
      lease_renewed_at_ = sent;
      if (on_commands) on_commands({response.body, false, incarnation, sent});
    }
    co_await loop_.sleep(interval);
  }
}

// Executes the commands of a response unless its token is lower than one received before.
bool ScriptedWorker::accept_response(const std::string& body) {
  const auto doc = Document::parse(body);
  const auto token = doc->root()["baton"].count();
  if (!token || *token < fencing_token) return false;
  fencing_token = *token;
  execute_commands(doc->root()["orders"]);
  return true;
}

void ScriptedWorker::execute_copy(const ReceivedCommands& received, bool any_response) {
  if (!powered_on || hung) return;
  if (received.direct) {
    (void)execute(received.body);
    return;
  }
  const bool awaited = received.heartbeat_sent_at == last_heartbeat_sent_at_ &&
                       loop_.now() - received.heartbeat_sent_at <= kResponseTimeout;
  if (received.incarnation == incarnation && (awaited || any_response))
    (void)accept_response(received.body);
}

Task<void> ScriptedWorker::watch_lease() {
  while (powered_on) {
    const Instant ends = lease_renewed_at_ + lease_;
    co_await loop_.sleep_until(std::max(ends, loop_.now()) + Millis(1));
    if (powered_on && loop_.now() - lease_renewed_at_ > lease_) lose_lease();
  }
}

// A hung machine keeps the command in its socket and executes it when it resumes.
Task<void> ScriptedWorker::execute_later(std::string body) {
  while (powered_on && hung) co_await loop_.sleep(Millis(20));
  if (!powered_on) co_return;
  if (loop_.now() - lease_renewed_at_ > lease_) lose_lease();
  (void)execute(body);
}

Task<Reply> ScriptedWorker::serve_command(Call call) {
  co_await loop_.sleep(Millis(1));
  if (powered_on && hung) loop_.spawn(execute_later(call.body));
  if (!powered_on || isolated || refuse_direct || hung) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  if (on_commands) on_commands({call.body, true, incarnation, {}});
  co_return execute(call.body);
}

Reply ScriptedWorker::execute(const std::string& body) {
  const auto doc = Document::parse(body);
  const View root = doc->root();
  int status = 409;
  if (*root["baton"].count() >= fencing_token && *root["shift"].count() == incarnation) {
    fencing_token = *root["baton"].count();
    execute_commands(root["orders"]);
    status = 200;
  }
  return reply(status, wire::write_heartbeat(heartbeat()));
}

}  // namespace dunlinknot::test
