#pragma once

// The commands of ryefoldctl, each with its options read.

#include <cstdint>
#include <string>
#include <vector>

#include "ryefoldctl/client.h"
#include "ryefoldctl/exit_code.h"

namespace ryefold::ryefoldctl {

/// Options that all commands share, and the arguments after the command.
struct Invocation {
  Access access;
  bool json = false;
  std::vector<std::string> arguments;
  std::string base_file;
  std::vector<std::string> deleted;
  std::string author;
  bool wait = false;
  uint64_t limit = 20;
};

int Validate(const Invocation& invocation);
int Diff(const Invocation& invocation);
int Publish(const Invocation& invocation);
int Show(const Invocation& invocation);
int History(const Invocation& invocation);
int Wait(const Invocation& invocation);
int Status(const Invocation& invocation);
int Drain(const Invocation& invocation);

/// Waits until `revision` is in force on all live instances.
int WaitFor(Client* client, uint64_t revision, bool json);
/// Says why there was no useful answer, and how the program ends.
int Explain(const Response& response);
/// One instance's documents; tells why when there are none.
int Fetch(Client* client, const std::string& prefix, Response* response);

}  // namespace ryefold::ryefoldctl
