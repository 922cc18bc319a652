// Share of reads served by replicas, in virtual time, beside the bound of a
// router that knows every log at every moment.

#include <cstdio>
#include <cxxopts.hpp>

#include "testsuite/support/group/share_trial.h"

namespace {

using namespace ryefold::test;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kSeed = 20261202;

void Print(const char* profile, const GroupShape& shape, int lag_ms,
           int seconds) {
  for (const int rate : {10, 50, 100, 200, 500, 1000}) {
    ShareLoad load;
    load.lag = milliseconds(lag_ms);
    load.rate = rate;
    ShareTrial trial(shape, load, kSeed);
    const ShareFigures figures = trial.Run(std::chrono::seconds(seconds));
    std::printf("%-10s %6d %6d %8llu %8.3f %8.3f %8.3f %10llu\n", profile,
                lag_ms, rate, static_cast<unsigned long long>(figures.reads),
                figures.share(), figures.bound(), figures.share_of_bound(),
                static_cast<unsigned long long>(figures.unanswered));
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("bench_replica_share",
                           "Share of reads on replicas in virtual time");
  options.add_options()("seconds", "virtual time of each line",
                        cxxopts::value<int>()->default_value("60"));
  const int seconds = options.parse(argc, argv)["seconds"].as<int>();
  std::printf(
      "A tenth writes, half the reads accept age 0, half 5 s.\n"
      "%-10s %6s %6s %8s %8s %8s %8s %10s\n",
      "profile", "lag", "rate", "reads", "share", "bound", "reached",
      "not served");
  for (const int lag : {10, 50, 200}) {
    Print("tamworth", Tamworth(), lag, seconds);
  }
  Print("zendmast", Zendmast(), 50, seconds);
  return 0;
}
