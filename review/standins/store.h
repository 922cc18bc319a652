// Stand-in of the platform's store and of the call that promotes, over
// HTTP/1.1, as PROTOCOL.md describes them.
#pragma once

#include <json/json.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "loop.h"

namespace review {

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};
using HttpAnswer = std::function<void(int code, const std::string& body)>;
using HttpHandler = std::function<void(const HttpRequest&, const HttpAnswer&)>;

/// Sent with each answer of the store.
inline std::string& EraHeader() {
  static std::string header;
  return header;
}

inline std::string UriDecode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

/// Serves HTTP/1.1 with kept connections.
inline uint16_t ServeHttp(Loop* loop, HttpHandler handler) {
  const auto on_accept = [handler](const ConnRef& conn) {
    std::weak_ptr<Conn> weak = conn;
    conn->on_data = [weak, handler](std::string* input) {
      while (true) {
        const size_t head_end = input->find("\r\n\r\n");
        if (head_end == std::string::npos) return;
        std::istringstream head(input->substr(0, head_end));
        HttpRequest request;
        std::string target;
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        first >> request.method >> target;
        size_t length = 0;
        while (std::getline(head, line)) {
          if (!line.empty() && line.back() == '\r') line.pop_back();
          const size_t colon = line.find(':');
          if (colon == std::string::npos) continue;
          std::string name = line.substr(0, colon);
          for (char& c : name) c = static_cast<char>(std::tolower(c));
          const size_t value = line.find_first_not_of(' ', colon + 1);
          request.headers[name] =
              value == std::string::npos ? "" : line.substr(value);
        }
        const auto found = request.headers.find("content-length");
        if (found != request.headers.end()) length = std::stoul(found->second);
        if (input->size() < head_end + 4 + length) return;
        request.body = input->substr(head_end + 4, length);
        input->erase(0, head_end + 4 + length);
        const size_t mark = target.find('?');
        request.path = UriDecode(target.substr(0, mark));
        if (mark != std::string::npos) {
          std::istringstream pairs(target.substr(mark + 1));
          std::string pair;
          while (std::getline(pairs, pair, '&')) {
            const size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] =
                equals == std::string::npos ? ""
                                            : UriDecode(pair.substr(equals + 1));
          }
        }
        handler(request, [weak](int code, const std::string& body) {
          const ConnRef to = weak.lock();
          if (to == nullptr) return;
          to->Send("HTTP/1.1 " + std::to_string(code) +
                   " X\r\n" + EraHeader() +
                   "Content-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
        });
      }
    };
  };
  return loop->Listen(0, on_accept);
}

inline std::string ToBase64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

inline std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

/// The key-value store. Values are kept in base64, as they are spoken.
class Store {
 public:
  explicit Store(Loop* loop) : loop_(loop) {
    port_ = ServeHttp(loop, [this](const HttpRequest& request,
                                   const HttpAnswer& answer) {
      // The store takes 4 ms for an answer.
      loop_->After(4, [this, request, answer] { Handle(request, answer); });
    });
    Expire();
  }

  uint16_t port() const { return port_; }
  uint64_t revision() const { return revision_; }

  /// Keeps a copy of what the store holds now.
  void Copy() {
    copy_ = {items_, leases_, revision_};
    copied_at_ = NowMs();
  }
  /// The store goes away for this long and comes back from the copy.
  void Restore(double away_ms) {
    away_ = true;
    for (const auto& watcher : watchers_) {
      watcher->done = true;
      watcher->answer(503, "{}");
    }
    watchers_.clear();
    loop_->After(away_ms, [this] {
      const double passed = NowMs() - copied_at_;
      items_ = copy_.items;
      leases_ = copy_.leases;
      for (auto& [id, lease] : leases_) lease.ends_at += passed;
      revision_ = copy_.revision;
      std::erase_if(history_, [this](const auto& each) {
        return each.first > revision_;
      });
      EraHeader() = "Store-Era: " + std::to_string(++era_) + "\r\n";
      away_ = false;
    });
  }
  bool away() const { return away_; }

  uint64_t Put(const std::string& key, const std::string& value) {
    if (away_) return revision_;
    PutItem(key, ToBase64(value), 0);
    Notify();
    return revision_;
  }
  void Delete(const std::string& key) {
    DeleteItem(key);
    Notify();
  }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl_ms = 0;
    double ends_at = 0;
  };
  struct Watcher {
    std::string prefix;
    uint64_t after = 0;
    HttpAnswer answer;
    bool done = false;
  };

  static bool StartsWith(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
  }

  Json::Value ToJson(const std::string& key, const Item& item) const {
    Json::Value json;
    json["key"] = key;
    json["value"] = item.value;
    json["revision"] = Json::UInt64(item.revision);
    json["created"] = Json::UInt64(item.created);
    json["lease"] = Json::UInt64(item.lease);
    return json;
  }

  void PutItem(const std::string& key, const std::string& value,
               uint64_t lease) {
    Item& item = items_[key];
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.value = value;
    item.lease = lease;
    history_.push_back({revision_, ToJson(key, item)});
  }
  void DeleteItem(const std::string& key) {
    if (items_.erase(key) == 0) return;
    Json::Value event;
    event["key"] = key;
    event["revision"] = Json::UInt64(++revision_);
    event["deleted"] = true;
    history_.push_back({revision_, event});
  }

  Json::Value EventsSince(const std::string& prefix, uint64_t after) const {
    Json::Value events(Json::arrayValue);
    for (const auto& [revision, event] : history_) {
      if (revision > after && StartsWith(event["key"].asString(), prefix)) {
        events.append(event);
      }
    }
    return events;
  }

  void Notify() {
    for (const auto& watcher : watchers_) {
      const Json::Value events = EventsSince(watcher->prefix, watcher->after);
      if (!events.empty()) AnswerWatch(watcher.get(), events);
    }
    std::erase_if(watchers_, [](const auto& each) { return each->done; });
  }
  void AnswerWatch(Watcher* watcher, const Json::Value& events) {
    Json::Value json;
    json["events"] = events;
    json["as_of"] = Json::UInt64(revision_);
    watcher->done = true;
    watcher->answer(200, ToText(json));
  }

  void EndLease(uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) ended.push_back(key);
    }
    for (const std::string& key : ended) DeleteItem(key);
    Notify();
  }
  void Expire() {
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (NowMs() >= lease.ends_at) ended.push_back(id);
    }
    for (const uint64_t id : ended) EndLease(id);
    loop_->After(20, [this] { Expire(); });
  }

  void Handle(const HttpRequest& request, const HttpAnswer& answer) {
    if (away_) return answer(503, "{}");
    const auto field = [&request](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? std::string() : found->second;
    };
    if (request.path == "/kv-range") {
      Json::Value json;
      json["items"] = Json::Value(Json::arrayValue);
      for (const auto& [key, item] : items_) {
        if (StartsWith(key, field("prefix")) && key > field("after")) {
          json["items"].append(ToJson(key, item));
        }
      }
      json["has_more"] = false;
      json["as_of"] = Json::UInt64(revision_);
      return answer(200, ToText(json));
    }
    if (request.path == "/kv-key") {
      const auto found = items_.find(field("key"));
      if (found == items_.end()) return answer(404, "{}");
      Json::Value json = ToJson(found->first, found->second);
      json["as_of"] = Json::UInt64(revision_);
      return answer(200, ToText(json));
    }
    if (request.path == "/kv-watch") {
      auto watcher = std::make_shared<Watcher>();
      watcher->prefix = field("prefix");
      watcher->after = std::stoull(field("after"));
      if (watcher->after > revision_) return answer(410, "{}");
      watcher->answer = answer;
      const Json::Value events = EventsSince(watcher->prefix, watcher->after);
      if (!events.empty()) return AnswerWatch(watcher.get(), events);
      watchers_.push_back(watcher);
      loop_->After(std::stod(field("wait_ms")), [this, watcher] {
        if (watcher->done) return;
        AnswerWatch(watcher.get(), Json::Value(Json::arrayValue));
        std::erase_if(watchers_, [](const auto& each) { return each->done; });
      });
      return;
    }
    if (request.path == "/kv-lease") {
      const Json::Value body = Parse(request.body);
      const uint64_t id = ++last_lease_;
      leases_[id] = {body["ttl_ms"].asDouble(),
                     NowMs() + body["ttl_ms"].asDouble()};
      Json::Value json;
      json["lease"] = Json::UInt64(id);
      json["ttl_ms"] = body["ttl_ms"].asInt64();
      return answer(200, ToText(json));
    }
    if (StartsWith(request.path, "/kv-keep/")) {
      const auto found = leases_.find(std::stoull(request.path.substr(9)));
      if (found == leases_.end()) return answer(404, "{}");
      found->second.ends_at = NowMs() + found->second.ttl_ms;
      Json::Value json;
      json["ttl_ms"] = static_cast<Json::Int64>(found->second.ttl_ms);
      return answer(200, ToText(json));
    }
    if (StartsWith(request.path, "/kv-lease-end/")) {
      EndLease(std::stoull(request.path.substr(14)));
      return answer(200, "{}");
    }
    if (request.path == "/kv-txn") return Commit(Parse(request.body), answer);
    answer(404, "{}");
  }

  void Commit(const Json::Value& body, const HttpAnswer& answer) {
    Json::Value found(Json::arrayValue);
    bool holds = true;
    for (const Json::Value& condition : body["expect_rev"]) {
      const auto item = items_.find(condition["key"].asString());
      const uint64_t revision = item == items_.end() ? 0 : item->second.revision;
      if (revision != condition["revision"].asUInt64()) holds = false;
      if (item != items_.end()) found.append(ToJson(item->first, item->second));
    }
    if (!holds) {
      Json::Value json;
      json["items"] = found;
      return answer(412, ToText(json));
    }
    for (const Json::Value& put : body["puts"]) {
      const uint64_t lease = put["lease"].asUInt64();
      if (lease != 0 && leases_.count(lease) == 0) return answer(404, "{}");
      const std::string key = put["key"].asString();
      if (StartsWith(key, "op/") || StartsWith(key, "servers/")) {
        return answer(403, "{}");
      }
    }
    for (const Json::Value& put : body["puts"]) {
      PutItem(put["key"].asString(), put["value"].asString(),
              put["lease"].asUInt64());
    }
    for (const Json::Value& key : body["deletes"]) DeleteItem(key.asString());
    Notify();
    Json::Value json;
    json["revision"] = Json::UInt64(revision_);
    answer(200, ToText(json));
  }

  static Json::Value Parse(const std::string& text) {
    Json::Value value;
    std::istringstream(text) >> value;
    return value;
  }

  struct State {
    std::map<std::string, Item> items;
    std::map<uint64_t, Lease> leases;
    uint64_t revision = 0;
  };
  State copy_;
  double copied_at_ = 0;
  bool away_ = false;
  int era_ = 1;
  Loop* loop_;
  uint16_t port_ = 0;
  uint64_t revision_ = 100;
  uint64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::deque<std::pair<uint64_t, Json::Value>> history_;
  std::vector<std::shared_ptr<Watcher>> watchers_;
};

}  // namespace review
