// bench_load: drives a running stack, or one database directly, with
// statements in a closed loop, and reports rates and latencies.
//
//   bench_load --target IP:PORT --workspace W --key K --group G ...
//   bench_load --direct IP:PORT ...

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ryefold/core/messages.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/database_codec.h"
#include "ryefold/wire/http.h"

namespace ryefold::bench {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;

constexpr int kHttpOk = 200;
constexpr seconds kCallBound{10};

struct Options {
  std::string target;
  bool direct = false;
  std::string workspace;
  std::string key;
  std::string group;
  std::string sql;
  bool write = false;
  int max_age_ms = 0;
  int connections = 16;
  int threads = 1;
  TimePoint end;
};

/// What one thread saw.
struct Tally {
  uint64_t done = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t other = 0;
  std::vector<microseconds> latencies;
};

/// One connection that sends its next statement when the answer is there.
class Client {
 public:
  Client(task::Loop* loop, const Options& options, Tally* tally,
         std::atomic<int>* left)
      : loop_(loop), options_(options), tally_(tally), left_(left) {
    if (!options.direct) headers_["Authorization"] = "Bearer " + options.key;
    connection_ = std::make_unique<wire::HttpConnection>(loop->base(),
                                                         options.target, [] {});
  }

  void Start() {
    if (!options_.direct) {
      Next();
      return;
    }
    connection_->Send("POST", "/v1/open", "{}", SteadyClock::now() + kCallBound,
                      [this](const wire::HttpResult& result) {
                        if (result.code == kHttpOk) {
                          Next();
                        } else {
                          ++tally_->other;
                          Finish();
                        }
                      });
  }

 private:
  void Next() {
    const TimePoint now = SteadyClock::now();
    if (now >= options_.end) {
      Finish();
      return;
    }
    sent_ = now;
    connection_->Send(
        "POST", options_.direct ? "/v1/execute" : "/v1/statement", Body(),
        now + kCallBound,
        [this](const wire::HttpResult& result) { Answered(result); }, headers_);
  }

  std::string Body() {
    ++number_;
    if (options_.direct) {
      core::ExecuteCall call;
      call.term = 1;
      call.kind = options_.write ? core::StatementKind::kWrite
                                 : core::StatementKind::kRead;
      call.sql = options_.sql;
      call.workspace = "load";
      call.request_id = Id();
      return wire::WriteExecuteCall(call);
    }
    std::string body = "{\"group\":\"" + options_.group +
                       "\",\"workspace\":\"" + options_.workspace +
                       "\",\"sql\":\"" + options_.sql + "\",\"kind\":\"" +
                       (options_.write ? "write" : "read") + "\"";
    if (options_.max_age_ms > 0) {
      body += ",\"max_age_ms\":" + std::to_string(options_.max_age_ms);
    }
    if (options_.write) body += ",\"request_id\":\"" + Id() + "\"";
    return body + "}";
  }

  std::string Id() const {
    return "load-" + std::to_string(reinterpret_cast<uintptr_t>(this)) + "-" +
           std::to_string(options_.end.time_since_epoch().count()) + "-" +
           std::to_string(number_);
  }

  void Answered(const wire::HttpResult& result) {
    tally_->latencies.push_back(
        std::chrono::duration_cast<microseconds>(SteadyClock::now() - sent_));
    if (result.status != wire::CallStatus::kOk) {
      ++tally_->other;
      Finish();
      return;
    }
    if (result.code == kHttpOk) {
      ++tally_->done;
    } else if (result.code == 503) {
      ++tally_->not_run;
    } else if (result.code == 504) {
      ++tally_->unknown;
    } else {
      ++tally_->other;
      if (tally_->other < 3) {
        std::cerr << result.code << " " << result.body << "\n";
      }
    }
    Next();
  }

  void Finish() {
    if (--*left_ == 0) loop_->Stop();
  }

  task::Loop* loop_;
  const Options& options_;
  Tally* tally_;
  std::atomic<int>* left_;
  std::map<std::string, std::string> headers_;
  std::unique_ptr<wire::HttpConnection> connection_;
  TimePoint sent_;
  uint64_t number_ = 0;
};

void RunThread(const Options& options, int connections, Tally* tally) {
  task::Loop loop;
  std::atomic<int> left{connections};
  std::vector<std::unique_ptr<Client>> clients;
  clients.reserve(static_cast<size_t>(connections));
  for (int i = 0; i < connections; ++i) {
    clients.push_back(std::make_unique<Client>(&loop, options, tally, &left));
  }
  loop.Post([&clients] {
    for (auto& client : clients) client->Start();
  });
  loop.Run();
}

/// Opens connections, sends nothing on them and holds them until `end`.
int HoldIdle(const std::string& target, int count, TimePoint end) {
  const size_t colon = target.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::stoi(target.substr(colon + 1))));
  inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr);
  std::vector<int> sockets(static_cast<size_t>(count), -1);
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto* peer = reinterpret_cast<const sockaddr*>(&address);
    if (fd < 0 || connect(fd, peer, sizeof(address)) != 0) {
      std::cerr << "bench_load: only " << i << " of " << count
                << " connections\n";
      return 1;
    }
    sockets[static_cast<size_t>(i)] = fd;
  }
  std::cout << "holding " << count << std::endl;
  std::this_thread::sleep_until(end);
  for (const int fd : sockets) close(fd);
  return 0;
}

double Percentile(const std::vector<microseconds>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return static_cast<double>(
             sorted[static_cast<size_t>(share * last)].count()) /
         1000.0;
}

void Report(const std::vector<Tally>& tallies, milliseconds elapsed) {
  Tally all;
  for (const Tally& tally : tallies) {
    all.done += tally.done;
    all.not_run += tally.not_run;
    all.unknown += tally.unknown;
    all.other += tally.other;
    all.latencies.insert(all.latencies.end(), tally.latencies.begin(),
                         tally.latencies.end());
  }
  std::sort(all.latencies.begin(), all.latencies.end());
  const double rate =
      static_cast<double>(all.done) * 1000.0 /
      std::max<double>(1.0, static_cast<double>(elapsed.count()));
  std::cout << "{\"done\":" << all.done << ",\"not_run\":" << all.not_run
            << ",\"unknown\":" << all.unknown << ",\"other\":" << all.other
            << ",\"per_second\":" << static_cast<uint64_t>(rate)
            << ",\"p50_ms\":" << Percentile(all.latencies, 0.5)
            << ",\"p99_ms\":" << Percentile(all.latencies, 0.99)
            << ",\"max_ms\":" << Percentile(all.latencies, 1.0) << "}"
            << std::endl;
}

int Run(Options options, seconds duration) {
  const TimePoint start = SteadyClock::now();
  options.end = start + duration;
  std::vector<Tally> tallies(static_cast<size_t>(options.threads));
  std::vector<std::thread> threads;
  threads.reserve(tallies.size());
  for (Tally& tally : tallies) {
    threads.emplace_back(RunThread, std::cref(options),
                         options.connections / options.threads, &tally);
  }
  for (std::thread& thread : threads) thread.join();
  Report(tallies,
         std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start));
  return 0;
}

}  // namespace
}  // namespace ryefold::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("bench_load",
                         "Closed-loop load on a stack or on one database.");
  flags.add_options()("target", "entry, ip:port",
                      cxxopts::value<std::string>())(
      "direct", "database, ip:port", cxxopts::value<std::string>())(
      "workspace", "workspace",
      cxxopts::value<std::string>()->default_value(""))(
      "key", "its key", cxxopts::value<std::string>()->default_value(""))(
      "group", "database group",
      cxxopts::value<std::string>()->default_value(""))(
      "sql", "statement",
      cxxopts::value<std::string>()->default_value("SELECT 1"))(
      "write", "send it as a write")(
      "connections", "connections in all",
      cxxopts::value<int>()->default_value("16"))(
      "threads", "threads", cxxopts::value<int>()->default_value("1"))(
      "max-age-ms", "data age that reads accept, 0 for the workspace's",
      cxxopts::value<int>()->default_value("0"))(
      "idle", "hold so many silent connections to --target instead",
      cxxopts::value<int>())("seconds", "duration",
                             cxxopts::value<int>()->default_value("5"))(
      "h,help", "show this text");
  try {
    const cxxopts::ParseResult parsed = flags.parse(argc, argv);
    if (parsed.count("help") > 0 ||
        (parsed.count("target") == 0) == (parsed.count("direct") == 0)) {
      std::cout << flags.help() << "\nGive either --target or --direct.\n";
      return parsed.count("help") > 0 ? 0 : 2;
    }
    if (parsed.count("idle") > 0) {
      return ryefold::bench::HoldIdle(
          parsed["target"].as<std::string>(), parsed["idle"].as<int>(),
          std::chrono::steady_clock::now() +
              std::chrono::seconds(parsed["seconds"].as<int>()));
    }
    ryefold::bench::Options options;
    options.direct = parsed.count("direct") > 0;
    options.target =
        parsed[options.direct ? "direct" : "target"].as<std::string>();
    options.workspace = parsed["workspace"].as<std::string>();
    options.key = parsed["key"].as<std::string>();
    options.group = parsed["group"].as<std::string>();
    options.sql = parsed["sql"].as<std::string>();
    options.write = parsed.count("write") > 0;
    options.max_age_ms = parsed["max-age-ms"].as<int>();
    options.connections = parsed["connections"].as<int>();
    options.threads = std::max(1, parsed["threads"].as<int>());
    return ryefold::bench::Run(
        options, std::chrono::seconds(parsed["seconds"].as<int>()));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "bench_load: " << error.what() << "; see --help\n";
    return 2;
  }
}
