#include <unordered_map>
#include <utility>
#include <vector>

#include "ryefold/wire/http.h"

namespace ryefold::wire {
namespace {

/// Idle connections kept for each address.
constexpr size_t kMaxIdle = 4;

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(event_base* base) : base_(base) {}

  void Call(const std::string& address, const std::string& method,
            const std::string& path, const std::string& body,
            const core::AnswerLimits& limits, HttpConnection::Done done,
            const std::map<std::string, std::string>& headers) {
    const uint64_t id = Take(address);
    all_[id]->Send(
        method, path, body, limits,
        [this, address, id, done = std::move(done)](const HttpResult& result) {
          if (result.status == CallStatus::kOk) Keep(address, id);
          done(result);
        },
        headers);
  }

 private:
  uint64_t Take(const std::string& address) {
    std::vector<uint64_t>& idle = idle_[address];
    if (!idle.empty()) {
      const uint64_t id = idle.back();
      idle.pop_back();
      return id;
    }
    const uint64_t id = ++last_id_;
    all_[id] = std::make_unique<HttpConnection>(
        base_, address, [this, address, id] { Remove(address, id); });
    return id;
  }

  void Keep(const std::string& address, uint64_t id) {
    if (!all_[id]->open()) return;  // `Remove` follows
    std::vector<uint64_t>& idle = idle_[address];
    if (idle.size() < kMaxIdle) {
      idle.push_back(id);
    } else {
      all_.erase(id);
    }
  }

  void Remove(const std::string& address, uint64_t id) {
    std::erase(idle_[address], id);
    all_.erase(id);
  }

  event_base* base_;
  uint64_t last_id_ = 0;
  std::unordered_map<uint64_t, std::unique_ptr<HttpConnection>> all_;
  std::unordered_map<std::string, std::vector<uint64_t>> idle_;
};

HttpClient::HttpClient(event_base* base)
    : impl_(std::make_unique<Impl>(base)) {}
HttpClient::~HttpClient() = default;

void HttpClient::Call(const std::string& address, const std::string& method,
                      const std::string& path, const std::string& body,
                      const core::AnswerLimits& limits,
                      HttpConnection::Done done,
                      const std::map<std::string, std::string>& headers) {
  impl_->Call(address, method, path, body, limits, std::move(done), headers);
}

void HttpClient::Call(const std::string& address, const std::string& method,
                      const std::string& path, const std::string& body,
                      core::TimePoint deadline, HttpConnection::Done done,
                      const std::map<std::string, std::string>& headers) {
  Call(address, method, path, body, core::AnswerLimits{deadline},
       std::move(done), headers);
}

}  // namespace ryefold::wire
