#pragma once

// In-memory fake of the platform's service in virtual time, with versions,
// watches, outages, delays, and answers lost after a put took effect.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/configuration/node.h"

namespace ryefold::testing::control {

namespace cfg = core::configuration;
using core::TimePoint;
using core::membership::Member;

class Platform {
 public:
  using Answer = std::function<void(const cfg::StoreAnswer&)>;

  /// Does not answer any call.
  bool down = false;
  /// Duration of each call in addition to the network delay.
  std::chrono::milliseconds call_delay{1};
  /// Number of puts that take effect but whose answers are lost.
  int put_answers_to_lose = 0;
  uint64_t calls = 0;
  uint64_t puts = 0;
  /// Called for each call, to count by instance and kind.
  std::function<void(const cfg::StoreRequest&)> observer;

  /// Every change that took effect, by revision.
  const std::map<uint64_t, cfg::Change>& log() const { return log_; }
  const std::map<std::string, std::pair<uint64_t, cfg::StoreValue>>& keys()
      const {
    return keys_;
  }

  /// Executes the request at once. `answer` is called before the return or, for
  /// a watch, possibly later. Returns false if the platform does not answer.
  bool Call(const cfg::StoreRequest& request, Answer answer) {
    ++calls;
    if (observer) observer(request);
    if (down) return false;
    if (const auto* get = std::get_if<cfg::StoreGet>(&request)) {
      answer(Read(get->key));
    } else if (const auto* watch = std::get_if<cfg::StoreWatch>(&request)) {
      Watch(*watch, std::move(answer));
    } else if (const auto* put = std::get_if<cfg::StorePut>(&request)) {
      return Put(*put, answer);
    } else {
      ReadList(std::get<cfg::StoreInstances>(request), answer);
    }
    return true;
  }

  void SetMembers(std::vector<Member> members) {
    members_ = std::move(members);
    ++list_version_;
  }
  const std::vector<Member>& members() const { return members_; }

  /// Ends all watches as if their wait had elapsed.
  void EndWatches() {
    auto watches = std::move(watches_);
    watches_.clear();
    if (down) return;
    for (auto& [key, answer] : watches) answer(Read(key));
  }

 private:
  cfg::StoreRead Read(const std::string& key) const {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return {};
    return {found->second.first, found->second.second};
  }

  void Watch(const cfg::StoreWatch& watch, Answer answer) {
    if (Read(watch.key).version > watch.after) {
      answer(Read(watch.key));
    } else {
      watches_.emplace(watch.key, std::move(answer));
    }
  }

  bool Put(const cfg::StorePut& put, const Answer& answer) {
    ++puts;
    auto& [version, value] = keys_[put.key];
    const bool done = version == put.expect;
    if (done) {
      ++version;
      value = put.value;
      RecordChange(put);
    }
    const uint64_t present = version;
    if (done) NotifyWatches(put.key);
    if (done && put_answers_to_lose > 0) {
      --put_answers_to_lose;
      return false;
    }
    answer(cfg::StorePutDone{done, present});
    return true;
  }

  void RecordChange(const cfg::StorePut& put) {
    const auto* change = std::get_if<cfg::Change>(&put.value);
    if (change == nullptr) return;
    const uint64_t revision =
        std::stoull(put.key.substr(put.key.rfind('/') + 1));
    log_.emplace(revision, *change);
  }

  void NotifyWatches(const std::string& key) {
    const auto [begin, end] = watches_.equal_range(key);
    std::vector<Answer> waiting;
    for (auto it = begin; it != end; ++it) waiting.push_back(it->second);
    watches_.erase(begin, end);
    for (const Answer& answer : waiting) answer(Read(key));
  }

  void ReadList(const cfg::StoreInstances& request,
                const Answer& answer) const {
    cfg::StoreInstancesRead read;
    read.version = list_version_;
    read.unchanged = request.known_version == list_version_;
    if (!read.unchanged) read.members = members_;
    answer(read);
  }

  std::map<std::string, std::pair<uint64_t, cfg::StoreValue>> keys_;
  std::multimap<std::string, Answer> watches_;
  std::map<uint64_t, cfg::Change> log_;
  std::vector<Member> members_;
  uint64_t list_version_ = 1;
};

}  // namespace ryefold::testing::control
