// standin_database: one database of a group, small enough for tests.

#include <event2/event.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <optional>
#include <sstream>

#include "testsuite/standins/database/server.h"
#include "testsuite/standins/lib/base.h"

namespace ryefold::standins {
namespace {

// "name=ip:port,name=ip:port"
bool ReadPeers(const std::string& text,
               std::map<std::string, std::string>* peers) {
  std::istringstream items(text);
  std::string item;
  while (std::getline(items, item, ',')) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos) return false;
    (*peers)[item.substr(0, equals)] = item.substr(equals + 1);
  }
  return true;
}

cxxopts::Options Flags() {
  cxxopts::Options flags("standin_database", "A database stand-in for tests");
  auto add = flags.add_options();
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  const auto number = [](const char* value) {
    return cxxopts::value<uint32_t>()->default_value(value);
  };
  add("name", "name within the group", text("database"));
  add("group", "name of the group", text("group"));
  add("listen", "ip:port, port 0 picks a free one", text("127.0.0.1:0"));
  add("primary", "name of the primary of term 1", text("database"));
  add("peers", "name=ip:port,... of the group's databases", text(""));
  add("slots", "statements run at once", number("3"));
  add("connection-limit", "statement connections accepted", number("20"));
  add("connect-ms", "time a new statement connection takes", number("10"));
  add("lag-ms", "age of an entry before this replica gets it", number("0"));
  add("service-us", "time a statement holds its slot", number("0"));
  add("help", "print this text");
  return flags;
}

std::optional<DatabaseOptions> ReadOptions(const cxxopts::ParseResult& given) {
  DatabaseOptions options;
  options.name = given["name"].as<std::string>();
  options.group = given["group"].as<std::string>();
  options.listen = given["listen"].as<std::string>();
  options.primary = given["primary"].as<std::string>();
  options.slots = given["slots"].as<uint32_t>();
  options.connection_limit = given["connection-limit"].as<uint32_t>();
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  options.faults.connect = milliseconds(given["connect-ms"].as<uint32_t>());
  options.faults.lag = milliseconds(given["lag-ms"].as<uint32_t>());
  options.faults.service = microseconds(given["service-us"].as<uint32_t>());
  if (!ReadPeers(given["peers"].as<std::string>(), &options.peers)) {
    return std::nullopt;
  }
  return options;
}

int Run(const DatabaseOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  const EventBase base = NewEventBase();
  DatabaseServer server(base.get(), options);
  const std::string bound = server.Listen();
  if (bound.empty()) {
    std::fprintf(stderr, "cannot listen on %s\n", options.listen.c_str());
    return 1;
  }
  std::printf("listening %s\n", bound.c_str());
  std::fflush(stdout);
  event_base_dispatch(base.get());
  return 0;
}

}  // namespace
}  // namespace ryefold::standins

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  cxxopts::Options flags = ryefold::standins::Flags();
  try {
    const cxxopts::ParseResult given = flags.parse(argc, argv);
    if (given.count("help") > 0) {
      std::puts(flags.help().c_str());
      return 0;
    }
    const auto options = ryefold::standins::ReadOptions(given);
    if (!options) {
      std::fputs("--peers: name=ip:port,... is expected\n", stderr);
      return 2;
    }
    return ryefold::standins::Run(*options);
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
