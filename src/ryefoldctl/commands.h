#pragma once

// What operators can do.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "ryefoldctl/client.h"

namespace ryefold::ryefoldctl {

constexpr int kExitOk = 0;
/// Findings in a document, or a conflict with somebody else's change.
constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitTimeout = 4;

/// Everything that the command line states.
struct Invocation {
  std::string command;
  std::vector<std::string> arguments;
  std::vector<std::string> servers;
  std::string admin_key;
  std::string author;
  /// File made by `show --json`: versions that the operator has seen.
  std::string base;
  bool json = false;
  uint64_t revision = 0;
  std::chrono::steady_clock::time_point deadline;
};

int Validate(const Invocation& invocation, Client* client);
int Diff(const Invocation& invocation, Client* client);
int Publish(const Invocation& invocation, Client* client);
int Delete(const Invocation& invocation, Client* client);
int Show(const Invocation& invocation, Client* client);
int History(const Invocation& invocation, Client* client);
int Wait(const Invocation& invocation, Client* client);
int Status(const Invocation& invocation, Client* client);
int Drain(const Invocation& invocation, Client* client);
/// What gateways on the users' platform know, by their ready or metrics
/// addresses.
int Gateways(const Invocation& invocation, Client* client);
/// What gateways together know of each workspace: usage against its limit.
int Workspaces(const Invocation& invocation, Client* client);
/// Reads collected logs; needs no server.
int Explain(const Invocation& invocation, Client* client);
/// Counts refused and late requests in collected logs; needs no server.
int Losses(const Invocation& invocation, Client* client);

}  // namespace ryefold::ryefoldctl
