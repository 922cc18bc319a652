#pragma once

// Measures the write outage after one loss of a primary under steady writes.

#include <algorithm>
#include <string>
#include <vector>

#include "testsuite/support/group/fake_group.h"

namespace ryefold::test {

enum class Loss {
  kKilled,
  kCutFromPeers,  ///< No connection to its peers; still accepts connections of
                  ///< keepers.
  kFrozen,
  kUnreachable,  ///< No connection to any peer or keeper: neither answers nor
                 ///< resets.
  kKilledWithKeeper,
  kFrozenWithKeeper,
  kPlanned,
};

struct FailoverResult {
  Duration gap{0};
  uint64_t promotions = 0;
  std::vector<std::string> errors;
};

/// A successor sends heartbeats to the keeper once a second with a timeout of
/// half a second. These bound the time until it detects the loss of the keeper.
constexpr milliseconds kSuccessorHeartbeatInterval{1000};
constexpr milliseconds kSuccessorTimeout{500};
constexpr milliseconds kWriteInterval{5};

/// Rate of writes.
enum class Traffic { kSteady, kRare };
constexpr milliseconds kRareWriteInterval{3000};

class FailoverTrial {
 public:
  FailoverTrial(GroupShape shape, uint64_t seed,
                Traffic traffic = Traffic::kSteady)
      : group_(std::move(shape), seed),
        write_interval_(traffic == Traffic::kRare ? kRareWriteInterval
                                                  : kWriteInterval) {
    group_.AddKeeper();
    group_.time().RunFor(std::chrono::seconds(1));
    WriteNext();
    const auto until_fault = milliseconds(500 + group_.random()() % 1000);
    group_.time().RunFor(until_fault);
  }

  FailoverResult Run(Loss loss) {
    InjectLoss(loss);
    group_.time().RunFor(std::chrono::seconds(8));
    FailoverResult result = Finish();
    result.errors = group_.HealAndCheck();
    return result;
  }

  /// Runs under a disturbance that must not cause a promotion.
  FailoverResult Disturb(Duration stall, Duration network_delay) {
    group_["a"].stall = stall;
    for (const char* name : {"a", "b", "c"}) {
      group_.keeper(0).extra_delay[name] = network_delay;
    }
    group_["a"].shape().peer_delay += network_delay;
    group_["b"].shape().peer_delay += network_delay;
    group_["c"].shape().peer_delay += network_delay;
    group_.time().RunFor(std::chrono::seconds(10));
    group_["a"].stall = Duration{0};
    group_.keeper(0).extra_delay.clear();
    group_.time().RunFor(std::chrono::seconds(2));
    return Finish();
  }

 private:
  void WriteNext() {
    if (stopped_) return;
    group_.Send(keeper_, group_.Write(std::chrono::seconds(1)),
                [this](const core::StatementAnswer& answer) {
                  if (answer.kind() != core::OutcomeKind::kDone) return;
                  done_at_.push_back(group_.time().now());
                });
    group_.time().After(write_interval_, [this] { WriteNext(); });
  }

  void InjectLoss(Loss loss) {
    switch (loss) {
      case Loss::kKilled:
        group_.Kill("a");
        return;
      case Loss::kCutFromPeers:
        group_["a"].peers_cut = true;
        return;
      case Loss::kFrozen:
        group_["a"].frozen = true;
        return;
      case Loss::kUnreachable:
        group_["a"].peers_cut = true;
        group_.keeper(0).cut.insert("a");
        return;
      case Loss::kKilledWithKeeper:
        group_.Kill("a");
        ReplaceKeeper();
        return;
      case Loss::kFrozenWithKeeper:
        group_["a"].frozen = true;
        ReplaceKeeper();
        return;
      case Loss::kPlanned:
        group_.Policy("a");
        return;
    }
  }

  void ReplaceKeeper() {
    group_.keeper(0).Kill();
    const auto heartbeat_delay =
        group_.random()() % kSuccessorHeartbeatInterval.count();
    group_.time().After(milliseconds(heartbeat_delay) + kSuccessorTimeout,
                        [this] { keeper_ = group_.AddKeeper(); });
  }

  FailoverResult Finish() {
    stopped_ = true;
    FailoverResult result;
    for (size_t i = 1; i < done_at_.size(); ++i) {
      result.gap = std::max(result.gap, done_at_[i] - done_at_[i - 1]);
    }
    if (!done_at_.empty()) {
      const auto since_last_write = group_.time().now() - done_at_.back();
      result.gap = std::max(result.gap, since_last_write);
    }
    for (size_t i = 0; i < group_.keepers(); ++i) {
      for (const auto& [name, count] :
           group_.keeper(static_cast<int>(i)).promotions) {
        result.promotions += count;
      }
    }
    return result;
  }

  FakeGroup group_;
  milliseconds write_interval_;
  int keeper_ = 0;
  bool stopped_ = false;
  std::vector<TimePoint> done_at_;
};

/// Median and maximum over many trials of one loss.
struct FailoverFigures {
  Duration median{0};
  Duration worst{0};
  uint64_t promotions = 0;
  size_t trials = 0;
  std::vector<std::string> errors;
};

inline FailoverFigures MeasureLoss(const GroupShape& shape, Loss loss,
                                   size_t trials, uint64_t seed) {
  FailoverFigures figures;
  std::vector<Duration> gaps;
  for (size_t i = 0; i < trials; ++i) {
    FailoverTrial trial(shape, seed + i);
    const FailoverResult result = trial.Run(loss);
    gaps.push_back(result.gap);
    figures.promotions += result.promotions;
    for (const std::string& text : result.errors) {
      figures.errors.push_back("seed " + std::to_string(seed + i) + ": " +
                               text);
    }
  }
  std::sort(gaps.begin(), gaps.end());
  figures.median = gaps[gaps.size() / 2];
  figures.worst = gaps.back();
  figures.trials = trials;
  return figures;
}

/// Returns the promotions that a disturbance caused in `trials` runs.
inline uint64_t CountFalsePromotions(const GroupShape& shape, Duration stall,
                                     Duration network_delay, Traffic traffic,
                                     size_t trials, uint64_t seed) {
  uint64_t promotions = 0;
  for (size_t i = 0; i < trials; ++i) {
    FailoverTrial trial(shape, seed + i, traffic);
    promotions += trial.Disturb(stall, network_delay).promotions;
  }
  return promotions;
}

}  // namespace ryefold::test
