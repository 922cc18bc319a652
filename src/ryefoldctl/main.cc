// ryefoldctl: publishes and looks at operators' documents, and at the fleet.

#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "ryefoldctl/commands.h"

namespace ryefold::ryefoldctl {
namespace {

struct Command {
  std::string arguments;
  std::string purpose;
  std::function<int(const Invocation&)> run;
  bool needs_server = true;
};

const std::map<std::string, Command>& Commands() {
  static const auto* const kCommands = new std::map<std::string, Command>{
      {"validate",
       {"FILE...",
        "Reports every problem of the files with its place. With --server or "
        "--base, names may refer to what is published already.",
        Validate, false}},
      {"diff",
       {"FILE... [--delete KEY]",
        "Prints what publishing the files would change.", Diff}},
      {"publish",
       {"FILE... [--delete KEY] [--base FILE] [--wait]",
        "Publishes the documents that differ, as one change. A key that "
        "somebody else has changed since it was read makes it a conflict, "
        "and nothing is taken. --base takes a file made by `show --json`, "
        "so that hours may lie between reading and publishing.",
        Publish}},
      {"show", {"[PREFIX]", "Prints the documents in force.", Show}},
      {"history", {"KEY", "Prints the versions of one document.", History}},
      {"wait",
       {"REVISION",
        "Waits until the revision is in force on all live instances.", Wait}},
      {"status",
       {"",
        "Prints instances, groups, keepers, primaries, terms and queues. "
        "Each --server tells of itself.",
        Status}},
      {"drain",
       {"INSTANCE", "Makes an instance finish its work and end.", Drain}},
  };
  return *kCommands;
}

void PrintUsage(std::ostream& out) {
  out << "usage: ryefoldctl COMMAND [ARGUMENTS] --server IP:PORT --admin-key "
         "KEY\n\n";
  for (const auto& [name, command] : Commands()) {
    out << "  " << name << " " << command.arguments << "\n      "
        << command.purpose << "\n";
  }
  out << "\n`ryefoldctl COMMAND --help` lists the options.\n"
         "Exit codes: 0 done, 1 findings or conflict, 2 wrong use, 3 not "
         "reachable, 4 timed out.\n";
}

cxxopts::Options OptionsOf(const std::string& name, const Command& command) {
  cxxopts::Options options("ryefoldctl " + name, command.purpose);
  options.positional_help(command.arguments);
  const char* key = std::getenv("RYEFOLD_ADMIN_KEY");
  options.add_options()(
      "s,server", "instance to ask, IP:PORT; several are tried in turn",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "admin-key", "operators' key (or RYEFOLD_ADMIN_KEY)",
      cxxopts::value<std::string>()->default_value(key == nullptr ? "" : key))(
      "json", "print JSON instead of tables")(
      "timeout", "seconds for the whole command",
      cxxopts::value<double>()->default_value("30"))(
      "base", "documents seen, as printed by show --json",
      cxxopts::value<std::string>()->default_value(""))(
      "delete", "key to delete",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "author", "who changes",
      cxxopts::value<std::string>()->default_value("operator"))(
      "wait", "after publishing, wait until in force everywhere")(
      "help", "this text")("arguments", "",
                           cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"arguments"});
  return options;
}

std::vector<std::string> Given(const cxxopts::ParseResult& parsed,
                               const std::string& name) {
  if (parsed.count(name) == 0) return {};
  return parsed[name].as<std::vector<std::string>>();
}

Invocation InvocationOf(const cxxopts::ParseResult& parsed) {
  Invocation invocation;
  invocation.access.servers = Given(parsed, "server");
  invocation.access.admin_key = parsed["admin-key"].as<std::string>();
  const std::chrono::duration<double> timeout(parsed["timeout"].as<double>());
  invocation.access.deadline =
      std::chrono::steady_clock::now() +
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  invocation.json = parsed.count("json") > 0;
  invocation.arguments = Given(parsed, "arguments");
  invocation.base_file = parsed["base"].as<std::string>();
  invocation.deleted = Given(parsed, "delete");
  invocation.author = parsed["author"].as<std::string>();
  invocation.wait = parsed.count("wait") > 0;
  return invocation;
}

int Run(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    PrintUsage(std::cout);
    return kExitOk;
  }
  const auto found = Commands().find(name);
  if (found == Commands().end()) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  cxxopts::Options options = OptionsOf(name, found->second);
  const cxxopts::ParseResult parsed = options.parse(argc - 1, argv + 1);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return kExitOk;
  }
  const Invocation invocation = InvocationOf(parsed);
  if (found->second.needs_server && invocation.access.servers.empty()) {
    std::cerr << "ryefoldctl: " << name << " needs --server\n";
    return kExitUsage;
  }
  return found->second.run(invocation);
}

}  // namespace
}  // namespace ryefold::ryefoldctl

int main(int argc, char** argv) {
  try {
    return ryefold::ryefoldctl::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "ryefoldctl: " << error.what() << "\n";
    return ryefold::ryefoldctl::kExitUsage;
  }
}
