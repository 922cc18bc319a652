#pragma once

// Measures the reads served by replicas, compared with the upper bound of a
// router that has every log position at every moment.

#include <string>
#include <vector>

#include "testsuite/support/group/fake_group.h"

namespace ryefold::test {

struct ShareLoad {
  milliseconds lag{50};
  /// Statements per second over all sessions.
  int rate = 100;
  int sessions = 50;
  /// One statement in `write_every` is a write.
  int write_every = 10;
  milliseconds loose_age{5000};
};

struct ShareFigures {
  uint64_t reads = 0;
  uint64_t by_replica = 0;
  /// Reads for which some replica had every required entry on arrival.
  uint64_t allowed = 0;
  uint64_t unanswered = 0;

  double share() const { return Ratio(by_replica, reads); }
  double bound() const { return Ratio(allowed, reads); }
  /// Returns the fraction of the upper bound that was reached.
  double share_of_bound() const { return Ratio(by_replica, allowed); }

 private:
  static double Ratio(uint64_t factor, uint64_t whole) {
    return whole == 0
               ? 0
               : static_cast<double>(factor) / static_cast<double>(whole);
  }
};

class ShareTrial {
 public:
  ShareTrial(const GroupShape& shape, ShareLoad load, uint64_t seed)
      : group_(shape, seed), load_(load), seen_(load.sessions) {
    group_["b"].shape().lag = load.lag;
    group_["c"].shape().lag = load.lag;
    group_.AddKeeper();
    group_.time().RunFor(std::chrono::seconds(1));
  }

  ShareFigures Run(Duration time) {
    const TimePoint end = group_.time().now() + time;
    const Duration mean_interval =
        Duration(std::chrono::seconds(1)) / load_.rate;
    while (group_.time().now() < end) {
      SendNext();
      // Irregular arrivals: intervals between 0.5 and 1.5 times the mean.
      const auto factor = 500 + group_.random()() % 1000;
      group_.time().RunFor(mean_interval * factor / 1000);
    }
    group_.time().RunFor(std::chrono::seconds(2));
    figures_.unanswered = figures_.reads - answered_;
    return figures_;
  }

 private:
  void SendNext() {
    const size_t session = group_.random()() % seen_.size();
    if (group_.random()() % load_.write_every == 0) {
      group_.Send(0, group_.Write(std::chrono::seconds(1)),
                  [this, session](const core::StatementAnswer& answer) {
                    UpdateSession(session, answer);
                  });
      return;
    }
    const bool strict = group_.random()() % 2 == 0;
    ++figures_.reads;
    if (Allowed(seen_[session], strict)) ++figures_.allowed;
    group_.Send(0,
                group_.Read("x", std::chrono::seconds(1), seen_[session],
                            strict ? milliseconds(0) : load_.loose_age),
                [this, session](const core::StatementAnswer& answer) {
                  if (answer.kind() != core::OutcomeKind::kDone) return;
                  ++answered_;
                  if (answer.from_replica()) ++figures_.by_replica;
                  UpdateSession(session, answer);
                });
  }

  void UpdateSession(size_t session, const core::StatementAnswer& answer) {
    if (answer.kind() != core::OutcomeKind::kDone) return;
    seen_[session] = std::max(seen_[session], answer.seen());
  }

  /// The lag is far below the loose age, so a loose read is bound only by its
  /// session.
  bool Allowed(const core::LogPosition& seen, bool strict) {
    core::LogPosition needed = seen;
    if (strict) needed = std::max(needed, group_["a"].log().last());
    return group_["b"].log().last() >= needed ||
           group_["c"].log().last() >= needed;
  }

  FakeGroup group_;
  ShareLoad load_;
  std::vector<core::LogPosition> seen_;
  ShareFigures figures_;
  uint64_t answered_ = 0;
};

}  // namespace ryefold::test
