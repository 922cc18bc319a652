// standin_platform: the platform's services, small enough for tests.

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <string>

#include "testsuite/standins/lib/base.h"
#include "testsuite/standins/platform/server.h"

namespace ryefold::standins {
namespace {

cxxopts::Options Flags() {
  cxxopts::Options flags("standin_platform", "A platform stand-in for tests");
  auto add = flags.add_options();
  add("listen", "ip:port, port 0 picks a free one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("list-lag-ms", "how late the instance list shows a change",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("help", "print this text");
  return flags;
}

int Run(const std::string& listen, std::chrono::milliseconds list_lag) {
  std::signal(SIGPIPE, SIG_IGN);
  const EventBase base = NewEventBase();
  PlatformServer server(base.get(), list_lag);
  const std::string bound = server.Listen(listen);
  if (bound.empty()) {
    std::fprintf(stderr, "cannot listen on %s\n", listen.c_str());
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
  cxxopts::Options flags = ryefold::standins::Flags();
  try {
    const cxxopts::ParseResult given = flags.parse(argc, argv);
    if (given.count("help") > 0) {
      std::puts(flags.help().c_str());
      return 0;
    }
    return ryefold::standins::Run(
        given["listen"].as<std::string>(),
        std::chrono::milliseconds(given["list-lag-ms"].as<uint32_t>()));
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
