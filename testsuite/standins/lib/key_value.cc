#include "testsuite/standins/lib/key_value.h"

#include <event2/event.h>
#include <openssl/evp.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>

#include "ryefold/wire/document.h"
#include "testsuite/standins/lib/timer.h"

namespace ryefold::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wire::Document;
using wire::Findings;
using wire::Reader;

constexpr milliseconds kTick{20};
constexpr int64_t kMaxNumber = INT64_MAX;

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

std::string Encode(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes(text.size(), '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  const auto padding = std::count(text.begin(), text.end(), '=');
  bytes.resize(static_cast<size_t>(std::max<int64_t>(size - padding, 0)));
  return bytes;
}

}  // namespace

KeyValueStandin::KeyValueStandin(event_base* base)
    : base_(base),
      http_(base, wire::HttpLimits(),
            [this](const wire::HttpExchange& e) { OnRequest(e); }) {
  const timeval pace{0, std::chrono::microseconds(kTick).count()};
  timer_ = event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, int16_t, void* self) {
        static_cast<KeyValueStandin*>(self)->Tick();
      },
      this);
  event_add(timer_, &pace);
}

KeyValueStandin::~KeyValueStandin() { event_free(timer_); }

std::string KeyValueStandin::Listen(const std::string& address) {
  return http_.Listen(address);
}

std::string KeyValueStandin::Value(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

void KeyValueStandin::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0, ++revision_);
  Notify();
}

void KeyValueStandin::Delete(const std::string& key) {
  Remove(key, ++revision_);
  Notify();
}

void KeyValueStandin::Write(const std::string& key, const std::string& value,
                            uint64_t lease, uint64_t revision) {
  Item& item = items_[key];
  if (item.created == 0) item.created = revision;
  item.value = value;
  item.revision = revision;
  item.lease = lease;
  history_.push_back({revision, key, false});
}

void KeyValueStandin::Remove(const std::string& key, uint64_t revision) {
  if (items_.erase(key) > 0) history_.push_back({revision, key, true});
}

void KeyValueStandin::RevokeLeases() {
  for (auto& [id, lease] : leases_) lease.until = steady_clock::time_point();
  Tick();
}

void KeyValueStandin::Tick() {
  const auto now = steady_clock::now();
  bool changed = false;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.until > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) keys.push_back(key);
    }
    for (const std::string& key : keys) Remove(key, ++revision_);
    changed = changed || !keys.empty();
    it = leases_.erase(it);
  }
  if (changed) Notify();
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (it->until > now) {
      ++it;
      continue;
    }
    Reply(it->exchange, 200,
          "{\"events\":[],\"as_of\":" + std::to_string(revision_) + "}");
    it = watches_.erase(it);
  }
}

void KeyValueStandin::Notify() {
  if (faults_.forgetful) return;
  watches_.remove_if([this](const Watch& each) { return AnswerWatch(each); });
}

std::string KeyValueStandin::ItemJson(const std::string& key,
                                      const Item& item) const {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Encode(item.value) +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"created\":" + std::to_string(item.created) +
         ",\"lease\":" + std::to_string(item.lease) + "}";
}

/// False when nothing has changed below the prefix.
bool KeyValueStandin::AnswerWatch(const Watch& watch) {
  std::string events;
  for (const Change& change : history_) {
    if (change.revision <= watch.after) continue;
    if (!HasPrefix(change.key, watch.prefix)) continue;
    if (!events.empty()) events += ",";
    const auto item = items_.find(change.key);
    if (change.deleted || item == items_.end()) {
      events += "{\"key\":\"" + change.key +
                "\",\"revision\":" + std::to_string(change.revision) +
                ",\"deleted\":true}";
    } else {
      events += ItemJson(change.key, item->second);
    }
  }
  if (events.empty()) return false;
  Reply(watch.exchange, 200,
        "{\"events\":[" + events + "],\"as_of\":" + std::to_string(revision_) +
            "}");
  return true;
}

void KeyValueStandin::Reply(const wire::HttpExchange& exchange, int status,
                            const std::string& body) {
  wire::HttpReply reply;
  reply.status = status;
  reply.body = body;
  exchange.Reply(reply);
}

void KeyValueStandin::OnRequest(const wire::HttpExchange& exchange) {
  ++calls_;
  if (faults_.down) {
    Reply(exchange, 503, "{}");
    return;
  }
  const std::string& path = exchange.path();
  if (path == "/kv-range") {
    OnRange(exchange);
  } else if (path == "/kv-watch") {
    OnWatch(exchange);
  } else if (path == "/kv-txn") {
    OnTransaction(exchange);
  } else {
    OnLease(exchange);
  }
}

void KeyValueStandin::OnRange(const wire::HttpExchange& exchange) {
  std::string items;
  for (const auto& [key, item] : items_) {
    if (!HasPrefix(key, exchange.query("prefix"))) continue;
    if (!items.empty()) items += ",";
    items += ItemJson(key, item);
  }
  const std::string body =
      "{\"items\":[" + items +
      "],\"has_more\":false,\"as_of\":" + std::to_string(revision_) + "}";
  if (faults_.slow_listing == milliseconds(0)) {
    Reply(exchange, 200, body);
    return;
  }
  After(base_, faults_.slow_listing,
        [this, exchange, body] { Reply(exchange, 200, body); });
}

void KeyValueStandin::OnWatch(const wire::HttpExchange& exchange) {
  if (faults_.forgetful) {
    Reply(exchange, 410, "{}");
    return;
  }
  const milliseconds wait(std::atoll(exchange.query("wait_ms").c_str()));
  const Watch watch{exchange, exchange.query("prefix"),
                    std::strtoull(exchange.query("after").c_str(), nullptr, 10),
                    steady_clock::now() + wait};
  if (!AnswerWatch(watch)) watches_.push_back(watch);
}

void KeyValueStandin::OnTransaction(const wire::HttpExchange& exchange) {
  Findings findings;
  Document document("call", exchange.body(), /*comments=*/false);
  Reader reader(&document, &findings);
  bool holds = true;
  bool leased = true;
  reader.Objects("expect_rev", [this, &holds](Reader* each) {
    const auto item = items_.find(each->RequiredString("key"));
    const uint64_t revision = item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == static_cast<uint64_t>(each->RequiredInt(
                                     "revision", 0, kMaxNumber));
  });
  reader.Objects("puts", [this, &leased](Reader* each) {
    const auto lease =
        static_cast<uint64_t>(each->Int("lease", 0, 0, kMaxNumber));
    leased = leased && (lease == 0 || leases_.count(lease) > 0);
  });
  if (!holds) {
    Reply(exchange, 412, "{\"items\":[]}");
    return;
  }
  if (!leased) {
    Reply(exchange, 404, "{}");
    return;
  }
  const uint64_t revision = ++revision_;
  reader.Objects("puts", [this, revision](Reader* each) {
    Write(each->RequiredString("key"), Decode(each->String("value")),
          static_cast<uint64_t>(each->Int("lease", 0, 0, kMaxNumber)),
          revision);
  });
  Notify();
  if (faults_.mute) return;
  Reply(exchange, 200, "{\"revision\":" + std::to_string(revision) + "}");
}

void KeyValueStandin::OnLease(const wire::HttpExchange& exchange) {
  const std::string& path = exchange.path();
  const std::string end = "/kv-lease-end/";
  const std::string keep = "/kv-keep/";
  if (path == "/kv-lease") {
    Findings findings;
    Document document("call", exchange.body(), /*comments=*/false);
    Reader reader(&document, &findings);
    const milliseconds ttl(reader.RequiredInt("ttl_ms", 1, kMaxNumber));
    leases_[++last_lease_] = {ttl, steady_clock::now() + ttl};
    Reply(exchange, 200,
          "{\"lease\":" + std::to_string(last_lease_) +
              ",\"ttl_ms\":" + std::to_string(ttl.count()) + "}");
    return;
  }
  const bool ends = HasPrefix(path, end);
  const size_t skip = ends ? end.size() : keep.size();
  const uint64_t id = std::strtoull(path.c_str() + skip, nullptr, 10);
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    Reply(exchange, 404, "{}");
    return;
  }
  const auto now = steady_clock::now();
  lease->second.until =
      ends ? steady_clock::time_point() : now + lease->second.ttl;
  Reply(exchange, 200,
        "{\"ttl_ms\":" + std::to_string(lease->second.ttl.count()) + "}");
  if (ends) Tick();
}

}  // namespace ryefold::standins
