// ryefoldctl: the operators' command-line tool.

#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "ryefoldctl/client.h"
#include "ryefoldctl/commands.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kDefaultTimeoutSeconds = 30;

struct Command {
  std::function<int(const Invocation&, Client*)> run;
  const char* arguments;
  const char* help;
  bool needs_server;
};

const std::map<std::string, Command>& Commands() {
  static const auto* const commands = new std::map<std::string, Command>{
      {"validate",
       {Validate, "FILE",
        "Reports every finding in a file of documents. With --server, names "
        "may refer to what is published.",
        false}},
      {"diff",
       {Diff, "FILE", "Shows what publishing the file would change.", true}},
      {"publish",
       {Publish, "FILE [--base SEEN]",
        "Publishes the documents that differ, all or none. Each is changed "
        "only if nobody changed it since it was seen: now, or when SEEN was "
        "made by `show --json`.",
        true}},
      {"delete", {Delete, "KEY...", "Deletes documents, all or none.", true}},
      {"show",
       {Show, "[PREFIX]", "Shows published documents and their versions.",
        true}},
      {"history", {History, "KEY", "Shows the changes of one document.", true}},
      {"wait",
       {Wait, "[--revision N] [--timeout S]",
        "Waits until a revision (the newest) is in force on every instance.",
        true}},
      {"status",
       {Status, "", "Shows instances, keepers, primaries, terms and lag.",
        true}},
      {"gateways",
       {Gateways, "",
        "Shows what gateways (ryefoldd --sessions) know: configuration in "
        "force, where they hear of changes, who orders promotions, primaries, "
        "terms, writes held. --server names their ready or metrics addresses.",
        true}},
      {"explain",
       {Explain, "ID LOG...",
        "Shows what collected logs say about a request, and what was believed "
        "about the databases that it met.",
        false}},
      {"losses",
       {Losses, "[FILE...]",
        "Counts refused and late requests in logs of gateways (standard input "
        "without\n      FILE) by reason, route, workspace and group, with "
        "percentiles of the delays\n      after which refused callers were "
        "told to retry.",
        false}},
      {"workspaces",
       {Workspaces, "",
        "Shows, summed over the gateways named with --server, what each "
        "workspace was\n      allowed and refused by its limit, its "
        "connections "
        "and keys; worst first.",
        true}},
      {"drain",
       {Drain, "INSTANCE",
        "Lets an instance finish what it has in progress and end.", true}},
  };
  return *commands;
}

void PrintHelp(const cxxopts::Options& options) {
  std::cout << options.help() << "\nCommands:\n";
  for (const auto& [name, command] : Commands()) {
    std::cout << "  " << name << " " << command.arguments << "\n      "
              << command.help << "\n";
  }
  std::cout << "\nExit codes: 0 done, 1 findings or a conflict, 2 usage, "
               "3 no server answers,\n4 timed out or outcome not known.\n";
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("ryefoldctl", "Operates a fleet of ryefoldd.");
  options.positional_help("COMMAND [ARGUMENTS]");
  options.add_options()("server", "ip:port of an instance; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "admin-key", "operators' key; or in RYEFOLD_ADMIN_KEY",
      cxxopts::value<std::string>())(
      "author", "name to stand in the history",
      cxxopts::value<std::string>()->default_value("operator"))(
      "base", "documents as seen, made by `show --json`",
      cxxopts::value<std::string>()->default_value(""))(
      "revision", "revision to wait for, the newest when absent",
      cxxopts::value<uint64_t>()->default_value("0"))(
      "timeout", "seconds to wait",
      cxxopts::value<int>()->default_value(
          std::to_string(kDefaultTimeoutSeconds)))(
      "json", "print JSON instead of tables")("h,help", "show this text")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

Invocation ReadInvocation(const cxxopts::ParseResult& parsed) {
  Invocation invocation;
  if (parsed.count("words") > 0) {
    invocation.arguments = parsed["words"].as<std::vector<std::string>>();
    invocation.command = invocation.arguments.front();
    invocation.arguments.erase(invocation.arguments.begin());
  }
  if (parsed.count("server") > 0) {
    invocation.servers = parsed["server"].as<std::vector<std::string>>();
  }
  if (parsed.count("admin-key") > 0) {
    invocation.admin_key = parsed["admin-key"].as<std::string>();
  } else if (const char* key = std::getenv("RYEFOLD_ADMIN_KEY")) {
    invocation.admin_key = key;
  }
  invocation.author = parsed["author"].as<std::string>();
  invocation.base = parsed["base"].as<std::string>();
  invocation.revision = parsed["revision"].as<uint64_t>();
  invocation.json = parsed.count("json") > 0;
  invocation.deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(parsed["timeout"].as<int>());
  return invocation;
}

int Run(const cxxopts::Options& options, const cxxopts::ParseResult& parsed) {
  const Invocation invocation = ReadInvocation(parsed);
  const auto command = Commands().find(invocation.command);
  if (parsed.count("help") > 0) {
    if (command == Commands().end()) {
      PrintHelp(options);
    } else {
      std::cout << "ryefoldctl " << command->first << " "
                << command->second.arguments << "\n"
                << command->second.help << "\n";
    }
    return kExitOk;
  }
  if (command == Commands().end()) {
    std::cerr << "ryefoldctl: "
              << (invocation.command.empty()
                      ? "a command is needed"
                      : "no command \"" + invocation.command + "\"")
              << "; see --help\n";
    return kExitUsage;
  }
  if (command->second.needs_server && invocation.servers.empty()) {
    std::cerr << "ryefoldctl: --server IP:PORT is needed\n";
    return kExitUsage;
  }
  Client client(invocation.servers, invocation.admin_key);
  return command->second.run(invocation, &client);
}

}  // namespace
}  // namespace ryefold::ryefoldctl

int main(int argc, char** argv) {
  cxxopts::Options options = ryefold::ryefoldctl::MakeOptions();
  try {
    return ryefold::ryefoldctl::Run(options, options.parse(argc, argv));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "ryefoldctl: " << error.what() << "; see --help\n";
    return ryefold::ryefoldctl::kExitUsage;
  }
}
