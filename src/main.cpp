// The command line of a controller: `serve`, `check-config` and `duties`.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "dunlinknot/node/daemon.hpp"
#include "dunlinknot/roles/overview.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace {

using namespace dunlinknot;

// Exit statuses. An exception, such as one about invalid settings, ends the process with kFailed.
constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kUsageError = 2;
constexpr int kStoreUnavailable = 3;

constexpr size_t kMaxIdleConnectionsPerPeer = 12;
constexpr auto kIdleConnectionTimeout = std::chrono::seconds(20);

// The parsed command line.
struct Arguments {
  enum class Command : uint8_t { serve, check_config, duties } command = Command::serve;
  std::string platform_file;
  std::string operator_file;  // empty: all operator settings have their defaults
};

// Exit status of a command line without a command to run, such as --help or a usage error.
struct ExitStatus {
  int value = kOk;
};

// Logs to stderr at the level given by LOG_LEVEL. Returns false if the level is unknown.
bool set_up_log() {
  const char* variable = std::getenv("LOG_LEVEL");
  const std::string_view level = variable ? variable : "info";
  auto logger = std::make_shared<spdlog::logger>("dunlinknot",
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  if (level == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (level == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else if (level == "info" || level.empty()) {
    spdlog::set_level(spdlog::level::info);
  } else {
    std::cerr << "dunlinknot: LOG_LEVEL must be error, info or debug, not \"" << level << "\"\n";
    return false;
  }
  return true;
}

// Runs this controller until the process is killed.
int serve(const settings::Platform& platform, const settings::Operator& operator_settings) {
  SystemClock clock;
  EventLoop loop(clock);
  http::Client transport(loop, kMaxIdleConnectionsPerPeer, kIdleConnectionTimeout);
  const auto seed =
      static_cast<uint32_t>(std::hash<std::string>{}(platform.node) ^
                            static_cast<size_t>(clock.wall().time_since_epoch().count()));
  node::Daemon daemon(loop, platform, operator_settings, transport, seed);
  daemon.start();
  spdlog::info("dunlinknot {} started as node {}, listening on {}", DUNLINKNOT_VERSION,
               platform.node, platform.listen.text());
  loop.run();
  return kOk;
}

// Prints the overview of the singleton roles and stops the loop. The referenced objects must
// outlive EventLoop::run().
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

// Prints the holders of the singleton roles and the open intents; returns the exit status.
int print_roles(const settings::Platform& platform) {
  constexpr double kFullRateShare = 1.0;  // the process ends after a few calls
  SystemClock clock;
  EventLoop loop(clock);
  http::Client transport(loop, 1, std::chrono::seconds(5));
  kv::Client store(loop, transport, platform.key_value_store, kv::Limits(platform.store_limits),
                   kFullRateShare);
  int status = kOk;
  loop.spawn(show_roles(loop, store, status));
  loop.run();
  return status;
}

// Parses the command line. Prints the help, the version or a usage error.
std::variant<Arguments, ExitStatus> parse(int argc, char** argv) {
  Arguments arguments;
  CLI::App app{"dunlinknot, a cluster scheduler: one controller of the service"};
  app.name("dunlinknot");
  app.set_version_flag("--version", std::string("dunlinknot ") + DUNLINKNOT_VERSION);
  app.require_subcommand(1);
  const auto add_command = [&](const char* name, const char* description,
                               Arguments::Command command) {
    CLI::App* subcommand = app.add_subcommand(name, description);
    subcommand->add_option("--config", arguments.platform_file, "The platform's settings (TOML)")
        ->required();
    subcommand->add_option("--operator", arguments.operator_file,
                           "The operators' own settings (XML)");
    subcommand->callback([&arguments, command] { arguments.command = command; });
  };
  add_command("serve", "Runs this controller until it is killed", Arguments::Command::serve);
  add_command("check-config", "Checks the settings and reports the first error",
              Arguments::Command::check_config);
  add_command("duties",
              "Prints the holders of the singleton roles and the open intents; changes nothing",
              Arguments::Command::duties);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& help_or_version) {
    return ExitStatus{app.exit(help_or_version)};
  } catch (const CLI::ParseError& error) {
    std::cerr << "dunlinknot: " << error.what() << " (see dunlinknot --help)\n";
    return ExitStatus{kUsageError};
  }
  return arguments;
}

// Runs the command of the command line; returns the exit status.
int run(int argc, char** argv) {
  const std::variant<Arguments, ExitStatus> parsed = parse(argc, argv);
  if (const auto* status = std::get_if<ExitStatus>(&parsed)) return status->value;
  const auto& arguments = std::get<Arguments>(parsed);
  const settings::Platform platform = settings::load_platform(arguments.platform_file);
  const settings::Operator operator_settings =
      arguments.operator_file.empty() ? settings::Operator{}
                                      : settings::load_operator(arguments.operator_file);
  if (arguments.command == Arguments::Command::check_config) {
    std::cout << "the settings are fine\n";
    return kOk;
  }
  if (!set_up_log()) return kUsageError;
  if (arguments.command == Arguments::Command::duties) return print_roles(platform);
  return serve(platform, operator_settings);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // writing to a closed connection fails with EPIPE instead
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "dunlinknot: %s\n", error.what());
    return kFailed;
  }
}
