// Costs of codecs, peer calls and the path of a statement through an entry and
// a keeper. `bench_wire --help` lists the filters.

#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ryefold/task/loop.h"
#include "ryefold/wire/caller_codec.h"
#include "ryefold/wire/database_codec.h"
#include "ryefold/wire/http.h"
#include "ryefold/wire/peer.h"
#include "ryefold/wire/peer_codec.h"
#include "src/bench/wire_samples.h"

namespace ryefold::bench {
namespace {

using Clock = std::chrono::steady_clock;
using core::ExecuteAnswer;
using core::ExecuteCall;
using core::StatementAnswer;
using wire::HttpConnection;
using wire::HttpExchange;
using wire::HttpResult;
using wire::HttpServer;
using wire::PeerCall;
using wire::PeerClient;
using wire::PeerResult;
using wire::PeerServer;

constexpr std::chrono::seconds kDeadline{30};

// ---- codecs ----

void ReadCaller(benchmark::State& state) {
  const core::TimePoint now = Clock::now();
  for (auto _ : state) {
    wire::Findings findings;
    benchmark::DoNotOptimize(wire::ReadCallerRequest(
        now, core::Step::kStatement, CallerBody(), &findings));
  }
}
BENCHMARK(ReadCaller);

void WriteCaller(benchmark::State& state) {
  const auto answer = StatementAnswer::Done(ResultOf(state.range(0)), {3, 9});
  core::session::Token token;
  core::session::Advance(&token, "passports-1", {3, 9});
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        wire::WriteCallerAnswer(answer, "stoke-7f3a91", token));
  }
}
BENCHMARK(WriteCaller)->Arg(1)->Arg(100);

void WriteDatabaseCall(benchmark::State& state) {
  const ExecuteCall call = SampleCall();
  for (auto _ : state) benchmark::DoNotOptimize(wire::WriteExecuteCall(call));
}
BENCHMARK(WriteDatabaseCall);

void ReadDatabaseAnswer(benchmark::State& state) {
  const std::string body =
      wire::WriteExecuteAnswer(SampleAnswer(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(wire::ReadExecuteAnswer(body));
}
BENCHMARK(ReadDatabaseAnswer)->Arg(1)->Arg(100);

void PeerRequestBothWays(benchmark::State& state) {
  const core::TimePoint now = Clock::now();
  const core::StatementRequest request = SampleRequest(now);
  for (auto _ : state) {
    const std::string body = wire::WritePeerRequest(now, request);
    benchmark::DoNotOptimize(wire::ReadPeerRequest(now, body));
  }
}
BENCHMARK(PeerRequestBothWays);

void PeerAnswerBothWays(benchmark::State& state) {
  const auto answer = StatementAnswer::Done(ResultOf(state.range(0)), {3, 9});
  for (auto _ : state) {
    const std::string body = wire::WritePeerAnswer(answer);
    benchmark::DoNotOptimize(wire::ReadPeerAnswer(body));
  }
}
BENCHMARK(PeerAnswerBothWays)->Arg(1)->Arg(100);

// ---- processes as threads ----

/// A loop on a thread of its own with something served on it.
class Host {
 public:
  /// `setup` makes what is served and keeps it in the shared pointer it
  /// returns, which is dropped on the thread when the host ends.
  explicit Host(std::function<std::shared_ptr<void>(task::Loop*)> setup) {
    std::promise<void> ready;
    thread_ = std::thread([this, &ready, setup = std::move(setup)] {
      std::shared_ptr<void> served = setup(&loop_);
      ready.set_value();
      loop_.Run();
      rusage usage{};
      getrusage(RUSAGE_THREAD, &usage);
      cpu_ = Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
    });
    ready.get_future().wait();
  }
  ~Host() { End(); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Ends the thread; the processor seconds that it took.
  double End() {
    loop_.Stop();
    if (thread_.joinable()) thread_.join();
    return cpu_;
  }

 private:
  static double Seconds(const timeval& time) {
    constexpr double kMicro = 1e-6;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * kMicro;
  }

  task::Loop loop_;
  std::thread thread_;
  double cpu_ = 0;
};

/// A database that answers every statement with one row.
std::shared_ptr<void> ServeDatabase(task::Loop* loop, uint16_t* port) {
  const std::string answer = wire::WriteExecuteAnswer(SampleAnswer(1));
  auto server = std::make_shared<HttpServer>(
      loop->base(), wire::HttpLimits{}, [answer](const HttpExchange& exchange) {
        exchange.Reply({200, answer, "application/json", {}});
      });
  server->Listen("127.0.0.1:0");
  *port = server->port();
  return server;
}

/// What a keeper does on the wire: a peer call becomes a database call on one
/// of its connections.
class KeeperShell {
 public:
  KeeperShell(task::Loop* loop, const std::string& database, size_t connections)
      : server_(loop->base(), [this](const PeerCall& call) { Take(call); }) {
    for (size_t i = 0; i < connections; ++i) {
      connections_.push_back(std::make_unique<HttpConnection>(
          loop->base(), database, [] { std::abort(); }));
      free_.push_back(connections_.back().get());
    }
    server_.Listen("127.0.0.1:0");
  }

  uint16_t port() const { return server_.port(); }

 private:
  void Take(const PeerCall& call) {
    waiting_.push_back(call);
    Next();
  }

  void Next() {
    if (waiting_.empty() || free_.empty()) return;
    HttpConnection* connection = free_.back();
    free_.pop_back();
    const PeerCall call = waiting_.front();
    waiting_.erase(waiting_.begin());
    const auto request = wire::ReadPeerRequest(Clock::now(), call.body());
    ExecuteCall execute = SampleCall();
    execute.sql = request->sql;
    execute.params_json = request->params_json;
    connection->Send("POST", std::string(wire::PathOf(execute)),
                     wire::WriteExecuteCall(execute), request->deadline,
                     [this, call, connection](const HttpResult& result) {
                       free_.push_back(connection);
                       Answer(call, result);
                       Next();
                     });
  }

  static void Answer(const PeerCall& call, const HttpResult& result) {
    auto answer = wire::ReadExecuteAnswer(result.body);
    call.Reply(wire::WritePeerAnswer(StatementAnswer::Done(
        std::move(answer->result_json), answer->position)));
  }

  PeerServer server_;
  std::vector<std::unique_ptr<HttpConnection>> connections_;
  std::vector<HttpConnection*> free_;
  std::vector<PeerCall> waiting_;
};

/// What an entry does on the wire: a caller's request becomes a peer call.
class EntryShell {
 public:
  EntryShell(task::Loop* loop, const std::string& keeper)
      : client_(loop->base(), keeper),
        server_(loop->base(), wire::HttpLimits{},
                [this](const HttpExchange& exchange) { Take(exchange); }) {
    server_.Listen("127.0.0.1:0");
  }

  uint16_t port() const { return server_.port(); }

 private:
  void Take(const HttpExchange& exchange) {
    const core::TimePoint now = Clock::now();
    wire::Findings findings;
    const auto read = wire::ReadCallerRequest(now, core::Step::kStatement,
                                              exchange.body(), &findings);
    const auto call = client_.Call(
        std::string(wire::kPeerStatement),
        wire::WritePeerRequest(now, read.request), read.request.deadline,
        [exchange](const PeerResult& result) { Answer(exchange, result); });
    exchange.OnGone([this, call] { client_.Cancel(call); });
  }

  static void Answer(const HttpExchange& exchange, const PeerResult& result) {
    const auto answer = wire::ReadPeerAnswer(result.body);
    core::session::Token token;
    core::session::Advance(&token, "passports-1", answer->seen());
    exchange.Reply({wire::StatusOf(*answer),
                    wire::WriteCallerAnswer(*answer, "stoke-7f3a91", token),
                    "application/json",
                    {}});
  }

  PeerClient client_;
  HttpServer server_;
};

/// Callers that each send their next request when the last is answered.
class Callers {
 public:
  Callers(const std::string& address, std::string path, std::string body,
          size_t count)
      : path_(std::move(path)), body_(std::move(body)) {
    for (size_t i = 0; i < count; ++i) {
      connections_.push_back(std::make_unique<HttpConnection>(
          loop_.base(), address, [] { std::abort(); }));
    }
  }

  /// Makes `total` requests; the time that each took.
  std::vector<double> Run(size_t total) {
    left_ = total;
    micros_.clear();
    for (const auto& connection : connections_) Send(connection.get());
    loop_.Run();
    return micros_;
  }

 private:
  void Send(HttpConnection* connection) {
    if (left_ == 0) return;
    --left_;
    ++open_;
    const Clock::time_point start = Clock::now();
    connection->Send("POST", path_, body_, start + kDeadline,
                     [this, connection, start](const HttpResult& result) {
                       if (result.code != 200) std::abort();
                       const std::chrono::duration<double, std::micro> took =
                           Clock::now() - start;
                       micros_.push_back(took.count());
                       --open_;
                       Send(connection);
                       if (open_ == 0) loop_.Stop();
                     });
  }

  task::Loop loop_;
  const std::string path_;
  const std::string body_;
  std::vector<std::unique_ptr<HttpConnection>> connections_;
  std::vector<double> micros_;
  size_t left_ = 0;
  size_t open_ = 0;
};

double Quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<size_t>(static_cast<double>(values.size()) * share);
  return values[std::min(at, values.size() - 1)];
}

void Report(benchmark::State* state, const std::vector<double>& micros) {
  state->counters["p50_us"] = Quantile(micros, 0.5);
  state->counters["p99_us"] = Quantile(micros, 0.99);
  state->counters["per_second"] = benchmark::Counter(
      static_cast<double>(micros.size()), benchmark::Counter::kIsRate);
}

size_t RequestsFor(size_t callers) { return callers == 1 ? 5000 : 100000; }

/// Callers straight to the database: what the path is held against.
void Direct(benchmark::State& state) {
  const auto callers = static_cast<size_t>(state.range(0));
  uint16_t port = 0;
  Host database([&](task::Loop* loop) { return ServeDatabase(loop, &port); });
  const std::string body = wire::WriteExecuteCall(SampleCall());
  for (auto _ : state) {
    Callers load(Local(port), "/v1/execute", body, callers);
    Report(&state, load.Run(RequestsFor(callers)));
  }
  const double each = 1e6 / static_cast<double>(RequestsFor(callers));
  state.counters["database_cpu_us"] = database.End() * each;
}
BENCHMARK(Direct)->Arg(1)->Arg(64)->Iterations(1)->UseRealTime();

/// Callers through an entry and a keeper to the database.
void Path(benchmark::State& state) {
  const auto callers = static_cast<size_t>(state.range(0));
  constexpr size_t kConnections = 20;
  uint16_t database_port = 0;
  uint16_t keeper_port = 0;
  uint16_t entry_port = 0;
  Host database(
      [&](task::Loop* loop) { return ServeDatabase(loop, &database_port); });
  Host keeper([&](task::Loop* loop) {
    auto shell =
        std::make_shared<KeeperShell>(loop, Local(database_port), kConnections);
    keeper_port = shell->port();
    return shell;
  });
  Host entry([&](task::Loop* loop) {
    auto shell = std::make_shared<EntryShell>(loop, Local(keeper_port));
    entry_port = shell->port();
    return shell;
  });
  for (auto _ : state) {
    Callers load(Local(entry_port), "/v1/statement", CallerBody(), callers);
    Report(&state, load.Run(RequestsFor(callers)));
  }
  const double each = 1e6 / static_cast<double>(RequestsFor(callers));
  state.counters["entry_cpu_us"] = entry.End() * each;
  state.counters["keeper_cpu_us"] = keeper.End() * each;
  state.counters["database_cpu_us"] = database.End() * each;
}
BENCHMARK(Path)->Arg(1)->Arg(64)->Iterations(1)->UseRealTime();

/// Peer calls alone, so many at once, between two threads.
void PeerCalls(benchmark::State& state) {
  constexpr size_t kTotal = 200000;
  uint16_t port = 0;
  Host keeper([&](task::Loop* loop) {
    auto server = std::make_shared<PeerServer>(
        loop->base(), [](const PeerCall& call) { call.Reply(call.body()); });
    server->Listen("127.0.0.1:0");
    port = server->port();
    return server;
  });
  const std::string body =
      wire::WritePeerRequest(Clock::now(), SampleRequest(Clock::now()));
  for (auto _ : state) {
    task::Loop loop;
    PeerClient client(loop.base(), Local(port));
    size_t left = kTotal;
    size_t open = 0;
    std::function<void()> next = [&] {
      if (left == 0) return;
      --left;
      ++open;
      client.Call("/peer/statement", body, Clock::now() + kDeadline,
                  [&](const PeerResult& result) {
                    if (result.body != body) std::abort();
                    --open;
                    next();
                    if (open == 0) loop.Stop();
                  });
    };
    for (int64_t i = 0; i < state.range(0); ++i) next();
    loop.Run();
    state.counters["per_second"] =
        benchmark::Counter(kTotal, benchmark::Counter::kIsRate);
    state.counters["bytes_out"] =
        static_cast<double>(client.bytes_sent()) / kTotal;
    state.counters["bytes_in"] =
        static_cast<double>(client.bytes_received()) / kTotal;
  }
  state.counters["server_cpu_us"] = keeper.End() * 1e6 / kTotal;
}
BENCHMARK(PeerCalls)->Arg(1)->Arg(64)->Iterations(1)->UseRealTime();

}  // namespace
}  // namespace ryefold::bench

BENCHMARK_MAIN();
