#include "testsuite/standins/lib/local_ports.h"

#include <unistd.h>

#include "ryefold/wire/http.h"

namespace ryefold::standins {
namespace {

constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kPortCount = 20000;

std::string OwnLoopbackAddress() {
  constexpr uint32_t kByteValues = 256;
  const auto pid = static_cast<uint32_t>(getpid());
  return "127." + std::to_string(1 + pid / kByteValues / kByteValues) + "." +
         std::to_string(pid / kByteValues % kByteValues) + "." +
         std::to_string(pid % kByteValues);
}

}  // namespace

LocalPorts::LocalPorts(event_base* base, uint64_t seed)
    : base_(base), numbers_(seed), host_(OwnLoopbackAddress()) {}

uint16_t LocalPorts::NextFree() {
  while (true) {
    const auto port =
        static_cast<uint16_t>(kFirstPort + numbers_() % kPortCount);
    wire::HttpServer probe(base_, wire::HttpLimits(),
                           [](const wire::HttpExchange&) {});
    if (probe.Listen(Address(port)).empty() && used_.insert(port).second) {
      return port;
    }
  }
}

}  // namespace ryefold::standins
