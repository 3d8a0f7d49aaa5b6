#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "dunlinknot/node/daemon.hpp"
#include "dunlinknot/roles/overview.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace {

using namespace dunlinknot;

int set_up_log() {
  const char* level = std::getenv("LOG_LEVEL");
  const std::string_view text = level ? level : "info";
  auto logger = std::make_shared<spdlog::logger>("dunlinknot",
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  if (text == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (text == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else if (text == "info" || text.empty()) {
    spdlog::set_level(spdlog::level::info);
  } else {
    std::cerr << "dunlinknot: LOG_LEVEL must be error, info or debug, not \"" << text << "\"\n";
    return 2;
  }
  return 0;
}

int serve(const settings::Platform& platform, const settings::Operator& operator_settings) {
  SystemClock clock;
  EventLoop loop(clock);
  http::Client transport(loop, 12, std::chrono::seconds(20));
  const auto seed =
      static_cast<uint32_t>(std::hash<std::string>{}(platform.node) ^
                            static_cast<size_t>(clock.wall().time_since_epoch().count()));
  node::Daemon daemon(loop, platform, operator_settings, transport, seed);
  daemon.start();
  spdlog::info("dunlinknot {} serves as {} on {}", DUNLINKNOT_VERSION, platform.node,
               platform.listen.text());
  loop.run();
  return 0;
}

constexpr int kStoreUnavailable = 3;  // exit status

Task<void> show_roles(EventLoop& loop, kv::Client& store, int& status) {
  const std::optional<roles::Overview> overview = co_await roles::read_overview(loop, store);
  if (overview) {
    roles::print(std::cout, *overview);
  } else {
    std::cerr << "dunlinknot: the key-value store does not answer\n";
    status = kStoreUnavailable;
  }
  loop.stop();
}

// Prints who holds the singleton roles and what is open; returns the exit status.
int print_roles(const settings::Platform& platform) {
  SystemClock clock;
  EventLoop loop(clock);
  http::Client transport(loop, 1, std::chrono::seconds(5));
  kv::Client store(loop, transport, platform.key_value_store, kv::Limits(platform.store_limits),
                   1.0);
  int status = 0;
  loop.spawn(show_roles(loop, store, status));
  loop.run();
  return status;
}

// Reads the command line and carries it out; returns the exit status.
int run(int argc, char** argv) {
  CLI::App app{"dunlinknot, a cluster scheduler: one controller of the service"};
  app.name("dunlinknot");
  app.set_version_flag("--version", std::string("dunlinknot ") + DUNLINKNOT_VERSION);
  app.require_subcommand(1);
  std::string config, operator_file;
  const auto files = [&](CLI::App* c) {
    c->add_option("--config", config, "The platform's settings (TOML)")->required();
    c->add_option("--operator", operator_file, "The operators' own settings (XML)");
  };
  CLI::App* serve_command = app.add_subcommand("serve", "Runs this controller until it is killed");
  CLI::App* check_command =
      app.add_subcommand("check-config", "Checks the settings and says what is wrong with them");
  CLI::App* duties_command = app.add_subcommand(
      "duties", "Prints who holds the singleton roles and what is open; changes nothing");
  files(serve_command);
  files(duties_command);
  files(check_command);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "dunlinknot: " << e.what() << " (see dunlinknot --help)\n";
    return 2;
  }
  const settings::Platform platform = settings::load_platform(config);
  const settings::Operator operator_settings =
      operator_file.empty() ? settings::Operator{} : settings::load_operator(operator_file);
  if (check_command->parsed()) {
    std::cout << "the settings are fine\n";
    return 0;
  }
  if (const int bad = set_up_log()) return bad;
  if (duties_command->parsed()) return print_roles(platform);
  return serve(platform, operator_settings);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "dunlinknot: %s\n", e.what());
    return 1;
  }
}
