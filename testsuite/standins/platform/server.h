#pragma once

// The sockets around the platform's store and instance list.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "testsuite/standins/lib/http.h"
#include "testsuite/standins/lib/instance_list.h"
#include "testsuite/standins/lib/json.h"
#include "testsuite/standins/lib/store.h"

namespace ryefold::standins {

class PlatformServer {
 public:
  PlatformServer(event_base* base, std::chrono::milliseconds list_lag);

  /// The bound "ip:port", or empty text.
  std::string Listen(const std::string& address);

 private:
  using Handler = void (PlatformServer::*)(const Exchange&, const Json::Value&);

  struct Kind {
    std::string name;
    Handler handler = nullptr;
  };
  struct Watcher {
    Exchange exchange;
    std::string key;
    uint64_t after = 0;
  };
  struct Faults {
    /// Accepts and never answers.
    bool down = false;
    /// Closes without an answer.
    bool refuse = false;
    std::chrono::milliseconds slow{0};
    /// So many further puts take effect and lose their answers.
    uint64_t lose_put_answers = 0;
  };

  void OnRequest(const Exchange& exchange);
  void OnCall(const Exchange& exchange);
  void Answer(const Exchange& exchange, int status, const std::string& body);
  void Send(const Exchange& exchange, int status, const std::string& body);

  void OnGet(const Exchange& exchange, const Json::Value& call);
  void OnPut(const Exchange& exchange, const Json::Value& call);
  void OnWatch(const Exchange& exchange, const Json::Value& call);
  void OnList(const Exchange& exchange, const Json::Value& call);
  void OnLease(const Exchange& exchange, const Json::Value& call);
  void OnRenew(const Exchange& exchange, const Json::Value& call);

  bool TryAnswer(const Watcher& watcher, bool over);
  void WakeWatchers(const std::string& key);
  void ExpireWatch(uint64_t id);

  void OnFault(const Exchange& exchange);
  bool ChangeFault(const std::string& name, const Json::Value& value);
  std::string DebugCalls() const;

  event_base* base_;
  HttpServer http_;
  std::map<std::string, Kind> kinds_;
  Store store_;
  InstanceList instances_;
  Faults faults_;
  std::map<std::string, uint64_t> calls_;
  uint64_t last_watcher_ = 0;
  std::map<uint64_t, Watcher> watchers_;
  /// Calls that arrived, or were due, while the service was down.
  std::vector<Exchange> held_;
};

}  // namespace ryefold::standins
