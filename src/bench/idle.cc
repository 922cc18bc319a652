// Memory of what is idle: callers' connections, peer connections, calls that
// wait. `bench_idle --help` lists the filters.

#include <arpa/inet.h>
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"
#include "ryefold/wire/peer.h"
#include "ryefold/wire/peer_codec.h"
#include "src/bench/wire_samples.h"

namespace ryefold::bench {
namespace {

using Clock = std::chrono::steady_clock;
using wire::HttpExchange;
using wire::HttpServer;
using wire::PeerCall;
using wire::PeerClient;
using wire::PeerResult;
using wire::PeerServer;

constexpr std::chrono::seconds kDeadline{30};

size_t HeapInUse() { return mallinfo2().uordblks; }

size_t Resident() {
  std::FILE* file = std::fopen("/proc/self/statm", "r");
  size_t total = 0;
  size_t pages = 0;
  if (std::fscanf(file, "%zu %zu", &total, &pages) != 2) pages = 0;
  std::fclose(file);
  return pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

int ConnectTo(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const auto* any = reinterpret_cast<const sockaddr*>(&address);
  if (connect(fd, any, sizeof(address)) != 0) std::abort();
  return fd;
}

/// Callers' connections that have made one request and are kept. The other
/// ends are bare sockets, which take no memory in the process.
void IdleHttpConnection(benchmark::State& state) {
  const auto count = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    task::Loop loop;
    HttpServer server(
        loop.base(), wire::HttpLimits{}, [](const HttpExchange& exchange) {
          exchange.Reply({200, exchange.body(), "text/plain", {}});
        });
    server.Listen("127.0.0.1:0");
    std::vector<int> sockets(count, -1);
    const std::string request =
        "POST /v1/statement HTTP/1.1\r\nContent-Length: " +
        std::to_string(CallerBody().size()) + "\r\n\r\n" + CallerBody();
    const size_t heap = HeapInUse();
    const size_t resident = Resident();
    std::thread clients([&] {
      std::string answer(4096, '\0');
      for (int& fd : sockets) {
        fd = ConnectTo(server.port());
        if (send(fd, request.data(), request.size(), 0) < 0) std::abort();
        if (recv(fd, answer.data(), answer.size(), 0) <= 0) std::abort();
      }
      loop.Stop();
    });
    loop.Run();
    clients.join();
    const auto connections = static_cast<double>(server.connections());
    state.counters["connections"] = connections;
    state.counters["heap_bytes"] =
        static_cast<double>(HeapInUse() - heap) / connections;
    state.counters["resident_bytes"] =
        static_cast<double>(Resident() - resident) / connections;
    for (const int fd : sockets) close(fd);
  }
}
BENCHMARK(IdleHttpConnection)->Arg(2640)->Arg(8000)->Iterations(1);

/// Calls that wait for their answers, both ends in this process.
void WaitingPeerStream(benchmark::State& state) {
  const auto count = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    task::Loop loop;
    std::vector<PeerCall> held;
    PeerServer server(loop.base(), [&](const PeerCall& call) {
      held.push_back(call);
      if (held.size() == count) loop.Stop();
    });
    server.Listen("127.0.0.1:0");
    PeerClient client(loop.base(), Local(server.port()));
    const std::string body =
        wire::WritePeerRequest(Clock::now(), SampleRequest(Clock::now()));
    held.reserve(count);
    const size_t heap = HeapInUse();
    for (size_t i = 0; i < count; ++i) {
      client.Call("/peer/statement", body, Clock::now() + kDeadline,
                  [](const PeerResult&) {});
    }
    loop.Run();
    state.counters["heap_bytes"] =
        static_cast<double>(HeapInUse() - heap) / static_cast<double>(count);
  }
}
BENCHMARK(WaitingPeerStream)->Arg(10000)->Iterations(1);

/// Connections between instances without a call, both ends in this process.
void IdlePeerConnection(benchmark::State& state) {
  const auto count = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    task::Loop loop;
    PeerServer server(loop.base(),
                      [](const PeerCall& call) { call.Reply(call.body()); });
    server.Listen("127.0.0.1:0");
    std::vector<std::unique_ptr<PeerClient>> clients;
    clients.reserve(count);
    const size_t heap = HeapInUse();
    const size_t resident = Resident();
    size_t left = count;
    for (size_t i = 0; i < count; ++i) {
      clients.push_back(
          std::make_unique<PeerClient>(loop.base(), Local(server.port())));
      clients.back()->Call("/peer/statement", "x", Clock::now() + kDeadline,
                           [&](const PeerResult&) {
                             if (--left == 0) loop.Stop();
                           });
    }
    loop.Run();
    state.counters["heap_bytes"] =
        static_cast<double>(HeapInUse() - heap) / static_cast<double>(count);
    state.counters["resident_bytes"] =
        static_cast<double>(Resident() - resident) / static_cast<double>(count);
  }
}
BENCHMARK(IdlePeerConnection)->Arg(1000)->Iterations(1);

}  // namespace
}  // namespace ryefold::bench

BENCHMARK_MAIN();
