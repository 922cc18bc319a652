#pragma once

// Requests from entries to keepers, as far as membership is concerned: where
// they go, whether they are served, and how long that takes.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {

class Traffic {
 public:
  explicit Traffic(Fleet* fleet) : fleet_(fleet) {}

  uint64_t sent = 0;
  uint64_t served = 0;
  /// Served, but later than `kPrompt`.
  uint64_t delayed = 0;
  uint64_t refused = 0;
  milliseconds worst{0};

  /// Sends one request each `interval` from each live entry in turn, to each
  /// group in turn, for `length`.
  void Start(milliseconds interval, milliseconds length,
             std::vector<std::string> groups) {
    groups_ = std::move(groups);
    for (milliseconds at{0}; at < length; at += interval) {
      const uint64_t n = next_++;
      fleet_->After(at, [this, n] {
        const size_t entry = n * 7 + n / groups_.size();
        Send(entry % fleet_->size(), groups_[n % groups_.size()]);
      });
    }
  }

  void Send(size_t entry, const std::string& group) {
    const Box& box = fleet_->at(entry);
    if (!box.alive || box.frozen) return;
    ++sent;
    auto request = std::make_shared<Request>();
    request->entry = entry;
    request->group = group;
    request->begin = fleet_->now();
    request->generation = box.generation;
    Try(request);
  }

 private:
  static constexpr milliseconds kPrompt{100};
  static constexpr milliseconds kDeadline{5000};
  static constexpr milliseconds kPatience{1500};
  static constexpr milliseconds kWay{2};
  static constexpr milliseconds kPause{100};

  struct Request {
    size_t entry = 0;
    std::string group;
    TimePoint begin;
    uint64_t generation = 0;
    size_t attempt = 0;
  };
  using Shared = std::shared_ptr<Request>;

  void Try(const Shared& request) {
    Box& entry = fleet_->at(request->entry);
    if (entry.generation != request->generation) {
      --sent;  // The entry itself is gone: its caller turns to another one.
      return;
    }
    if (fleet_->now() - request->begin >= kDeadline) {
      ++refused;
      return;
    }
    const auto ranked =
        entry.roster->RankedInstances(fleet_->now(), request->group);
    const size_t place = request->attempt++ % 3;
    if (place >= ranked.size()) return Again(request, kPause);
    const std::string& name = ranked[place];
    const size_t target = fleet_->IndexOf(name);
    if (target == request->entry) return Arrive(request, target, name);
    fleet_->After(
        kWay, [this, request, target, name] { Arrive(request, target, name); });
  }

  void Arrive(const Shared& request, size_t target, const std::string& name) {
    const Box& box = fleet_->at(target);
    const bool silent = !fleet_->Reaches(request->entry, target) || box.frozen;
    if (!box.alive || silent) {
      fleet_->After(silent ? kPatience : kWay, [this, request, name] {
        fleet_->at(request->entry).roster->Suspect(fleet_->now(), name);
        request->attempt = 0;
        Try(request);
      });
      return;
    }
    if (fleet_->Ask(target, request->group)) {
      Finish(*request);
    } else {
      Again(request, request->attempt % 3 == 0 ? kPause : kWay);
    }
  }

  void Again(const Shared& request, milliseconds pause) {
    fleet_->After(pause, [this, request] { Try(request); });
  }

  void Finish(const Request& request) {
    ++served;
    const auto took =
        std::chrono::duration_cast<milliseconds>(fleet_->now() - request.begin);
    if (took > kPrompt) ++delayed;
    worst = std::max(worst, took);
  }

  Fleet* fleet_;
  std::vector<std::string> groups_;
  uint64_t next_ = 0;
};

}  // namespace ryefold::testing::control
