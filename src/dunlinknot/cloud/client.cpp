#include "dunlinknot/cloud/client.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::cloud {

namespace {
constexpr auto kWithin = std::chrono::seconds(5);
constexpr size_t kPageMachines = 500;   // the most that the cloud lists in one answer
constexpr size_t kMachineBytes = 1024;  // of one listed machine; names have up to 150 bytes
constexpr size_t kBody = kPageMachines * kMachineBytes;
}  // namespace

Client::Client(EventLoop& loop, http::Transport& transport, http::Endpoint at, double rps)
    : loop_(loop), transport_(transport), at_(at), rate_limit_(rps * 0.9, std::max(1.0, rps)) {}

Task<http::Reply> Client::call(std::string method, std::string target, std::string body) {
  while (!rate_limit_.take(loop_.now())) co_await loop_.sleep(rate_limit_.until(loop_.now()));
  http::Call call;
  call.to = at_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = loop_.now() + kWithin;
  call.max_body = kBody;
  http::Reply reply = co_await transport_.exchange(std::move(call));
  if (reply.outcome == Outcome::ok && (reply.status == 429 || reply.status == 503)) {
    reply.outcome = Outcome::refused;
  }
  answering_ = reply.outcome == Outcome::ok || reply.status == 429 || reply.status == 503;
  co_return reply;
}

Task<std::optional<std::vector<MachineType>>> Client::catalog() {
  http::Reply reply = co_await call("GET", "/catalog", "");
  if (reply.outcome != Outcome::ok || reply.status != 200) co_return std::nullopt;
  auto types = wire::read_catalog(reply.body);
  if (!types) spdlog::info("cloud: unreadable catalogue, ignored");
  co_return types;
}

Task<LaunchResult> Client::launch(std::string request, std::string type, std::string zone,
                                  bool spot, uint32_t count) {
  LaunchResult out;
  http::Reply reply = co_await call("POST", "/rentals",
                                    wire::write_launch_request(request, type, zone, spot, count));
  out.outcome = reply.outcome;
  if (reply.status == 503) {
    const auto doc = wire::Document::parse(reply.body);
    out.no_capacity = doc && doc->root()["error"].text() == "no capacity";
    if (!out.no_capacity) answering_ = false;
  }
  if (reply.outcome != Outcome::ok) co_return out;
  if (reply.status != 200) {
    spdlog::error("cloud: launch {} refused with status {}", request, reply.status);
    out.outcome = Outcome::refused;
    co_return out;
  }
  auto machines = wire::read_launched(reply.body);
  if (!machines) {
    spdlog::info("cloud: unreadable answer to launch {}, taken as unknown", request);
    out.outcome = Outcome::unknown;
    co_return out;
  }
  out.machines = std::move(*machines);
  co_return out;
}

Task<Outcome> Client::remove(std::vector<std::string> machines) {
  http::Reply reply =
      co_await call("POST", "/rentals/delete", wire::write_termination_request(machines));
  if (reply.outcome == Outcome::ok && reply.status != 200) co_return Outcome::unknown;
  co_return reply.outcome;
}

Task<std::optional<MachineList>> Client::list(std::string after) {
  std::string target = "/rentals?most=" + std::to_string(kPageMachines);
  if (!after.empty()) target += "&since=" + after;
  http::Reply reply = co_await call("GET", target, "");
  if (reply.outcome != Outcome::ok || reply.status != 200) co_return std::nullopt;
  auto list = wire::read_machines(reply.body);
  if (!list) spdlog::info("cloud: unreadable machine list, ignored");
  co_return list;
}

}  // namespace dunlinknot::cloud
