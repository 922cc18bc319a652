#pragma once

// The replica's side of log shipping: pulls from the database it follows.

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "testsuite/standins/database/faults.h"
#include "testsuite/standins/lib/database.h"
#include "testsuite/standins/lib/http.h"
#include "testsuite/standins/lib/log_codec.h"

namespace ryefold::standins {

class Puller {
 public:
  /// `peers` maps names of databases to "ip:port"; `changed` is called after
  /// entries were taken.
  Puller(event_base* base, std::map<std::string, std::string> peers,
         Database* database, const Faults* faults,
         std::function<void()> changed);

  /// Starts afresh: the role, what is followed, or a fault has changed.
  void Restart();

 private:
  void Pull(uint64_t run);
  void OnAnswer(uint64_t run, uint64_t term, const std::string& body);
  void Take(uint64_t run, uint64_t term, ShippedLog shipped);
  void PullLater(uint64_t run);

  event_base* base_;
  std::map<std::string, std::string> peers_;
  Database* database_;
  const Faults* faults_;
  std::function<void()> changed_;
  /// Raised by every restart; an answer of an earlier run is ignored.
  uint64_t run_ = 0;
  std::unique_ptr<HttpClient> client_;
  /// Where to pull from when the followed log does not hold our last entry.
  std::optional<core::LogPosition> resume_after_;
};

}  // namespace ryefold::standins
