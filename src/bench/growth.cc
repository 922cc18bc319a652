// What one instance on the platform's path spends and holds in a growing fleet:
// its first copy of the store, changes of the list of instances, of databases
// and of the configuration, and time that passes without work. No network:
// connections open at once and stay idle.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/directory.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/task/clock.h"
#include "testsuite/support/session/idle_port.h"

namespace ryefold::bench {
namespace {

using core::mirror::EntryMap;
using core::session::ConnectionId;
using core::session::KeeperCandidate;
using std::chrono::milliseconds;

/// Limit of connections of each database, as on the largest deployment.
constexpr int kConnectionLimit = 296;
constexpr size_t kDatabasesPerGroup = 3;
constexpr size_t kFailureDomains = 5;
/// Changes of one kind whose cost is averaged.
constexpr size_t kChanges = 10;
constexpr milliseconds kTickInterval{50};
constexpr double kBytesPerMegabyte = 1024 * 1024;

double CpuMilliseconds() {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e3 +
         static_cast<double>(spent.tv_nsec) / 1e6;
}

double HeapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / kBytesPerMegabyte;
}

std::string DomainOf(size_t number) {
  return {'z', static_cast<char>('a' + number % kFailureDomains)};
}

class LineCounter : public core::EventSink {
 public:
  bool IsEnabled(core::EventPriority /*priority*/) override { return true; }
  void Write(core::EventPriority /*priority*/,
             std::string_view /*line*/) override {
    ++lines_;
  }
  size_t lines() const { return lines_; }

 private:
  size_t lines_ = 0;
};

/// One instance in a fleet of a given size, with as many groups as instances.
class Instance {
 public:
  explicit Instance(size_t size) : size_(size) {
    proxy_.SetForwarder(&port_);
    for (size_t i = 0; i < size; ++i) {
      instances_.push_back({"front-hall-a-" + std::to_string(i), DomainOf(i)});
    }
    PutConfig(1);
    for (size_t i = 0; i < size * kDatabasesPerGroup; ++i) PutDatabase(i, 0);
  }

  void ReadAll() {
    proxy_.SetInstances(Now(), instances_.front().instance, instances_);
    directory_.OnEntriesChanged(entries_);
    OpenAll();
  }
  void Join(size_t number) {
    instances_.push_back({"spare-" + std::to_string(number), DomainOf(number)});
    proxy_.SetInstances(Now(), instances_.front().instance, instances_);
    OpenAll();
  }
  void Leave() {
    instances_.pop_back();
    proxy_.SetInstances(Now(), instances_.front().instance, instances_);
    OpenAll();
  }
  void ChangeDatabase(size_t number) {
    const std::string key = PutDatabase(number, 1);
    directory_.OnEntriesChanged({{key, entries_.at(key)}});
    OpenAll();
  }
  void ChangeConfig(uint64_t version) {
    const std::string key = PutConfig(version);
    directory_.OnEntriesChanged({{key, entries_.at(key)}});
    OpenAll();
  }
  /// Lets one second pass.
  void Idle() {
    for (milliseconds passed{0}; passed < milliseconds(1000);
         passed += kTickInterval) {
      passed_ += kTickInterval;
      proxy_.Tick(Now());
    }
  }
  size_t log_lines() const { return lines_.lines(); }

 private:
  core::TimePoint Now() const { return start_ + passed_; }

  void Put(const std::string& key, std::string value) {
    core::mirror::Entry& entry = entries_[key];
    entry.key = key;
    entry.value = std::move(value);
    entry.revision = ++revision_;
  }

  std::string PutConfig(uint64_t version) {
    std::string routes;
    std::string groups;
    for (size_t i = 0; i < size_; ++i) {
      const std::string group = "group-" + std::to_string(i);
      if (i > 0) {
        routes += ",";
        groups += ",";
      }
      routes += "{\"name\":\"r" + std::to_string(i) + "\",\"host\":\"h" +
                std::to_string(i) + "\",\"service\":\"" + group +
                "\",\"type\":\"bounded\",\"timeout_ms\":1000,\"goal_ms\":400," +
                "\"priority\":1,\"max_staleness_ms\":1500}";
      groups += "{\"name\":\"" + group +
                "\",\"max_conns\":" + std::to_string(kConnectionLimit) + "}";
    }
    Put("op/config", "{\"version\":" + std::to_string(version) +
                         ",\"routes\":[" + routes + "],\"services\":[" +
                         groups + "]}");
    return "op/config";
  }

  std::string PutDatabase(size_t number, int slots_added) {
    const bool primary = number % kDatabasesPerGroup == 0;
    std::string key = "servers/i-" + std::to_string(1000000 + number);
    Put(key, "{\"service\":\"group-" +
                 std::to_string(number / kDatabasesPerGroup) +
                 "\",\"address\":\"10.0." + std::to_string(number / 250) + "." +
                 std::to_string(number % 250) + ":7000\",\"zone\":\"" +
                 DomainOf(number) + "\",\"version\":\"v1\",\"slots\":" +
                 std::to_string(4 + slots_added) +
                 ",\"state\":\"ready\",\"cold_left_ms\":0,\"db_role\":\"" +
                 (primary ? "primary" : "replica") +
                 "\",\"sequence\":1,\"born\":1764720000000}");
    return key;
  }

  void OpenAll() {
    for (const ConnectionId each : port_.TakeOpening()) {
      proxy_.ConnectionOpened(Now(), each);
    }
  }

  const size_t size_;
  const core::TimePoint start_ = task::BootTime();
  milliseconds passed_{0};
  testsuite::IdlePort port_;
  LineCounter lines_;
  core::session::Proxy proxy_{core::session::ProxySettings(), &port_, &lines_,
                              nullptr};
  platform::Directory directory_{&lines_, &proxy_};
  EntryMap entries_;
  uint64_t revision_ = 0;
  std::vector<KeeperCandidate> instances_;
};

struct Figures {
  double first_copy_ms = 0;
  double first_copy_lines = 0;
  double held_mb = 0;
  double join_ms = 0;
  double leave_ms = 0;
  double database_ms = 0;
  double config_ms = 0;
  double idle_ms = 0;
};

/// Returns the processor time of `action`, on average over `kChanges` calls
/// with the numbers from `first` on.
template <class Action>
double Average(size_t first, const Action& action) {
  const double before = CpuMilliseconds();
  for (size_t i = 0; i < kChanges; ++i) action(first + i);
  return (CpuMilliseconds() - before) / static_cast<double>(kChanges);
}

Figures Measure(size_t size) {
  Figures figures;
  Instance instance(size);
  const double heap_before = HeapMegabytes();
  const double before = CpuMilliseconds();
  instance.ReadAll();
  figures.first_copy_ms = CpuMilliseconds() - before;
  figures.held_mb = HeapMegabytes() - heap_before;
  figures.first_copy_lines = static_cast<double>(instance.log_lines());
  figures.join_ms =
      Average(0, [&instance](size_t each) { instance.Join(each); });
  figures.leave_ms =
      Average(0, [&instance](size_t /*each*/) { instance.Leave(); });
  figures.database_ms =
      Average(0, [&instance](size_t each) { instance.ChangeDatabase(each); });
  figures.config_ms =
      Average(2, [&instance](size_t each) { instance.ChangeConfig(each); });
  // Connections that the changes above opened are closed as idle first.
  instance.Idle();
  figures.idle_ms =
      Average(0, [&instance](size_t /*each*/) { instance.Idle(); });
  return figures;
}

void PrintRow(const char* name, const std::vector<Figures>& all,
              double Figures::*figure) {
  std::printf("| %s |", name);
  for (const Figures& each : all) std::printf(" %.3g |", each.*figure);
  std::printf("\n");
}

void Run(const std::vector<size_t>& sizes) {
  std::vector<Figures> all;
  std::printf("| instances, groups |");
  for (const size_t size : sizes) {
    std::printf(" %zu |", size);
    all.push_back(Measure(size));
  }
  std::printf("\n");
  PrintRow("first copy of the store, ms", all, &Figures::first_copy_ms);
  PrintRow("log lines of it", all, &Figures::first_copy_lines);
  PrintRow("heap for it, MB", all, &Figures::held_mb);
  PrintRow("an instance joins, ms", all, &Figures::join_ms);
  PrintRow("an instance leaves, ms", all, &Figures::leave_ms);
  PrintRow("a database's entry changes, ms", all, &Figures::database_ms);
  PrintRow("the configuration changes, ms", all, &Figures::config_ms);
  PrintRow("a second without work, ms", all, &Figures::idle_ms);
}

}  // namespace
}  // namespace ryefold::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("bench_growth",
                         "Processor time and memory of one instance by size of "
                         "the fleet; as many groups as instances.");
  flags.add_options()(
      "instances", "sizes of the fleet",
      cxxopts::value<std::vector<size_t>>()->default_value("250,1000,2000"));
  const auto parsed = flags.parse(argc, argv);
  ryefold::bench::Run(parsed["instances"].as<std::vector<size_t>>());
}
