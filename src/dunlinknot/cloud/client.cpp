// HTTP calls to the cloud and the interpretation of their answers.
#include "dunlinknot/cloud/client.hpp"

#include <spdlog/spdlog.h>

#include "dunlinknot/wire/cloud_api.hpp"

namespace dunlinknot::cloud {

namespace {

constexpr auto kCallTimeout = std::chrono::seconds(5);
constexpr size_t kMachinesPerPage = 500;      // the cloud's limit for one page of the list
constexpr size_t kMaxBytesPerMachine = 1024;  // of one list entry; names have up to 150 bytes
constexpr size_t kMaxBodyBytes = kMachinesPerPage * kMaxBytesPerMachine;
constexpr double kRateShare = 0.9;  // share of the cloud's rate limit that is used, as a margin

constexpr int kStatusOk = 200;
constexpr int kStatusThrottled = 429;
constexpr int kStatusUnavailable = 503;

// Whether the cloud answered that it did not execute the request.
bool is_refusal(const http::Reply& reply) {
  return reply.status == kStatusThrottled || reply.status == kStatusUnavailable;
}

bool succeeded(const http::Reply& reply) {
  return reply.outcome == Outcome::ok && reply.status == kStatusOk;
}

}  // namespace

Client::Client(EventLoop& loop, http::Transport& transport, http::Endpoint endpoint,
               double requests_per_second)
    : loop_(loop),
      transport_(transport),
      endpoint_(endpoint),
      rate_limit_(requests_per_second * kRateShare, std::max(1.0, requests_per_second)) {}

Task<http::Reply> Client::call(std::string method, std::string target, std::string body) {
  while (!rate_limit_.take(loop_.now()))
    co_await loop_.sleep(rate_limit_.time_until_available(loop_.now()));
  http::Call call;
  call.to = endpoint_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = loop_.now() + kCallTimeout;
  call.max_body = kMaxBodyBytes;
  http::Reply reply = co_await transport_.exchange(std::move(call));
  if (reply.outcome == Outcome::ok && is_refusal(reply)) reply.outcome = Outcome::not_executed;
  answering_ = reply.outcome == Outcome::ok || is_refusal(reply);
  co_return reply;
}

Task<std::optional<std::vector<MachineType>>> Client::catalog() {
  http::Reply reply = co_await call("GET", std::string(wire::kCatalogPath), "");
  if (!succeeded(reply)) co_return std::nullopt;
  auto types = wire::read_catalog(reply.body);
  if (!types) spdlog::info("cloud: cannot parse the catalog of machine types; ignoring it");
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
    // Only an answer from the cloud itself proves that the request was not executed.
    const bool refused = reply.outcome == Outcome::not_executed && answering_;
    result.outcome = refused ? LaunchOutcome::refused : LaunchOutcome::unknown;
    co_return result;
  }
  if (reply.status != kStatusOk) {
    spdlog::error("cloud: launch {} rejected with HTTP status {}; treating it as not executed",
                  request.name, reply.status);
    result.outcome = LaunchOutcome::rejected;
    co_return result;
  }
  auto machines = wire::read_launched(reply.body);
  if (!machines) {
    spdlog::info("cloud: cannot parse the answer to launch {}; treating its outcome as unknown",
                 request.name);
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
  http::Reply reply = co_await call("GET", wire::machine_list_target(kMachinesPerPage, after), "");
  if (!succeeded(reply)) co_return std::nullopt;
  auto list = wire::read_machines(reply.body);
  if (!list) spdlog::info("cloud: cannot parse a page of the machine list; ignoring it");
  co_return list;
}

}  // namespace dunlinknot::cloud
