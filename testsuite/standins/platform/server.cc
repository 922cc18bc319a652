#include "testsuite/standins/platform/server.h"

#include <set>
#include <utility>

#include "testsuite/standins/lib/timer.h"

namespace ryefold::standins {
namespace {

using std::chrono::milliseconds;

// Room for a value of the greatest size in which every byte is escaped.
constexpr size_t kMaxBody = 8 << 20;
constexpr uint64_t kListLimit = 1000;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

std::string VersionBody(uint64_t version) {
  return "{\"version\":" + std::to_string(version) + "}";
}

std::string ValueBody(const StoredValue& stored) {
  std::string out = "{\"version\":";
  AppendUint(&out, stored.version);
  out.append(",\"value\":");
  AppendString(&out, stored.value);
  out.push_back('}');
  return out;
}

int StatusOf(PutStatus status) {
  switch (status) {
    case PutStatus::kOk:
      return 200;
    case PutStatus::kTooLarge:
      return kTooLarge;
    case PutStatus::kNoLease:
      return kGone;
    case PutStatus::kConflict:
      break;
  }
  return kConflict;
}

}  // namespace

PlatformServer::PlatformServer(event_base* base, milliseconds list_lag)
    : base_(base),
      http_(
          base, kMaxBody, [this](const Exchange& e) { OnRequest(e); },
          [](ConnectionId) {}) {
  instances_.SetLag(list_lag);
  kinds_ = {{"/v1/get", {"get", &PlatformServer::OnGet}},
            {"/v1/put", {"put", &PlatformServer::OnPut}},
            {"/v1/watch", {"watch", &PlatformServer::OnWatch}},
            {"/v1/list", {"list", &PlatformServer::OnList}},
            {"/v1/lease", {"lease", &PlatformServer::OnLease}},
            {"/v1/lease/renew", {"renew", &PlatformServer::OnRenew}},
            {"/v1/instances", {"instances", nullptr}}};
}

std::string PlatformServer::Listen(const std::string& address) {
  return http_.Listen(address);
}

void PlatformServer::OnRequest(const Exchange& exchange) {
  const std::string& path = exchange.path();
  if (path == "/fault") return OnFault(exchange);
  if (path == "/debug/calls") return exchange.Reply(200, DebugCalls());
  if (path == "/admin/instance") {
    const bool changed = instances_.Change(Now(), exchange.body());
    return exchange.Reply(changed ? 200 : 400, "{}");
  }
  OnCall(exchange);
}

void PlatformServer::OnCall(const Exchange& exchange) {
  const auto found = kinds_.find(exchange.path());
  if (found == kinds_.end()) {
    return exchange.Reply(404, R"({"error":"no such call"})");
  }
  const Kind& kind = found->second;
  ++calls_[kind.name];
  if (faults_.refuse) return exchange.Drop();
  if (faults_.down) {
    held_.push_back(exchange);
    return;
  }
  if (kind.handler == nullptr) {
    return Answer(exchange, 200, instances_.Show(Now()));
  }
  const auto call = ParseObject(exchange.body());
  if (!call || !exchange.post()) {
    return Answer(exchange, 400, R"({"error":"malformed call"})");
  }
  (this->*kind.handler)(exchange, *call);
}

void PlatformServer::Answer(const Exchange& exchange, int status,
                            const std::string& body) {
  if (faults_.slow.count() == 0) return Send(exchange, status, body);
  After(base_, faults_.slow,
        [this, exchange, status, body] { Send(exchange, status, body); });
}

void PlatformServer::Send(const Exchange& exchange, int status,
                          const std::string& body) {
  if (faults_.refuse) return exchange.Drop();
  if (faults_.down) {
    held_.push_back(exchange);
    return;
  }
  exchange.Reply(status, body);
}

void PlatformServer::OnGet(const Exchange& exchange, const Json::Value& call) {
  Answer(exchange, 200, ValueBody(store_.Get(Now(), StringOf(call, "key"))));
}

void PlatformServer::OnPut(const Exchange& exchange, const Json::Value& call) {
  const std::string key = StringOf(call, "key");
  const PutAnswer answer =
      store_.Put(Now(), key, StringOf(call, "value"), UintOf(call, "expect"),
                 StringOf(call, "lease"));
  if (answer.status == PutStatus::kOk) {
    WakeWatchers(key);
    if (faults_.lose_put_answers > 0) {
      --faults_.lose_put_answers;
      return exchange.Drop();
    }
  }
  Answer(exchange, StatusOf(answer.status), VersionBody(answer.version));
}

void PlatformServer::OnWatch(const Exchange& exchange,
                             const Json::Value& call) {
  const Watcher watcher{exchange, StringOf(call, "key"), UintOf(call, "after")};
  const milliseconds wait(UintOf(call, "wait_ms"));
  if (TryAnswer(watcher, wait.count() == 0)) return;
  const uint64_t id = ++last_watcher_;
  watchers_.emplace(id, watcher);
  After(base_, wait, [this, id] { ExpireWatch(id); });
}

bool PlatformServer::TryAnswer(const Watcher& watcher, bool over) {
  if (!watcher.exchange.open()) return true;
  const StoredValue stored = store_.Get(Now(), watcher.key);
  if (stored.version <= watcher.after && !over) return false;
  Answer(watcher.exchange, 200, ValueBody(stored));
  return true;
}

void PlatformServer::WakeWatchers(const std::string& key) {
  std::erase_if(watchers_, [&](const auto& waiting) {
    return waiting.second.key == key && TryAnswer(waiting.second, false);
  });
}

void PlatformServer::ExpireWatch(uint64_t id) {
  const auto found = watchers_.find(id);
  if (found == watchers_.end()) return;
  TryAnswer(found->second, true);
  watchers_.erase(found);
}

void PlatformServer::OnList(const Exchange& exchange, const Json::Value& call) {
  const auto keys =
      store_.List(Now(), StringOf(call, "prefix"), StringOf(call, "after"),
                  UintOf(call, "limit", kListLimit));
  std::string out = "{\"keys\":[";
  for (size_t i = 0; i < keys.size(); ++i) {
    out.append(i == 0 ? "{\"key\":" : ",{\"key\":");
    AppendString(&out, keys[i].first);
    out.append(",\"version\":");
    AppendUint(&out, keys[i].second);
    out.push_back('}');
  }
  Answer(exchange, 200, out.append("]}"));
}

void PlatformServer::OnLease(const Exchange& exchange,
                             const Json::Value& call) {
  const milliseconds ttl(UintOf(call, "ttl_ms"));
  Answer(exchange, 200, "{\"lease\":\"" + store_.Grant(Now(), ttl) + "\"}");
}

void PlatformServer::OnRenew(const Exchange& exchange,
                             const Json::Value& call) {
  const bool renewed = store_.Renew(Now(), StringOf(call, "lease"));
  Answer(exchange, renewed ? 200 : kGone,
         renewed ? "{}" : R"({"error":"the lease has lapsed"})");
}

void PlatformServer::OnFault(const Exchange& exchange) {
  const auto object = ParseObject(exchange.body());
  if (!object) return exchange.Reply(400, R"({"error":"malformed fault"})");
  for (const std::string& name : object->getMemberNames()) {
    if (ChangeFault(name, (*object)[name])) continue;
    return exchange.Reply(400, R"({"error":"no such fault"})");
  }
  // Calls that were held are lost, as after a restart.
  if (!faults_.down) {
    for (const Exchange& held : std::exchange(held_, {})) held.Drop();
  }
  exchange.Reply(200, "{}");
}

bool PlatformServer::ChangeFault(const std::string& name,
                                 const Json::Value& value) {
  if (name == "drop_instances" && value.isArray()) {
    std::set<std::string> names;
    for (const Json::Value& item : value) names.insert(item.asString());
    instances_.Omit(std::move(names));
  } else if (name == "down" && value.isBool()) {
    faults_.down = value.asBool();
  } else if (name == "refuse" && value.isBool()) {
    faults_.refuse = value.asBool();
  } else if (name == "slow_ms" && value.isUInt64()) {
    faults_.slow = milliseconds(value.asUInt64());
  } else if (name == "list_lag_ms" && value.isUInt64()) {
    instances_.SetLag(milliseconds(value.asUInt64()));
  } else if (name == "lose_put_answers" && value.isUInt64()) {
    faults_.lose_put_answers = value.asUInt64();
  } else {
    return false;
  }
  return true;
}

std::string PlatformServer::DebugCalls() const {
  std::string out = "{";
  uint64_t total = 0;
  for (const auto& [path, kind] : kinds_) {
    const auto found = calls_.find(kind.name);
    const uint64_t count = found == calls_.end() ? 0 : found->second;
    total += count;
    AppendString(&out, kind.name);
    out.push_back(':');
    AppendUint(&out, count);
    out.push_back(',');
  }
  return out.append("\"total\":").append(std::to_string(total)).append("}");
}

}  // namespace ryefold::standins
