#pragma once

// The task of an instance that serves interactive sessions: wires the session
// proxy to the platform's adapter, on one loop.

#include <functional>
#include <memory>
#include <string>

#include "ryefold/settings/gateway.h"
#include "ryefold/task/loop.h"
#include "ryefold/task/supervisor.h"

namespace ryefold::ryefoldd {

/// Owns every socket and all state of the instance. One task suffices: the
/// instances it is made for have a single core.
class GatewayTask : public task::Task {
 public:
  /// `stopped` is called once everything has been drained after SIGTERM.
  GatewayTask(settings::GatewaySettings settings, std::string settings_path,
              std::function<void()> stopped);
  ~GatewayTask() override;

  void Start(task::Loop* loop) override;
  void Stop() override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::ryefoldd
