// Stand-ins for a small deployment, in one process on loopback: the platform's
// store, the call that promotes, database groups on the line protocol, and
// callers; and the processes under test. Follows the users' PROTOCOL.md. Where
// that page is silent, databases and platform behave like sound ones.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace fleet {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline int64_t NowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}
inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

/// What was sent, answered and run, one line each.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> guard(mutex_);
    char when[32];
    std::snprintf(when, sizeof(when), "%9.3f ",
                  static_cast<double>(NowMs()) / 1000);
    out_ << when << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline std::vector<std::string> Split(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  std::string word;
  while (in >> word) words.push_back(word);
  return words;
}

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

/// A listening socket on a free loopback port.
inline int ListenFree(uint16_t* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/// A free port for a process under test, below those that the kernel takes for
/// outgoing connections.
inline uint16_t FreePort() {
  constexpr int kFirst = 15000, kCount = 15000;
  static int next =
      static_cast<int>(
          std::chrono::system_clock::now().time_since_epoch().count() / 1000 +
          getpid() * 97L) %
      kCount;
  for (int tries = 0; tries < kCount; ++tries) {
    next = (std::abs(next) + 1) % kCount;
    uint16_t port = static_cast<uint16_t>(kFirst + next);
    const int fd = ListenFree(&port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
  return 0;
}

/// One thread that serves all stand-ins; everything in it runs under `mutex`.
class Loop {
 public:
  struct Peer {
    int fd = -1;
    /// Name of the process under test at the other end, as far as its own port
    /// tells it; empty if all use one port.
    std::string from;
    std::string in, out;
    bool closing = false;
    std::function<void(const std::shared_ptr<Peer>&)> on_data;
    std::function<void()> on_closed;
  };
  using PeerRef = std::shared_ptr<Peer>;

  std::recursive_mutex mutex;

  ~Loop() { Stop(); }
  void Start() {
    thread_ = std::thread([this] { Run(); });
  }
  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }

  uint16_t Serve(const std::string& from,
                 std::function<void(const PeerRef&)> on_data,
                 std::function<void(const PeerRef&)> on_open = nullptr) {
    const std::lock_guard<std::recursive_mutex> guard(mutex);
    Listener listener;
    listener.fd = ListenFree(&listener.port);
    listener.from = from;
    listener.on_data = std::move(on_data);
    listener.on_open = std::move(on_open);
    listeners_.push_back(listener);
    return listener.port;
  }
  /// Closes the port and resets its connections: a process that has crashed.
  void Crash(uint16_t port) {
    const std::lock_guard<std::recursive_mutex> guard(mutex);
    for (Listener& each : listeners_) {
      if (each.port == port && each.fd >= 0) {
        close(each.fd);
        each.fd = -1;
      }
    }
    for (const PeerRef& peer : peers_) {
      if (ports_[peer.get()] != port) continue;
      const linger reset{1, 0};
      setsockopt(peer->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      peer->closing = true;
      peer->out.clear();
    }
  }
  /// A partition: nothing is read, written or accepted for these processes.
  /// What they send stays in the network until it heals.
  void Cut(const std::string& from, bool cut) {
    const std::lock_guard<std::recursive_mutex> guard(mutex);
    if (cut) {
      cut_.insert(from);
    } else {
      cut_.erase(from);
    }
  }
  void After(int64_t ms, std::function<void()> what) {
    const std::lock_guard<std::recursive_mutex> guard(mutex);
    timers_.emplace(NowMs() + ms, std::move(what));
  }
  void Send(const PeerRef& peer, const std::string& text) {
    peer->out += text;
    Flush(peer);
  }

 private:
  struct Listener {
    int fd = -1;
    uint16_t port = 0;
    std::string from;
    std::function<void(const PeerRef&)> on_data, on_open;
  };

  bool IsCut(const std::string& from) const {
    return !from.empty() && cut_.count(from) > 0;
  }
  void Flush(const PeerRef& peer) {
    if (IsCut(peer->from) || peer->fd < 0) return;
    while (!peer->out.empty()) {
      const ssize_t sent =
          send(peer->fd, peer->out.data(), peer->out.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        if (sent < 0 && errno != EAGAIN) peer->closing = true;
        return;
      }
      peer->out.erase(0, static_cast<size_t>(sent));
    }
  }
  void Run() {
    while (!stop_) {
      std::vector<pollfd> polled;
      std::vector<PeerRef> peers;
      std::vector<size_t> listening;
      {
        const std::lock_guard<std::recursive_mutex> guard(mutex);
        for (size_t i = 0; i < listeners_.size(); ++i) {
          if (listeners_[i].fd < 0 || IsCut(listeners_[i].from)) continue;
          polled.push_back({listeners_[i].fd, POLLIN, 0});
          listening.push_back(i);
        }
        for (const PeerRef& peer : peers_) {
          if (IsCut(peer->from)) continue;
          const int16_t out = peer->out.empty() ? 0 : POLLOUT;
          polled.push_back({peer->fd, static_cast<int16_t>(POLLIN | out), 0});
          peers.push_back(peer);
        }
      }
      poll(polled.data(), polled.size(), 1);
      const std::lock_guard<std::recursive_mutex> guard(mutex);
      for (size_t i = 0; i < listening.size(); ++i) {
        if (polled[i].revents != 0) Accept(listening[i]);
      }
      for (size_t i = 0; i < peers.size(); ++i) {
        const int16_t events = polled[listening.size() + i].revents;
        if ((events & POLLOUT) != 0) Flush(peers[i]);
        if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) Read(peers[i]);
      }
      const int64_t now = NowMs();
      while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto what = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        what();
      }
      Reap();
    }
  }
  void Accept(size_t index) {
    while (true) {
      const int fd = accept4(listeners_[index].fd, nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const PeerRef peer = std::make_shared<Peer>();
      peer->fd = fd;
      peer->from = listeners_[index].from;
      peer->on_data = listeners_[index].on_data;
      ports_[peer.get()] = listeners_[index].port;
      peers_.push_back(peer);
      if (listeners_[index].on_open) listeners_[index].on_open(peer);
    }
  }
  static void Read(const PeerRef& peer) {
    char buffer[65536];
    while (!peer->closing) {
      const ssize_t got = recv(peer->fd, buffer, sizeof(buffer), 0);
      if (got < 0 && errno == EAGAIN) return;
      if (got <= 0) {
        peer->closing = true;
        peer->out.clear();
        return;
      }
      peer->in.append(buffer, static_cast<size_t>(got));
      peer->on_data(peer);
    }
  }
  void Reap() {
    for (size_t i = 0; i < peers_.size();) {
      const PeerRef peer = peers_[i];
      if (!peer->closing || !peer->out.empty()) {
        ++i;
        continue;
      }
      close(peer->fd);
      peer->fd = -1;
      ports_.erase(peer.get());
      peers_.erase(peers_.begin() + static_cast<int64_t>(i));
      if (peer->on_closed) peer->on_closed();
    }
  }

  std::thread thread_;
  std::atomic<bool> stop_{false};
  std::vector<Listener> listeners_;
  std::vector<PeerRef> peers_;
  std::map<Peer*, uint16_t> ports_;
  std::set<std::string> cut_;
  std::multimap<int64_t, std::function<void()>> timers_;
};

// ---- HTTP ----

struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> query, headers;
};

inline std::string UrlDecode(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

/// Takes a whole request from the front of `in`.
inline bool TakeRequest(std::string* in, HttpRequest* request) {
  const size_t end = in->find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::istringstream head(in->substr(0, end));
  std::string line, target;
  std::getline(head, line);
  std::istringstream first(line);
  first >> request->method >> target;
  size_t length = 0;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    request->headers[name] = value;
    if (name == "content-length")
      length = std::strtoull(value.c_str(), nullptr, 10);
  }
  if (in->size() < end + 4 + length) return false;
  request->body = in->substr(end + 4, length);
  in->erase(0, end + 4 + length);
  const size_t mark = target.find('?');
  request->path = target.substr(0, mark);
  if (mark == std::string::npos) return true;
  std::istringstream fields(target.substr(mark + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    const size_t equals = field.find('=');
    request->query[field.substr(0, equals)] =
        equals == std::string::npos ? "" : UrlDecode(field.substr(equals + 1));
  }
  return true;
}

inline std::string HttpAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The value of a member in one of the product's own small JSON bodies.
inline std::string Member(const std::string& json, const std::string& name) {
  size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return "";
  at += name.size() + 3;
  if (json[at] == '"')
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  return json.substr(at, json.find_first_of(",}]", at) - at);
}

/// The objects of an array member, without nested arrays.
inline std::vector<std::string> Objects(const std::string& json,
                                        const std::string& name) {
  std::vector<std::string> objects;
  size_t at = json.find("\"" + name + "\":[");
  if (at == std::string::npos) return objects;
  const size_t end = json.find(']', at);
  while ((at = json.find('{', at)) < end) {
    const size_t close = json.find('}', at);
    objects.push_back(json.substr(at, close - at + 1));
    at = close;
  }
  return objects;
}

inline const char* kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
inline std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kBase64[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char each : text) {
    const char* found = std::strchr(kBase64, each);
    if (each == '=' || found == nullptr) break;
    group = group << 6 | static_cast<uint32_t>(found - kBase64);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 0xff);
  }
  return bytes;
}

/// The platform's store. Values of the system itself are kept as they came, in
/// base64.
class Store {
 public:
  explicit Store(Loop* loop) : loop_(loop) { Tick(); }

  uint16_t Serve(const std::string& from) {
    return loop_->Serve(from, [this](const Loop::PeerRef& peer) {
      HttpRequest request;
      while (TakeRequest(&peer->in, &request)) {
        // 4 ms an answer.
        loop_->After(4, [this, peer, request] { Handle(peer, request); });
        request = HttpRequest();
      }
    });
  }
  /// A write of the operator or of a database. Returns when it is acknowledged.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    Write(key, ToBase64(value), 0, ++revision_);
    AnswerWatches(false);
  }
  void Delete(const std::string& key) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    Remove(key, ++revision_);
    AnswerWatches(false);
  }
  /// The value of a key, "" if there is none.
  std::string Value(const std::string& key) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    const auto found = items_.find(key);
    return found == items_.end() ? "" : FromBase64(found->second.value);
  }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0, created = 0, lease = 0;
  };
  struct Change {
    uint64_t revision = 0;
    std::string json;
    std::string key;
  };
  struct Watch {
    Loop::PeerRef peer;
    std::string prefix;
    uint64_t after = 0;
    int64_t until = 0;
  };
  struct Lease {
    int64_t ttl = 0, until = 0;
  };

  static std::string Json(const std::string& key, const Item& item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created\":" + std::to_string(item.created) +
           ",\"lease\":" + std::to_string(item.lease) + "}";
  }
  void Write(const std::string& key, const std::string& value, uint64_t lease,
             uint64_t revision) {
    Item& item = items_[key];
    item.value = value;
    item.lease = lease;
    item.revision = revision;
    if (item.created == 0) item.created = revision;
    history_.push_back({revision, Json(key, item), key});
  }
  void Remove(const std::string& key, uint64_t revision) {
    if (items_.erase(key) == 0) return;
    history_.push_back({revision,
                        "{\"key\":\"" + key + "\",\"revision\":" +
                            std::to_string(revision) + ",\"deleted\":true}",
                        key});
  }
  void EndLease(uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) keys.push_back(key);
    }
    if (keys.empty()) return;
    ++revision_;
    for (const std::string& key : keys) Remove(key, revision_);
  }
  void Handle(const Loop::PeerRef& peer, const HttpRequest& request) {
    const auto answer = [&](int status, const std::string& body) {
      loop_->Send(peer, HttpAnswer(status, body));
    };
    const auto query = [&request](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? std::string() : found->second;
    };
    if (request.path == "/kv-range" || request.path == "/kv-key") {
      const std::string prefix = query("prefix"), after = query("after");
      std::string items;
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) != 0 || key <= after) continue;
        items += (items.empty() ? "" : ",") + Json(key, item);
      }
      answer(200, "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" +
                      std::to_string(revision_) + "}");
    } else if (request.path == "/kv-watch") {
      watches_.push_back(
          {peer, query("prefix"),
           std::strtoull(query("after").c_str(), nullptr, 10),
           NowMs() + std::strtoll(query("wait_ms").c_str(), nullptr, 10)});
      AnswerWatches(false);
    } else if (request.path == "/kv-lease") {
      const int64_t ttl =
          std::strtoll(Member(request.body, "ttl_ms").c_str(), nullptr, 10);
      const uint64_t id = ++last_lease_;
      leases_[id] = {ttl, NowMs() + ttl};
      answer(200, "{\"lease\":" + std::to_string(id) +
                      ",\"ttl_ms\":" + std::to_string(ttl) + "}");
    } else if (request.path.rfind("/kv-keep/", 0) == 0) {
      const auto lease =
          leases_.find(std::strtoull(request.path.c_str() + 9, nullptr, 10));
      if (lease == leases_.end()) return answer(404, "{}");
      lease->second.until = NowMs() + lease->second.ttl;
      answer(200, "{\"ttl_ms\":" + std::to_string(lease->second.ttl) + "}");
    } else if (request.path.rfind("/kv-lease-end/", 0) == 0) {
      EndLease(std::strtoull(request.path.c_str() + 14, nullptr, 10));
      answer(200, "{}");
      AnswerWatches(false);
    } else if (request.path == "/kv-txn") {
      Transact(request.body, answer);
    } else {
      answer(404, "{}");
    }
  }
  template <class Answer>
  void Transact(const std::string& body, const Answer& answer) {
    for (const std::string& each : Objects(body, "expect_rev")) {
      const auto item = items_.find(Member(each, "key"));
      const uint64_t have = item == items_.end() ? 0 : item->second.revision;
      if (have !=
          std::strtoull(Member(each, "revision").c_str(), nullptr, 10)) {
        return answer(412, "{\"items\":[]}");
      }
    }
    const std::vector<std::string> puts = Objects(body, "puts");
    for (const std::string& each : puts) {
      const uint64_t lease =
          std::strtoull(Member(each, "lease").c_str(), nullptr, 10);
      if (lease != 0 && leases_.count(lease) == 0) return answer(404, "{}");
    }
    ++revision_;
    for (const std::string& each : puts) {
      Write(Member(each, "key"), Member(each, "value"),
            std::strtoull(Member(each, "lease").c_str(), nullptr, 10),
            revision_);
    }
    answer(200, "{\"revision\":" + std::to_string(revision_) + "}");
    AnswerWatches(false);
  }
  void AnswerWatches(bool expired_too) {
    std::vector<Watch> left;
    for (const Watch& watch : watches_) {
      std::string events;
      for (const Change& change : history_) {
        if (change.revision <= watch.after) continue;
        if (change.key.rfind(watch.prefix, 0) != 0) continue;
        events += (events.empty() ? "" : ",") + change.json;
      }
      const bool due = expired_too && NowMs() >= watch.until;
      if (watch.peer->fd < 0) continue;
      if (events.empty() && !due) {
        left.push_back(watch);
        continue;
      }
      loop_->Send(watch.peer,
                  HttpAnswer(200, "{\"events\":[" + events + "],\"as_of\":" +
                                      std::to_string(revision_) + "}"));
    }
    watches_ = left;
  }
  void Tick() {
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (NowMs() >= lease.until) ended.push_back(id);
    }
    for (const uint64_t id : ended) EndLease(id);
    AnswerWatches(true);
    loop_->After(5, [this] { Tick(); });
  }

  Loop* loop_;
  std::map<std::string, Item> items_;
  std::deque<Change> history_;
  std::vector<Watch> watches_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 1, last_lease_ = 100;
};

// ---- databases ----

struct Position {
  uint64_t term = 1, number = 0;
  bool operator<(const Position& other) const {
    return std::make_pair(term, number) <
           std::make_pair(other.term, other.number);
  }
  std::string Text() const {
    return std::to_string(term) + "." + std::to_string(number);
  }
};

/// A service: one primary and its replicas.
class Group {
 public:
  struct Entry {
    Position position;
    std::vector<std::pair<std::string, std::string>> writes;
    /// Ids of the statements that wrote.
    std::vector<std::string> ids;
  };
  /// A statement of a caller that a database has run.
  struct Run {
    std::string id, text, database, digest;
    Position log;
    int64_t at = 0;
  };

  Group(Loop* loop, Store* store, Record* record, std::string name,
        std::vector<std::string> ids, uint32_t max_connections,
        const std::set<std::string>& unlisted = {})
      : loop_(loop),
        store_(store),
        record_(record),
        name_(std::move(name)),
        max_connections_(max_connections) {
    const char* zones[] = {"hall-a", "hall-b", "hall-c"};
    for (size_t i = 0; i < ids.size(); ++i) {
      Database& database = databases_[ids[i]];
      database.id = ids[i];
      database.zone = zones[i % 3];
      database.primary = i == 0;
      database.port = loop_->Serve(
          "",
          [this, id = ids[i]](const Loop::PeerRef& peer) { Read(id, peer); },
          [this, id = ids[i]](const Loop::PeerRef& peer) {
            databases_.at(id).sessions[peer.get()] = Session();
            peer->on_closed = [this, id, raw = peer.get()] {
              databases_.at(id).sessions.erase(raw);
            };
          });
    }
    for (auto& [id, database] : databases_) {
      database.listed = unlisted.count(id) == 0;
      Report(id);
    }
    Tick();
  }
  /// A database that was not listed at the start registers itself. It has
  /// received everything meanwhile.
  void Join(const std::string& id) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    databases_.at(id).listed = true;
    Report(id);
  }

  const std::string& name() const { return name_; }
  /// Replicas apply this late from now on.
  void SetLag(int64_t ms) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    lag_ms_ = ms;
  }
  void SetWork(int64_t ms) { work_ms_ = ms; }
  /// `sync_replicas` 1: a commit is acknowledged once a replica has received
  /// it.
  void SetSync(bool sync) { sync_ = sync; }
  /// A deaf replica receives nothing.
  void SetDeaf(const std::string& id, bool deaf) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    databases_.at(id).deaf = deaf;
  }
  /// Ids of the writes in the database's log.
  std::set<std::string> LogOf(const std::string& id) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    std::set<std::string> ids;
    for (const Received& each : databases_.at(id).log) {
      ids.insert(each.entry.ids.begin(), each.entry.ids.end());
    }
    return ids;
  }
  void Drain(const std::string& id) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    databases_.at(id).draining = true;
    Report(id);
  }
  void Crash(const std::string& id) {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    Database& database = databases_.at(id);
    database.up = false;
    loop_->Crash(database.port);
    loop_->After(3600, [this, id] { store_->Delete("servers/" + id); });
  }
  std::string Primary() {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    for (const auto& [id, database] : databases_) {
      if (database.up && database.primary) return id;
    }
    return "";
  }
  /// The status of the answer to POST /promote.
  int Promote(const std::string& id) {
    const auto found = databases_.find(id);
    if (found == databases_.end() || !found->second.up) return 409;
    if (found->second.primary) return 200;
    loop_->After(promote_ms_, [this, id] { TakeLead(id); });
    return 200;
  }
  std::vector<Run> runs() {
    const std::lock_guard<std::recursive_mutex> guard(loop_->mutex);
    return runs_;
  }

 private:
  struct Session {
    bool started = false, closed = false, busy = false;
    std::deque<std::pair<std::string, std::string>> calls;
    char state = 'I';
    bool read_only = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> write_ids;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    /// Last commit that waits for a replica, and whether there is one.
    Position committed;
    bool awaits_replica = false;
  };
  struct Received {
    Entry entry;
    int64_t at = 0;
    bool applied = false;
  };
  struct Database {
    std::string id, zone;
    uint16_t port = 0;
    bool up = true, listed = true;
    bool primary = false, draining = false, deaf = false;
    uint64_t term = 1, paused = 0;
    std::vector<Received> log;
    std::map<std::string, std::string> data;
    std::map<Loop::Peer*, Session> sessions;
    Position applied, received;
  };

  void Report(const std::string& id) {
    const Database& database = databases_.at(id);
    if (!database.listed) return;
    store_->Put("servers/" + id,
                "{\"service\":\"" + name_ + "\",\"address\":\"127.0.0.1:" +
                    std::to_string(database.port) + "\",\"zone\":\"" +
                    database.zone +
                    "\",\"version\":1,\"slots\":3,\"state\":\"" +
                    (database.draining ? "draining" : "ready") +
                    "\",\"cold_left_ms\":0,\"db_role\":\"" +
                    (database.primary ? "primary" : "replica") +
                    "\",\"sequence\":" + std::to_string(++sequence_) + "}");
  }
  static void Apply(Database* database, Received* received) {
    received->applied = true;
    for (const auto& [item, value] : received->entry.writes) {
      database->data[item] = value;
    }
    database->applied = received->entry.position;
  }
  void TakeLead(const std::string& id) {
    Database& next = databases_.at(id);
    if (!next.up || next.primary) return;
    for (Received& each : next.log) {
      if (!each.applied) Apply(&next, &each);
    }
    uint64_t term = 0;
    for (const auto& [other, database] : databases_) {
      term = std::max(term, database.term);
    }
    for (auto& [other, database] : databases_) {
      database.term = term + 1;
      database.paused = 0;
      const bool led = std::exchange(database.primary, other == id);
      if (database.up && led != database.primary) Report(other);
      // What the new primary lacks is rolled back.
      if (other == id) continue;
      database.log = next.log;
      database.data = next.data;
      database.applied = next.applied;
      database.received = next.received;
    }
    record_->Line("database " + id + " leads " + name_ + " in term " +
                  std::to_string(term + 1));
  }
  /// Entries reach replicas after 2 ms and are applied after the lag.
  void Tick() {
    const int64_t now = NowMs();
    const Database* primary = nullptr;
    for (const auto& [id, database] : databases_) {
      if (database.up && database.primary) primary = &database;
    }
    for (auto& [id, database] : databases_) {
      if (!database.up || database.primary) continue;
      while (primary != nullptr && database.paused == 0 && !database.deaf &&
             database.log.size() < primary->log.size()) {
        const Received& next = primary->log[database.log.size()];
        if (now < next.at + 2) break;
        database.log.push_back({next.entry, now, false});
        database.received = next.entry.position;
      }
      for (Received& each : database.log) {
        if (each.applied) continue;
        if (now < each.at + lag_ms_) break;
        Apply(&database, &each);
      }
    }
    loop_->After(1, [this] { Tick(); });
  }
  void Read(const std::string& id, const Loop::PeerRef& peer) {
    Database& database = databases_.at(id);
    size_t end = 0;
    while ((end = peer->in.find("\r\n")) != std::string::npos) {
      const std::string line = peer->in.substr(0, end);
      peer->in.erase(0, end + 2);
      Session& session = database.sessions[peer.get()];
      const std::vector<std::string> words = Split(line);
      if (words.empty() || words[0] == "BYE") {
        peer->closing = true;
        return;
      }
      if (words[0] == "START") {
        const bool right = words.size() >= 3 && words[1] == name_ &&
                           (words.size() < 4 || words[3] == id);
        if (!right || database.sessions.size() > max_connections_) {
          peer->closing = true;
          loop_->Send(peer, right ? "ERROR MAXCONN full\r\n"
                                  : "ERROR WRONGNODE " + id + "\r\n");
          return;
        }
        session.started = true;
        loop_->After(12, [this, id, peer] {
          loop_->Send(peer,
                      "READY I " + databases_.at(id).applied.Text() + "\r\n");
        });
        continue;
      }
      const std::string call_id = words.size() > 1 ? words[1] : "-";
      session.calls.emplace_back(
          call_id, line.substr(std::min(line.size(), 7 + call_id.size())));
      Next(id, peer);
    }
  }
  void Next(const std::string& id, const Loop::PeerRef& peer) {
    Database& database = databases_.at(id);
    const auto found = database.sessions.find(peer.get());
    if (found == database.sessions.end() || found->second.busy ||
        found->second.calls.empty()) {
      return;
    }
    found->second.busy = true;
    const auto [call_id, text] = found->second.calls.front();
    found->second.calls.pop_front();
    loop_->After(call_id == "-" ? 1 : work_ms_,
                 [this, id, peer, call_id = call_id, text = text] {
                   Database& now = databases_.at(id);
                   const auto session = now.sessions.find(peer.get());
                   if (session == now.sessions.end() || !now.up) return;
                   const std::string answer =
                       Call(&now, &session->second, call_id, text);
                   Answer(id, peer, answer);
                 });
  }
  /// Sends the answer, one of a commit with `sync_replicas` once a replica has
  /// received it. Draining replicas count.
  void Answer(const std::string& id, const Loop::PeerRef& peer,
              const std::string& answer) {
    Database& database = databases_.at(id);
    const auto session = database.sessions.find(peer.get());
    if (session == database.sessions.end() || !database.up) return;
    if (sync_ && session->second.awaits_replica && database.primary) {
      const Position committed = session->second.committed;
      const bool received = std::any_of(
          databases_.begin(), databases_.end(), [&](const auto& each) {
            return each.second.up && !each.second.primary &&
                   !(each.second.received < committed);
          });
      if (!received) {
        loop_->After(1, [this, id, peer, answer] { Answer(id, peer, answer); });
        return;
      }
    }
    session->second.awaits_replica = false;
    session->second.busy = false;
    loop_->Send(peer, answer);
    Next(id, peer);
  }
  std::string Ready(const Database& database, const Session& session) const {
    return std::string("READY ") + session.state + " " +
           database.applied.Text() + "\r\n";
  }
  std::string Error(const Database& database, Session* session,
                    const std::string& code) const {
    if (session->state == 'T') session->state = 'E';
    return "ERROR " + code + " " + database.id + "\r\n" +
           Ready(database, *session);
  }
  std::string Done(const Database& database, const Session& session,
                   const std::string& rows, const std::string& digest) const {
    return rows + "COMPLETE " + digest + "\r\n" + Ready(database, session);
  }
  std::string Ran(Database* database, const Session& session,
                  const std::string& id, const std::string& text,
                  const std::string& rows) {
    const std::string digest = database->applied.Text() + "." + database->id +
                               "." + std::to_string(++digests_);
    runs_.push_back(
        {id, text, database->id, digest, database->applied, NowMs()});
    record_->Line("run " + id + " \"" + text + "\" at " + database->id +
                  " log " + database->applied.Text());
    return Done(*database, session, rows, digest);
  }
  void Commit(Database* database, Session* session) {
    Entry entry;
    entry.position = {database->term, database->applied.number + 1};
    entry.writes = std::exchange(session->writes, {});
    entry.ids = std::exchange(session->write_ids, {});
    session->committed = entry.position;
    session->awaits_replica = true;
    database->log.push_back({entry, NowMs(), false});
    database->received = entry.position;
    Apply(database, &database->log.back());
  }
  std::string StatusRow(const Database& database,
                        const Session& session) const {
    const std::string row =
        std::string(database.primary ? "primary " : "replica ") +
        std::to_string(database.term) + " " + database.received.Text() + " " +
        std::to_string(database.paused) + " " +
        std::to_string(database.primary ? 0 : lag_ms_) + " 0 " +
        std::to_string(database.sessions.size());
    return Done(database, session, "ROW " + row + "\r\n", "-");
  }

  std::string Call(Database* database, Session* session, const std::string& id,
                   std::string text) {
    std::vector<std::string> words = Split(text);
    if (words.size() > 2 && words[0] == "SINCE") {
      Position since;
      std::sscanf(words[1].c_str(), "%lu.%lu", &since.term, &since.number);
      if (database->applied < since)
        return Error(*database, session, "LAGGING");
      text = text.substr(text.find(words[1]) + words[1].size() + 1);
      words.erase(words.begin(), words.begin() + 2);
    }
    const std::string verb = words.empty() ? "" : words[0];
    if (session->state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
      return Error(*database, session, "MALFORMED");
    }
    if (verb == "STATUS") return StatusRow(*database, *session);
    if (verb == "PAUSE") {
      const uint64_t term = std::strtoull(words[1].c_str(), nullptr, 10);
      if (!database->primary && term > database->term) database->paused = term;
      return StatusRow(*database, *session);
    }
    if (verb == "RESUME") {
      database->paused = 0;
      return StatusRow(*database, *session);
    }
    if (verb == "STEPDOWN") return StatusRow(*database, *session);
    if (verb == "SET" || verb == "CLOSE") {
      return Done(*database, *session, "", "-");
    }
    if (verb == "DISCARD") {
      session->prepared.clear();
      return Done(*database, *session, "", "-");
    }
    if (verb == "PARSE") {
      session->prepared[words[1]] = {words[2] == "WRITE", words.back()};
      return Done(*database, *session, "", "-");
    }
    if (verb == "BEGIN") {
      const bool read_only = words.size() > 1;
      if (!read_only && !database->primary) {
        return Error(*database, session, "READONLY");
      }
      session->state = 'T';
      session->read_only = read_only;
      session->writes.clear();
      session->write_ids.clear();
      return Done(*database, *session, "", "-");
    }
    const bool lost_lead =
        session->state == 'T' && !session->read_only && !database->primary;
    if (verb == "ROLLBACK" || (verb == "COMMIT" && session->state == 'E')) {
      session->state = 'I';
      session->writes.clear();
      session->write_ids.clear();
      return Done(*database, *session, "", "-");
    }
    if (lost_lead && !(verb == "COMMIT" && session->writes.empty())) {
      return Error(*database, session, "READONLY");
    }
    if (verb == "COMMIT") {
      session->state = 'I';
      if (!session->writes.empty()) Commit(database, session);
      return Ran(database, *session, id, text, "");
    }
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
      const auto prepared = session->prepared.find(words[1]);
      if (prepared == session->prepared.end()) {
        return Error(*database, session, "NOSTMT");
      }
      writes = prepared->second.first;
      words.erase(words.begin());
    }
    if (!writes) {
      return Ran(database, *session, id, text,
                 "ROW " + database->data[words[1]] + "\r\n");
    }
    if (!database->primary) return Error(*database, session, "READONLY");
    session->writes.emplace_back(words[1], words.size() > 2 ? words[2] : "");
    session->write_ids.push_back(id);
    if (session->state == 'I') Commit(database, session);
    return Ran(database, *session, id, text, "");
  }

  Loop* loop_;
  Store* store_;
  Record* record_;
  const std::string name_;
  const uint32_t max_connections_;
  std::map<std::string, Database> databases_;
  std::vector<Run> runs_;
  int64_t lag_ms_ = 60, work_ms_ = 8, promote_ms_ = 1000;
  uint64_t sequence_ = 0, digests_ = 0;
  bool sync_ = false;
};

// ---- processes under test and callers ----

/// One daemon, started with the command of deploy/system.toml. Its settings are
/// the filled-in deploy/gateway.json.template.
class Gateway {
 public:
  Gateway(std::string name, std::string zone, std::string folder,
          uint16_t store, uint16_t promote)
      : name_(std::move(name)),
        zone_(std::move(zone)),
        folder_(std::move(folder)),
        store_port_(store),
        promote_port_(promote),
        session_port_(FreePort()),
        ready_port_(FreePort()),
        peer_port_(FreePort()),
        metrics_port_(FreePort()) {}
  ~Gateway() { Kill(); }

  /// `first_start`: the whole system starts for the first time.
  void Start(bool first_start = true) {
    const std::string settings = folder_ + "/" + name_ + ".json";
    const std::string log = folder_ + "/" + name_ + ".log";
    WriteSettings(settings, first_start);
    pid_ = fork();
    if (pid_ != 0) return;
    // It ends with the run, also where that is ended from outside.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    setenv("RYEFOLD_CONFIG", settings.c_str(), 1);
    execl("target/ryefoldd", "target/ryefoldd", "--sessions", "--settings-env",
          "RYEFOLD_CONFIG", nullptr);
    _exit(127);
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  /// Stops the process with SIGTERM, and with SIGKILL after the grace.
  void Stop() {
    Signal(SIGTERM);
    for (int i = 0; i < kGraceSeconds * 50 && pid_ > 0; ++i) {
      if (Ended() == -1) SleepMs(20);
    }
    Kill();
  }
  /// Returns the wait status once the process has ended by itself, else -1.
  int Ended() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return -1;
    pid_ = 0;
    return status;
  }
  uint16_t session_port() const { return session_port_; }
  uint16_t ready_port() const { return ready_port_; }
  const std::string& name() const { return name_; }
  std::string LogText() const {
    std::ifstream in(folder_ + "/" + name_ + ".log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }

 private:
  static constexpr int kGraceSeconds = 6;

  void WriteSettings(const std::string& path, bool first_start) const {
    std::ofstream settings(path);
    const auto address = [](uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    settings << "{\n  \"name\": \"" << name_ << "\",\n  \"failure_domain\": \""
             << zone_
             << "\",\n  \"session_address\": " << address(session_port_)
             << ",\n  \"ready_address\": " << address(ready_port_)
             << ",\n  \"peer_address\": " << address(peer_port_)
             << ",\n  \"metrics_address\": " << address(metrics_port_)
             << ",\n  \"store_address\": " << address(store_port_)
             << ",\n  \"promotion_address\": " << address(promote_port_)
             << ",\n  \"first_start\": " << (first_start ? "true" : "false")
             << ",\n  \"stop_grace_s\": " << kGraceSeconds
             << ",\n  \"restart_allowance\": true,\n"
             << "  \"queue_shares\": \"work\",\n"
             << "  \"keeper_choice\": \"expected_wait\",\n"
             << "  \"limit_order\": \"priority\",\n"
             << "  \"database_concurrency\": \"adaptive\"\n}\n";
  }

  const std::string name_, zone_, folder_;
  const uint16_t store_port_, promote_port_;
  const uint16_t session_port_, ready_port_, peer_port_, metrics_port_;
  pid_t pid_ = 0;
};

/// One caller's session, by blocking calls.
class Session {
 public:
  struct Answer {
    /// False if the connection ended or no answer came.
    bool whole = false;
    std::vector<std::string> rows;
    std::string digest, error;
    bool ok() const { return whole && error.empty(); }
  };

  Session(uint16_t port, std::string host, Record* record, std::string name)
      : record_(record), name_(std::move(name)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in address = Loopback(port);
    started_ = connect(fd_, reinterpret_cast<sockaddr*>(&address),
                       sizeof(address)) == 0 &&
               Write("START " + host + "\r\n") &&
               ReadLine(2000).rfind("READY", 0) == 0;
  }
  ~Session() { close(fd_); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  bool started() const { return started_; }

  Answer Ask(const std::string& id, const std::string& text,
             int64_t timeout_ms = 4000) {
    record_->Line("send " + name_ + " " + id + " \"" + text + "\"");
    Answer answer;
    if (!Write("QUERY " + id + " " + text + "\r\n")) return answer;
    const int64_t until = NowMs() + timeout_ms;
    while (true) {
      const std::string line = ReadLine(until - NowMs());
      if (line.empty()) break;
      if (line.rfind("ROW ", 0) == 0) answer.rows.push_back(line.substr(4));
      if (line.rfind("COMPLETE ", 0) == 0) answer.digest = line.substr(9);
      if (line.rfind("ERROR ", 0) == 0) answer.error = line.substr(6);
      if (line.rfind("READY ", 0) == 0) {
        answer.whole = true;
        break;
      }
    }
    record_->Line("answer " + name_ + " " + id + " " +
                  (answer.whole ? answer.error.empty()
                                      ? "COMPLETE " + answer.digest
                                      : "ERROR " + answer.error
                                : "none") +
                  (answer.rows.empty() ? "" : " ROW " + answer.rows[0]));
    return answer;
  }

 private:
  bool Write(const std::string& text) const {
    return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }
  std::string ReadLine(int64_t timeout_ms) {
    const int64_t until = NowMs() + timeout_ms;
    while (true) {
      const size_t end = in_.find("\r\n");
      if (end != std::string::npos) {
        std::string line = in_.substr(0, end);
        in_.erase(0, end + 2);
        return line;
      }
      pollfd polled{fd_, POLLIN, 0};
      const int64_t left = until - NowMs();
      if (left <= 0 || poll(&polled, 1, static_cast<int>(left)) <= 0) return "";
      char buffer[65536];
      const ssize_t got = recv(fd_, buffer, sizeof(buffer), 0);
      if (got <= 0) return "";
      in_.append(buffer, static_cast<size_t>(got));
    }
  }

  int fd_ = -1;
  bool started_ = false;
  Record* record_;
  const std::string name_;
  std::string in_;
};

/// Statement ids are unique in a run.
inline std::string NextId() {
  static std::atomic<uint64_t> last{0};
  char text[24];
  std::snprintf(text, sizeof(text), "%016lx", ++last);
  return text;
}

/// Waits until the process answers its readiness check with 200.
inline bool AwaitReady(const Gateway& gateway, int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(gateway.ready_port());
    std::string answer;
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
        0) {
      const std::string ask = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
      send(fd, ask.data(), ask.size(), MSG_NOSIGNAL);
      pollfd polled{fd, POLLIN, 0};
      char buffer[1024];
      if (poll(&polled, 1, 500) > 0) {
        const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
        if (got > 0) answer.assign(buffer, static_cast<size_t>(got));
      }
    }
    close(fd);
    if (answer.rfind("HTTP/1.1 200", 0) == 0) return true;
    SleepMs(50);
  }
  return false;
}

}  // namespace fleet
