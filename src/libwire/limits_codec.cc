#include "ryefold/wire/limits_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "msgpack_body.h"

namespace ryefold::wire {
namespace {

using core::limits::AllowanceAnswer;
using core::limits::AllowanceRequest;
using core::limits::kPartsPerLimit;
using core::limits::kPriorityLevels;
using core::limits::PriorityDemand;
using core::limits::PriorityGrant;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Operations that one question may ask for.
constexpr uint32_t kMostWanted = 100000;
/// Longest wait that an answer may tell.
constexpr milliseconds kMostWait{60000};

struct DemandMap {
  uint32_t priority = 0;
  uint32_t wanted = 0;
  int64_t longest_retry_ms = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", priority), MSGPACK_NVP("n", wanted),
                     MSGPACK_NVP("m", longest_retry_ms))
};

struct GrantMap {
  uint32_t priority = 0;
  uint32_t granted = 0;
  int64_t first_retry_ms = 0;
  int64_t retry_interval_us = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", priority), MSGPACK_NVP("g", granted),
                     MSGPACK_NVP("f", first_retry_ms),
                     MSGPACK_NVP("i", retry_interval_us))
};

struct RequestMap {
  std::string workspace;
  uint32_t part = 0;
  uint32_t wanted = 0;
  double rate = 0;
  double burst = 0;
  uint64_t config_version = 0;
  std::vector<DemandMap> demand;
  bool last_owner = false;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("p", part),
                     MSGPACK_NVP("n", wanted), MSGPACK_NVP("r", rate),
                     MSGPACK_NVP("b", burst), MSGPACK_NVP("v", config_version),
                     MSGPACK_NVP("d", demand), MSGPACK_NVP("l", last_owner))
};

struct AnswerMap {
  bool not_owner = false;
  uint32_t granted = 0;
  int64_t wait_ms = 0;
  std::vector<GrantMap> grants;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("x", not_owner), MSGPACK_NVP("g", granted),
                     MSGPACK_NVP("t", wait_ms), MSGPACK_NVP("s", grants))
};

/// Whether the shares add up to `sum`, in ascending order of known priorities.
/// An empty list splits nothing.
template <typename Share>
bool IsSplit(const std::vector<Share>& shares, uint64_t sum,
             uint32_t Share::*count) {
  if (shares.empty()) return true;
  uint64_t counted = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    if (shares[i].priority >= kPriorityLevels) return false;
    if (i > 0 && shares[i].priority <= shares[i - 1].priority) return false;
    counted += shares[i].*count;
  }
  return counted == sum;
}

template <typename Span>
Span ReadSpan(int64_t count) {
  return std::clamp(Span(count), Span(0), Span(kMostWait));
}

bool IsSane(double number) { return std::isfinite(number) && number >= 0; }

}  // namespace

std::string WriteAllowanceRequest(const AllowanceRequest& request) {
  RequestMap map;
  map.workspace = request.workspace;
  map.part = request.part;
  map.wanted = request.wanted;
  map.rate = request.limit.rate;
  map.burst = request.limit.burst;
  map.config_version = request.config_version;
  for (const PriorityDemand& each : request.demand) {
    map.demand.push_back(
        {each.priority, each.wanted, each.longest_retry.count()});
  }
  map.last_owner = request.last_owner;
  return Pack(map);
}

std::optional<AllowanceRequest> ReadAllowanceRequest(std::string_view body) {
  RequestMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  if (map.workspace.empty() || map.part >= kPartsPerLimit ||
      map.wanted > kMostWanted || !IsSane(map.rate) || !IsSane(map.burst)) {
    return std::nullopt;
  }
  if (!IsSplit(map.demand, map.wanted, &DemandMap::wanted)) {
    return std::nullopt;
  }
  AllowanceRequest request;
  request.workspace = std::move(map.workspace);
  request.part = map.part;
  request.wanted = map.wanted;
  request.limit = {map.rate, map.burst};
  request.config_version = map.config_version;
  for (const DemandMap& each : map.demand) {
    request.demand.push_back({each.priority, each.wanted,
                              ReadSpan<milliseconds>(each.longest_retry_ms)});
  }
  request.last_owner = map.last_owner;
  return request;
}

std::string WriteAllowanceAnswer(const AllowanceAnswer& answer) {
  AnswerMap map;
  map.not_owner = answer.not_owner;
  map.granted = answer.granted;
  map.wait_ms = answer.wait.count();
  for (const PriorityGrant& each : answer.grants) {
    map.grants.push_back({each.priority, each.granted, each.first_retry.count(),
                          each.retry_interval.count()});
  }
  return Pack(map);
}

std::optional<AllowanceAnswer> ReadAllowanceAnswer(std::string_view body) {
  AnswerMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  if (map.granted > kMostWanted || map.wait_ms < 0 ||
      !IsSplit(map.grants, map.granted, &GrantMap::granted)) {
    return std::nullopt;
  }
  AllowanceAnswer answer;
  answer.not_owner = map.not_owner;
  answer.granted = map.granted;
  answer.wait = std::min(milliseconds(map.wait_ms), kMostWait);
  for (const GrantMap& each : map.grants) {
    answer.grants.push_back({each.priority, each.granted,
                             ReadSpan<milliseconds>(each.first_retry_ms),
                             ReadSpan<microseconds>(each.retry_interval_us)});
  }
  return answer;
}

}  // namespace ryefold::wire
