#pragma once

// The platform's key-value service without its sockets: compare-and-swap,
// leases. Times are passed in.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::standins {

struct StoredValue {
  /// 0 when the key is absent.
  uint64_t version = 0;
  std::string value;
};

enum class PutStatus : uint8_t {
  kOk,
  kConflict,  ///< The key's version is not the expected one.
  kTooLarge,
  kNoLease,  ///< The lease named has lapsed or never was.
};

struct PutAnswer {
  PutStatus status = PutStatus::kOk;
  /// Version of the key after the call.
  uint64_t version = 0;
};

class Store {
 public:
  static constexpr size_t kMaxValue = 1 << 20;

  StoredValue Get(core::TimePoint now, const std::string& key);
  /// `expect` 0 asks for an absent key. With a `lease`, the key goes when the
  /// lease lapses; a later put without one makes it stay.
  PutAnswer Put(core::TimePoint now, const std::string& key, std::string value,
                uint64_t expect, const std::string& lease);
  /// Keys that begin with `prefix` and sort after `after`, in order.
  std::vector<std::pair<std::string, uint64_t>> List(core::TimePoint now,
                                                     const std::string& prefix,
                                                     const std::string& after,
                                                     size_t limit);

  std::string Grant(core::TimePoint now, std::chrono::milliseconds ttl);
  /// False when the lease has lapsed or never was.
  bool Renew(core::TimePoint now, const std::string& lease);

 private:
  struct Slot {
    /// Highest version so far; kept when the key goes, so that a version
    /// never names two values.
    uint64_t version = 0;
    bool present = false;
    std::string value;
    std::string lease;
  };
  struct Lease {
    std::chrono::milliseconds ttl{0};
    core::TimePoint deadline;
  };

  void Expire(core::TimePoint now);

  std::map<std::string, Slot> slots_;
  std::map<std::string, Lease> leases_;
  uint64_t last_lease_ = 0;
};

}  // namespace ryefold::standins
