#pragma once

// What the instance's parts share of the streams to and from other instances:
// one listening address, one connection to each instance, names instead of
// addresses.

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "ryefold/task/loop.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/peer_pool.h"

namespace ryefold::ryefoldd {

/// On the task's loop.
class PeerExchange {
 public:
  using Handler = std::function<void(const wire::PeerCall&)>;

  explicit PeerExchange(task::Loop* loop);

  /// An error text, empty on success.
  std::string Listen(const std::string& address);
  /// Hands calls with this path to `handler`; others are refused.
  void Serve(std::string_view path, Handler handler);

  /// Where instances listen, by name.
  void SetAddresses(std::map<std::string, std::string> addresses) {
    addresses_ = std::move(addresses);
  }
  /// Null when no address of the instance is known.
  wire::PeerClient* To(const std::string& instance);

 private:
  void OnCall(const wire::PeerCall& call);

  PeerPool peers_;
  wire::PeerServer server_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, Handler, std::less<>> handlers_;
};

}  // namespace ryefold::ryefoldd
