#pragma once

// A small key-value store with revisions, leases and watches over HTTP, as the
// platform's adapter expects it, with faults to order.

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "ryefold/wire/http.h"

struct event_base;
struct event;

namespace ryefold::standins {

/// What the store does to calls.
struct KeyValueFaults {
  /// Answers 503 and does nothing.
  bool down = false;
  /// Does what it is asked and does not answer.
  bool mute = false;
  /// A listing takes this long to arrive, as a large one on a slow link.
  std::chrono::milliseconds slow_listing{0};
  /// Watches learn nothing; their history is gone.
  bool forgetful = false;
};

class KeyValueStandin {
 public:
  explicit KeyValueStandin(event_base* base);
  ~KeyValueStandin();
  KeyValueStandin(const KeyValueStandin&) = delete;
  KeyValueStandin& operator=(const KeyValueStandin&) = delete;

  /// An error text, empty on success.
  std::string Listen(const std::string& address);
  uint16_t port() const { return http_.port(); }

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  bool Has(const std::string& key) const { return items_.count(key) > 0; }
  std::string Value(const std::string& key) const;
  KeyValueFaults& faults() { return faults_; }
  /// Ends every lease and removes its keys.
  void RevokeLeases();
  uint64_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    std::chrono::milliseconds ttl{0};
    std::chrono::steady_clock::time_point until;
  };
  struct Change {
    uint64_t revision = 0;
    std::string key;
    bool deleted = false;
  };
  struct Watch {
    wire::HttpExchange exchange;
    std::string prefix;
    uint64_t after = 0;
    std::chrono::steady_clock::time_point until;
  };

  void OnRequest(const wire::HttpExchange& exchange);
  void OnRange(const wire::HttpExchange& exchange);
  void OnWatch(const wire::HttpExchange& exchange);
  void OnTransaction(const wire::HttpExchange& exchange);
  void OnLease(const wire::HttpExchange& exchange);
  void Reply(const wire::HttpExchange& exchange, int status,
             const std::string& body);
  void Write(const std::string& key, const std::string& value, uint64_t lease,
             uint64_t revision);
  void Remove(const std::string& key, uint64_t revision);
  void Notify();
  void Tick();
  bool AnswerWatch(const Watch& watch);
  std::string ItemJson(const std::string& key, const Item& item) const;

  event_base* base_;
  wire::HttpServer http_;
  event* timer_;
  KeyValueFaults faults_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<uint64_t, Lease> leases_;
  std::list<Watch> watches_;
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 100;
  uint64_t calls_ = 0;
};

}  // namespace ryefold::standins
