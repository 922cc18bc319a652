#pragma once

// Simulated requests from entries to keepers, as far as membership is
// concerned: where they are sent, whether they are served, and how long they
// take.

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
  /// Served, but later than `kPromptLimit`.
  uint64_t delayed = 0;
  uint64_t refused = 0;
  milliseconds max_latency{0};

  /// Sends one request every `interval` for `duration`, round-robin over the
  /// live entries and the groups.
  void Start(milliseconds interval, milliseconds duration,
             std::vector<std::string> groups) {
    groups_ = std::move(groups);
    for (milliseconds at{0}; at < duration; at += interval) {
      const uint64_t n = next_++;
      fleet_->After(at, [this, n] {
        const size_t entry = n * 7 + n / groups_.size();
        Send(entry % fleet_->size(), groups_[n % groups_.size()]);
      });
    }
  }

  void Send(size_t entry, const std::string& group) {
    const FleetInstance& instance = fleet_->at(entry);
    if (!instance.alive || instance.paused) return;
    ++sent;
    auto request = std::make_shared<Request>();
    request->entry = entry;
    request->group = group;
    request->begin = fleet_->now();
    request->generation = instance.generation;
    SendAttempt(request);
  }

 private:
  static constexpr milliseconds kPromptLimit{100};
  static constexpr milliseconds kDeadline{5000};
  static constexpr milliseconds kCallTimeout{1500};
  static constexpr milliseconds kNetworkDelay{2};
  static constexpr milliseconds kRetryDelay{100};

  struct Request {
    size_t entry = 0;
    std::string group;
    TimePoint begin;
    uint64_t generation = 0;
    size_t attempt = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void SendAttempt(const RequestPtr& request) {
    FleetInstance& entry = fleet_->at(request->entry);
    if (entry.generation != request->generation) {
      --sent;  // The entry restarted; its caller uses another entry.
      return;
    }
    if (fleet_->now() - request->begin >= kDeadline) {
      ++refused;
      return;
    }
    const auto ranked =
        entry.roster->RankedInstances(fleet_->now(), request->group);
    const size_t rank = request->attempt++ % 3;
    if (rank >= ranked.size()) return RetryAfter(request, kRetryDelay);
    const std::string& name = ranked[rank];
    const size_t target = fleet_->IndexOf(name);
    if (target == request->entry) return HandleAttempt(request, target, name);
    fleet_->After(kNetworkDelay, [this, request, target, name] {
      HandleAttempt(request, target, name);
    });
  }

  void HandleAttempt(const RequestPtr& request, size_t target,
                     const std::string& name) {
    const FleetInstance& instance = fleet_->at(target);
    const bool unreachable =
        !fleet_->IsConnected(request->entry, target) || instance.paused;
    if (!instance.alive || unreachable) {
      fleet_->After(
          unreachable ? kCallTimeout : kNetworkDelay, [this, request, name] {
            fleet_->at(request->entry).roster->Suspect(fleet_->now(), name);
            request->attempt = 0;
            SendAttempt(request);
          });
      return;
    }
    if (fleet_->SendGroupRequest(target, request->group)) {
      Finish(*request);
    } else {
      RetryAfter(request,
                 request->attempt % 3 == 0 ? kRetryDelay : kNetworkDelay);
    }
  }

  void RetryAfter(const RequestPtr& request, milliseconds pause) {
    fleet_->After(pause, [this, request] { SendAttempt(request); });
  }

  void Finish(const Request& request) {
    ++served;
    const auto took =
        std::chrono::duration_cast<milliseconds>(fleet_->now() - request.begin);
    if (took > kPromptLimit) ++delayed;
    max_latency = std::max(max_latency, took);
  }

  Fleet* fleet_;
  std::vector<std::string> groups_;
  uint64_t next_ = 0;
};

}  // namespace ryefold::testing::control
