// Failover gap in virtual time, for each way to lose a primary and both
// deployments, and false promotions at several detection settings.

#include <cstdio>
#include <cxxopts.hpp>

#include "testsuite/support/group/failover_trial.h"

namespace {

using namespace ryefold::test;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

constexpr uint64_t kSeed = 20261202;

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

struct NamedLoss {
  const char* name;
  Loss loss;
};
constexpr NamedLoss kLosses[] = {
    {"killed", Loss::kKilled},
    {"cut off from its peers", Loss::kCutFromPeers},
    {"frozen", Loss::kFrozen},
    {"silent to everybody", Loss::kUnreachable},
    {"killed with its keeper", Loss::kKilledWithKeeper},
    {"frozen with its keeper", Loss::kFrozenWithKeeper},
    {"planned change", Loss::kPlanned},
};

void PrintGaps(const char* profile, const GroupShape& shape, size_t trials) {
  std::printf("\n%s, %zu trials each, ms\n", profile, trials);
  std::printf("%-26s %8s %8s %12s %6s\n", "loss", "median", "worst",
              "promotions", "wrong");
  for (const NamedLoss& loss : kLosses) {
    const FailoverFigures figures =
        MeasureLoss(shape, loss.loss, trials, kSeed);
    std::printf("%-26s %8.1f %8.1f %12.2f %6zu\n", loss.name,
                Milliseconds(figures.median), Milliseconds(figures.worst),
                static_cast<double>(figures.promotions) /
                    static_cast<double>(figures.trials),
                figures.errors.size());
    if (!figures.errors.empty()) {
      std::printf("  first: %s\n", figures.errors.front().c_str());
    }
  }
}

/// False promotions under steady and under rare writes together.
uint64_t False(const GroupShape& shape, Duration stall, Duration delay,
               size_t trials) {
  return CountFalsePromotions(shape, stall, delay, Traffic::kSteady, trials,
                              kSeed) +
         CountFalsePromotions(shape, stall, delay, Traffic::kRare, trials,
                              kSeed);
}

void PrintDetection(size_t trials) {
  std::printf(
      "\nDetection settings (tamworth): false promotions in %zu runs of 10 s, "
      "and the gap they buy, ms\n",
      2 * trials);
  std::printf("%10s %12s | %9s %9s %9s | %13s %13s\n", "lost_after",
              "unconfirmed", "stall 3 s", "+250 ms", "+500 ms", "silent worst",
              "cut off worst");
  for (const int lost : {800, 1100, 1600, 2400}) {
    GroupShape shape = Tamworth();
    shape.timing.lost_after = milliseconds(lost);
    shape.timing.unconfirmed_after = milliseconds(std::max(lost - 500, 400));
    const auto stall = False(shape, seconds(3), Duration{0}, trials);
    const auto quarter = False(shape, Duration{0}, milliseconds(250), trials);
    const auto half = False(shape, Duration{0}, milliseconds(500), trials);
    const auto silent = MeasureLoss(shape, Loss::kUnreachable, trials, kSeed);
    const auto cut = MeasureLoss(shape, Loss::kCutFromPeers, trials, kSeed);
    std::printf("%10d %12lld | %9llu %9llu %9llu | %13.1f %13.1f\n", lost,
                static_cast<long long>(shape.timing.unconfirmed_after.count()),
                static_cast<unsigned long long>(stall),
                static_cast<unsigned long long>(quarter),
                static_cast<unsigned long long>(half),
                Milliseconds(silent.worst), Milliseconds(cut.worst));
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("bench_failover", "Failover gap in virtual time");
  options.add_options()("trials", "trials for each line",
                        cxxopts::value<size_t>()->default_value("40"));
  const size_t trials = options.parse(argc, argv)["trials"].as<size_t>();
  std::printf(
      "The store takes no part in a promotion: its being down changes no "
      "line.\n");
  PrintGaps("tamworth", Tamworth(), trials);
  PrintGaps("zendmast", Zendmast(), trials);
  PrintDetection(trials / 4 + 1);
  return 0;
}
