// The control part of the core (configuration, roster, duties) for a growing
// number of instances in virtual time: what each instance sends, spends and
// holds, what the store gets, and how long changes take.

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <cxxopts.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "ryefold/wire/platform_codec.h"
#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"
#include "testsuite/support/control/meter.h"
#include "testsuite/support/control/traffic.h"

namespace ryefold::testing::control {
namespace {

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Bytes of memory in use by this process.
double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

struct Sizes {
  size_t instances = 0;
  size_t documents = 0;
  std::chrono::seconds steady{60};
};

/// About what a workspace's parameters take.
std::string SomeText() { return std::string(300, 'x'); }

class Bench {
 public:
  explicit Bench(const Sizes& sizes)
      : sizes_(sizes), options_(TargetProportions(sizes.instances)) {
    const double before = ResidentBytes();
    fleet_ = std::make_unique<Fleet>(options_);
    groups_ = GroupNames(options_.groups);
    fleet_->SetGroups(groups_);
    ready_ = fleet_->RunUntil([this] { return fleet_->AllReady(); }, 30s);
    fleet_->Run(10s);
    Load();
    fleet_->Run(10s);
    memory_ =
        (ResidentBytes() - before) / static_cast<double>(sizes_.instances);
    meter_ = std::make_unique<Meter>(fleet_.get());
  }

  void PrintHead() const {
    std::printf("%zu instances, %zu groups, %zu documents, ready: %s\n",
                sizes_.instances, groups_.size(),
                fleet_->node(0).documents().size(), ready_ ? "yes" : "NO");
    std::printf("  memory of one instance's control part: %.0f KB\n",
                memory_ / 1024);
    const std::string list = wire::WriteInstances(1, fleet_->AllMembers());
    std::printf("  the platform's whole list: %zu bytes of JSON\n",
                list.size());
  }

  void Steady() {
    Measure("steady, no change", [this] { fleet_->Run(sizes_.steady); });
    // 4,500 changes a day are one in 19.2 s.
    Measure("4,500 changes a day", [this] {
      for (auto left = sizes_.steady; left > 0s; left -= 20s) {
        Publish();
        fleet_->Run(19200ms);
      }
    });
  }

  void OneChange() {
    double worst = 0;
    for (int i = 0; i < 10; ++i) {
      const TimePoint begin = fleet_->now();
      Publish();
      RunUntilInForce(head() + 1);
      worst = std::max(worst, Since(begin));
      fleet_->Run(1700ms);
    }
    std::printf("  one change: in force on all after %.2f s (worst of 10)\n",
                worst);
    const TimePoint begin = fleet_->now();
    fleet_->RequestInForceCount(0, head());
    fleet_->RunUntil([&] { return !fleet_->in_force_counts.empty(); }, 30s);
    std::printf("  count of a revision: %zu of %zu in %.2f s\n",
                fleet_->in_force_counts.back().in_force,
                fleet_->in_force_counts.back().instances, Since(begin));
  }

  void Burst(bool one_instance) {
    constexpr int kChanges = 100;
    const uint64_t target = head() + kChanges;
    const TimePoint begin = fleet_->now();
    meter_->Reset();
    for (int i = 0; i < kChanges; ++i) {
      fleet_->After(milliseconds(10 * i),
                    [this, one_instance] { Publish(one_instance); });
    }
    RunUntilInForce(target);
    std::printf(
        "  burst of 100 changes in 1 s through %s: in force on all after "
        "%.2f s, %.0f B per instance, store %.0f calls\n",
        one_instance ? "one instance" : "many", Since(begin),
        meter_->bytes() * meter_->seconds(),
        meter_->store_calls() * meter_->seconds());
    fleet_->Run(5s);
  }

  /// Replaces instances in a row, faster than 230 a day; what counts is the
  /// traffic of each replacement beyond the steady state.
  void Replace(size_t count) {
    meter_->Reset();
    const double cpu = CpuSeconds();
    for (size_t i = 0; i < count; ++i) ReplaceOne((i * 7) % fleet_->size());
    const auto replaced = static_cast<double>(count);
    const double bytes =
        (meter_->bytes() - steady_bytes_) * meter_->seconds() / replaced;
    const double share = (CpuSeconds() - cpu) /
                         static_cast<double>(sizes_.instances) /
                         meter_->seconds();
    const double spent = (share - steady_cpu_) * meter_->seconds() / replaced;
    constexpr double kPerSecond = 230.0 / 86400;
    std::printf(
        "  one replacement: %.0f B and %.2f ms on each instance beyond the "
        "steady state; at 230 a day %.2f B/s and %.5f%% of a core\n",
        bytes, 1000 * spent, bytes * kPerSecond, 100 * spent * kPerSecond);
  }

  void LoseDomain() {
    const size_t orphans = static_cast<size_t>(
        std::count_if(groups_.begin(), groups_.end(), [this](const auto& g) {
          const auto keepers = fleet_->KeepersOf(g);
          return !keepers.empty() && keepers.front() % options_.domains == 0;
        }));
    size_t moves = 0;
    fleet_->on_keeper_change = [&](size_t, const std::string&, bool keep) {
      if (keep) ++moves;
    };
    meter_->Reset();
    const TimePoint begin = fleet_->now();
    // Silence, not refusal: the machines themselves are gone.
    for (size_t i = 0; i < fleet_->size(); i += options_.domains) {
      fleet_->Pause(i);
    }
    Traffic traffic(fleet_.get());
    traffic.Start(std::max(1ms, 1000ms / static_cast<int>(groups_.size())), 10s,
                  groups_);
    const bool all = fleet_->RunUntil([this] { return AllKept(); }, 60s, 10ms);
    std::printf(
        "  failure domain lost: %zu of %zu groups lose their keeper; %s kept "
        "again after %.2f s\n",
        orphans, groups_.size(), all ? "all" : "NOT all", Since(begin));
    fleet_->Run(10s);
    std::printf(
        "    %zu take-overs, %.0f B/s per instance meanwhile (busiest %.0f); "
        "requests: %lu served, %lu later than 100 ms, worst %.1f s, %lu "
        "refused\n",
        moves, meter_->bytes(), meter_->worst_bytes(), traffic.served,
        traffic.delayed,
        static_cast<double>(traffic.max_latency.count()) / 1000,
        traffic.refused);
    fleet_->on_keeper_change = nullptr;
  }

 private:
  uint64_t head() const { return fleet_->platform.log().size(); }
  double Since(TimePoint begin) const {
    return std::chrono::duration<double>(fleet_->now() - begin).count();
  }

  void Publish(bool one_instance = false) {
    const std::string name = std::to_string(next_++);
    fleet_->Publish(one_instance ? 1 : next_ * 13 % fleet_->size(),
                    ChangeOf("c" + name, "workspace/" + name, 0, SomeText()),
                    30s);
  }

  void RunUntilInForce(uint64_t revision) {
    fleet_->RunUntil(
        [&] {
          return head() >= revision && fleet_->InForceEverywhere(revision);
        },
        60s);
  }

  /// Documents that are there before anything is measured.
  void Load() {
    constexpr size_t kEdits = 200;
    for (size_t done = 0; done < sizes_.documents; done += kEdits) {
      cfg::Change change;
      change.change_id = "load" + std::to_string(done);
      const size_t end = std::min(done + kEdits, sizes_.documents);
      for (size_t i = done; i < end; ++i) {
        change.edits.push_back({"loaded/" + std::to_string(i), 0, SomeText()});
      }
      fleet_->Publish(1, change, 30s);
      fleet_->Run(1s);
    }
    RunUntilInForce(head());
  }

  template <class Work>
  void Measure(const char* what, Work work) {
    meter_->Reset();
    const double cpu = CpuSeconds();
    work();
    const double share = (CpuSeconds() - cpu) / meter_->seconds() /
                         static_cast<double>(sizes_.instances);
    if (steady_bytes_ == 0) {
      steady_bytes_ = meter_->bytes();
      steady_cpu_ = share;
    }
    std::printf(
        "  %-20s %5.2f messages/s %6.0f B/s (busiest %5.0f, %.1f%% above "
        "2,048) %7.4f%% of a core, store %.2f calls/s in total\n",
        what, meter_->messages(), meter_->bytes(), meter_->worst_bytes(),
        100 * meter_->share_above(2048), 100 * share, meter_->store_calls());
    std::fflush(stdout);
  }

  void ReplaceOne(size_t target) {
    fleet_->Leave(target);
    SetList(target, true);
    fleet_->Run(3s);
    fleet_->Kill(target);
    SetList(target, false);
    fleet_->Run(1s);
    fleet_->Start(target);
    fleet_->platform.SetMembers(fleet_->AllMembers());
    fleet_->Run(6s);
  }

  void SetList(size_t target, bool leaving) {
    std::vector<Member> members = fleet_->AllMembers();
    const std::string name = fleet_->at(target).name;
    for (Member& member : members) {
      if (member.name == name) member.state = mem::MemberState::kLeaving;
    }
    if (!leaving) {
      std::erase_if(members, [&](const Member& m) { return m.name == name; });
    }
    fleet_->platform.SetMembers(members);
  }

  bool AllKept() const {
    return std::all_of(groups_.begin(), groups_.end(), [&](const auto& group) {
      const auto keepers = fleet_->KeepersOf(group);
      return std::any_of(keepers.begin(), keepers.end(),
                         [&](size_t i) { return !fleet_->at(i).paused; });
    });
  }

  Sizes sizes_;
  FleetOptions options_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Meter> meter_;
  std::vector<std::string> groups_;
  bool ready_ = false;
  double memory_ = 0;
  double steady_bytes_ = 0;
  double steady_cpu_ = 0;
  size_t next_ = 0;
};

void RunOne(const Sizes& sizes) {
  Bench bench(sizes);
  bench.PrintHead();
  bench.Steady();
  bench.OneChange();
  bench.Burst(true);
  bench.Burst(false);
  bench.Replace(3);
  bench.LoseDomain();
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench_control",
                           "Control traffic by number of instances");
  options.add_options()("instances", "numbers of instances",
                        cxxopts::value<std::vector<size_t>>()->default_value(
                            "8,32,128,512,1100"))(
      "documents", "documents in force",
      cxxopts::value<size_t>()->default_value("0"))(
      "steady", "seconds of the steady state",
      cxxopts::value<int>()->default_value("60"))("help", "this text");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::puts(options.help().c_str());
    return 0;
  }
  for (const size_t count : parsed["instances"].as<std::vector<size_t>>()) {
    RunOne({count, parsed["documents"].as<size_t>(),
            std::chrono::seconds(parsed["steady"].as<int>())});
  }
  return 0;
}

}  // namespace
}  // namespace ryefold::testing::control

int main(int argc, char** argv) {
  try {
    return ryefold::testing::control::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_control: %s\n", error.what());
    return 2;
  }
}
