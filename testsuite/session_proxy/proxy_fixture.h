#pragma once

// Test fixture: instances in front of one database group in virtual time, and
// callers that send one statement at a time.

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

  /// Creates instances in the failure domain; "a" is that of the primary.
  void CreateInstances(uint32_t instances, const std::string& domain = "a") {
    for (uint32_t i = 0; i < instances; ++i) {
      hosts_.push_back(std::make_unique<InstanceHost>(
          &clock_, &cluster_, this, "i" + std::to_string(i), domain, &fleet_));
    }
    for (const auto& host : hosts_) {
      host->proxy()->SetInstances(clock_.now(), host->name(),
                                  fleet_.candidates);
    }
    RunFor(200);
  }
  void RunFor(int64_t ms) { clock_.RunUntil(clock_.now() + milliseconds(ms)); }

  void OnReply(CallerId caller, const Reply& reply) override {
    replies_[caller] = reply;
  }
  void OnClosed(CallerId /*caller*/, ErrorCode /*error*/) override {}

  /// Sends a statement; its reply is stored in `replies_` on arrival.
  void Send(size_t host, CallerId caller, StatementKind kind,
            const std::string& text) {
    replies_.erase(caller);
    hosts_[host]->proxy()->CallerStatement(
        clock_.now(), caller, "s" + std::to_string(++last_statement_id_),
        MakeStatement(kind, text));
  }
  /// Sends a statement and returns the error of its reply, or kTimeout if none
  /// arrives within `timeout_ms`.
  ErrorCode Execute(size_t host, CallerId caller, StatementKind kind,
                    const std::string& text, int64_t timeout_ms = 1500) {
    Send(host, caller, kind, text);
    for (int64_t waited_ms = 0; waited_ms < timeout_ms; waited_ms += 5) {
      if (replies_.count(caller) > 0) return replies_[caller].error;
      RunFor(5);
    }
    return ErrorCode::kTimeout;
  }
  void StartSession(size_t host, CallerId caller, const std::string& route) {
    hosts_[host]->proxy()->CallerStarted(clock_.now(), caller, route);
  }
  ErrorCode Write(size_t host, CallerId caller) {
    return Execute(host, caller, StatementKind::kWrite, "WRITE k v");
  }
  ErrorCode Read(size_t host, CallerId caller) {
    return Execute(host, caller, StatementKind::kRead, "READ k");
  }

  /// Starts callers 1 and 2 at one instance and lets the first one's write
  /// reach the replicas.
  void StartTwoCallersAndWrite() {
    CreateInstances(1);
    StartSession(0, 1, "primary");
    StartSession(0, 2, "primary");
    EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
    RunFor(50);
  }

  VirtualClock clock_;
  FakeCluster cluster_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  std::map<CallerId, Reply> replies_;
  uint64_t last_statement_id_ = 0;
};

}  // namespace ryefold::testsuite
