#pragma once

// Instances before one group of databases in virtual time, and callers that ask
// one statement at a time.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {

class ProxyTest : public testing::Test, public CallerListener {
 protected:
  ProxyTest() : cluster_(&clock_, 5) {}

  void Make(uint32_t instances) {
    for (uint32_t i = 0; i < instances; ++i) {
      hosts_.push_back(std::make_unique<InstanceHost>(
          &clock_, &cluster_, this, "i" + std::to_string(i), "a", &fleet_));
    }
    for (const auto& host : hosts_) {
      host->proxy()->SetInstances(clock_.now(), host->name(),
                                  fleet_.candidates);
    }
    Run(200);
  }
  void Run(int64_t ms) { clock_.RunUntil(clock_.now() + milliseconds(ms)); }

  void OnReply(CallerId caller, const Reply& reply) override {
    replies_[caller] = reply;
  }
  void OnClosed(CallerId /*caller*/, ErrorCode /*error*/) override {}

  /// Sends a statement; its answer is in `replies_` once it has come.
  void Send(size_t host, CallerId caller, StatementKind kind,
            const std::string& text) {
    replies_.erase(caller);
    hosts_[host]->proxy()->CallerStatement(clock_.now(), caller,
                                           "s" + std::to_string(++last_id_),
                                           MakeStatement(kind, text));
  }
  /// The error of the answer that came within `bound`, kTimeout if none did.
  ErrorCode Ask(size_t host, CallerId caller, StatementKind kind,
                const std::string& text, int64_t bound = 1500) {
    Send(host, caller, kind, text);
    for (int64_t waited = 0; waited < bound; waited += 5) {
      if (replies_.count(caller) > 0) return replies_[caller].error;
      Run(5);
    }
    return ErrorCode::kTimeout;
  }
  void Start(size_t host, CallerId caller, const std::string& route) {
    hosts_[host]->proxy()->CallerStarted(clock_.now(), caller, route);
  }
  ErrorCode Write(size_t host, CallerId caller) {
    return Ask(host, caller, StatementKind::kWrite, "WRITE k v");
  }
  ErrorCode Read(size_t host, CallerId caller) {
    return Ask(host, caller, StatementKind::kRead, "READ k");
  }

  VirtualClock clock_;
  FakeCluster cluster_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  std::map<CallerId, Reply> replies_;
  uint64_t last_id_ = 0;
};

}  // namespace ryefold::testsuite
