// Calls to the cloud over HTTP, and what their answers mean.
#include "dunlinknot/cloud/client.hpp"

#include <spdlog/spdlog.h>

#include "dunlinknot/wire/cloud_api.hpp"

namespace dunlinknot::cloud {

namespace {

constexpr auto kCallTime = std::chrono::seconds(5);
constexpr size_t kPageMachines = 500;   // the most that the cloud lists in one answer
constexpr size_t kMachineBytes = 1024;  // of one listed machine; names have up to 150 bytes
constexpr size_t kMaxBody = kPageMachines * kMachineBytes;
constexpr double kRateShare = 0.9;  // of the cloud's limit, to stay clear of it

constexpr int kStatusOk = 200;
constexpr int kStatusThrottled = 429;
constexpr int kStatusUnavailable = 503;

// The cloud answered that it did not carry the request out.
bool refuses(const http::Reply& reply) {
  return reply.status == kStatusThrottled || reply.status == kStatusUnavailable;
}

bool succeeded(const http::Reply& reply) {
  return reply.outcome == Outcome::ok && reply.status == kStatusOk;
}

}  // namespace

Client::Client(EventLoop& loop, http::Transport& transport, http::Endpoint at,
               double requests_per_second)
    : loop_(loop),
      transport_(transport),
      at_(at),
      rate_limit_(requests_per_second * kRateShare, std::max(1.0, requests_per_second)) {}

Task<http::Reply> Client::call(std::string method, std::string target, std::string body) {
  while (!rate_limit_.take(loop_.now())) co_await loop_.sleep(rate_limit_.until(loop_.now()));
  http::Call call;
  call.to = at_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = loop_.now() + kCallTime;
  call.max_body = kMaxBody;
  http::Reply reply = co_await transport_.exchange(std::move(call));
  if (reply.outcome == Outcome::ok && refuses(reply)) reply.outcome = Outcome::refused;
  answering_ = reply.outcome == Outcome::ok || refuses(reply);
  co_return reply;
}

Task<std::optional<std::vector<MachineType>>> Client::catalog() {
  http::Reply reply = co_await call("GET", std::string(wire::kCatalogPath), "");
  if (!succeeded(reply)) co_return std::nullopt;
  auto types = wire::read_catalog(reply.body);
  if (!types) spdlog::info("cloud: unreadable catalogue, ignored");
  co_return types;
}

Task<LaunchResult> Client::launch(LaunchRequest request) {
  http::Reply reply =
      co_await call("POST", std::string(wire::kMachinesPath),
                    wire::write_launch_request(request.name, request.type, request.zone,
                                               request.spot, request.count));
  LaunchResult result;
  if (reply.status == kStatusUnavailable) {
    if (wire::says_no_capacity(reply.body)) {
      result.outcome = LaunchOutcome::no_capacity;
      co_return result;
    }
    answering_ = false;
  }
  if (reply.outcome != Outcome::ok) {
    // Without an answer of the cloud itself a refusal is no evidence about the request.
    const bool refused = reply.outcome == Outcome::refused && answering_;
    result.outcome = refused ? LaunchOutcome::refused : LaunchOutcome::unknown;
    co_return result;
  }
  if (reply.status != kStatusOk) {
    spdlog::error("cloud: launch {} refused with status {}", request.name, reply.status);
    result.outcome = LaunchOutcome::refused;
    co_return result;
  }
  auto machines = wire::read_launched(reply.body);
  if (!machines) {
    spdlog::info("cloud: unreadable answer to launch {}, taken as unknown", request.name);
    co_return result;
  }
  result.outcome = LaunchOutcome::launched;
  result.machines = std::move(*machines);
  co_return result;
}

Task<Outcome> Client::terminate(std::vector<std::string> machines) {
  http::Reply reply = co_await call("POST", std::string(wire::kTerminationPath),
                                    wire::write_termination_request(machines));
  if (reply.outcome == Outcome::ok && reply.status != kStatusOk) co_return Outcome::unknown;
  co_return reply.outcome;
}

Task<std::optional<MachineList>> Client::list(std::string after) {
  http::Reply reply = co_await call("GET", wire::machine_list_target(kPageMachines, after), "");
  if (!succeeded(reply)) co_return std::nullopt;
  auto list = wire::read_machines(reply.body);
  if (!list) spdlog::info("cloud: unreadable machine list, ignored");
  co_return list;
}

}  // namespace dunlinknot::cloud
