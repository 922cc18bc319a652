// A small deployment: the store, one or two services of three databases, three
// daemons, and the record of what was sent, answered and run.
#pragma once

#include <sys/stat.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "caller.h"
#include "database.h"
#include "gateway.h"
#include "loop.h"
#include "store.h"

namespace review {

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct RouteSettings {
  std::string host;
  std::string type;
  std::string service;
  int timeout_ms = 1000;
  int goal_ms = 400;
  int priority = 1;
  int max_staleness_ms = 0;
};

class Deployment {
 public:
  Deployment(const std::string& record, const std::string& folder)
      : record_(record), folder_(folder), started_at_(NowMs()), store_(&loop_) {
    promotion_port_ = ServeHttp(
        &loop_, [this](const HttpRequest& request, const HttpAnswer& answer) {
          Promoted(request, answer);
        });
  }

  struct Promotion {
    double at = 0;
    std::string holder;
    uint64_t token = 0;
    std::string service;
    std::string id;
  };
  std::vector<Promotion> promotions;
  /// The platform does not check fences (strict_fencing false).
  void Promoted(const HttpRequest& request, const HttpAnswer& answer) {
    Json::Value body;
    std::istringstream(request.body) >> body;
    Promotion promotion;
    promotion.at = NowMs() - started_at_;
    promotion.holder = request.headers.at("ryefold-duty-holder");
    promotion.token = std::stoull(request.headers.at("ryefold-fence-token"));
    promotion.service = body["service"].asString();
    promotion.id = body["id"].asString();
    promotions.push_back(promotion);
    Record("promote " + promotion.id + " of " + promotion.service + " by " +
           promotion.holder + " with token " + std::to_string(promotion.token) +
           " (store at " + std::to_string(store_.revision()) + ")");
    Database* target = database(promotion.id);
    if (target == nullptr) return answer(409, "{}");
    answer(200, "{}");
    if (target->primary()) return;
    loop_.After(1000, [target] { target->Lead(); });
  }

  Loop* loop() { return &loop_; }
  Store* store() { return &store_; }

  void Record(const std::string& text) {
    char at[32];
    std::snprintf(at, sizeof(at), "%10.1f ", NowMs() - started_at_);
    record_ << at << text << "\n";
  }

  /// Adds a service of a primary and two replicas, one in each zone.
  void AddService(const std::string& name, DatabaseSettings common) {
    auto service = std::make_unique<Service>();
    service->name = name;
    for (int i = 0; i < 3; ++i) {
      DatabaseSettings settings = common;
      settings.id = "i-" + name + "-" + std::string(1, static_cast<char>('a' + i));
      settings.zone = "zone-" + std::string(1, static_cast<char>('a' + i));
      settings.primary = i == 0;
      databases_.push_back(std::make_unique<Database>(
          &loop_, &store_, service.get(), settings, [this](const Run& run) {
            Record("database " + run.database + " runs " + run.id + " " +
                   run.text + ": " + run.outcome + " (log at " +
                   std::to_string(run.log_number) + ")");
            runs_.push_back(run);
          }));
    }
    services_.push_back(std::move(service));
  }
  Database* database(const std::string& id) {
    for (const auto& each : databases_) {
      if (each->id() == id) return each.get();
    }
    return nullptr;
  }
  const std::vector<std::unique_ptr<Database>>& databases() const {
    return databases_;
  }
  const std::vector<Run>& runs() const { return runs_; }

  /// Writes the configuration; the store's answer is its ack.
  void Configure(uint64_t version, const std::vector<RouteSettings>& routes,
                 int max_conns) {
    Json::Value config;
    config["version"] = Json::UInt64(version);
    config["routes"] = Json::Value(Json::arrayValue);
    for (const RouteSettings& each : routes) {
      Json::Value route;
      route["name"] = "r-" + each.host;
      route["host"] = each.host;
      route["prefix"] = "/";
      route["type"] = each.type;
      route["timeout_ms"] = each.timeout_ms;
      route["goal_ms"] = each.goal_ms;
      route["priority"] = each.priority;
      route["service"] = each.service;
      route["max_attempts"] = 2;
      if (each.max_staleness_ms > 0) {
        route["max_staleness_ms"] = each.max_staleness_ms;
      }
      config["routes"].append(route);
      Record("configuration " + std::to_string(version) + ": " + each.host +
             " (" + each.type + ") goes to " + each.service);
    }
    config["services"] = Json::Value(Json::arrayValue);
    for (const auto& each : services_) {
      Json::Value service;
      service["name"] = each->name;
      service["health_path"] = "/health";
      service["max_conns"] = max_conns;
      service["protocol"] = "h1";
      service["tls"] = false;
      service["sync_replicas"] = 0;
      config["services"].append(service);
    }
    config["limits"]["max_header_bytes"] = 16384;
    config["limits"]["max_body_bytes"] = 262144;
    config["limits"]["header_timeout_ms"] = 3000;
    config["limits"]["idle_timeout_ms"] = 15000;
    config["limits"]["tx_idle_ms"] = 3000;
    store_.Put("op/config", ToText(config));
  }

  /// Starts the daemons and waits until all are ready; false if they are not.
  bool StartGateways(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 3));
      gateways_.push_back(std::make_unique<Gateway>(
          &loop_, "front-" + zone + "-" + std::to_string(i), "zone-" + zone,
          folder_, store_.port(), promotion_port_));
      gateways_.back()->Start(/*first_start=*/true);
    }
    ready_ = std::vector<int>(gateways_.size(), 2);
    AskReady();
    const double limit = NowMs() + 20000;
    while (NowMs() < limit) {
      loop_.Run(200);
      bool all = true;
      for (size_t i = 0; i < gateways_.size(); ++i) all &= InRotation(i);
      // As on the platform, traffic starts some seconds after the machines do.
      if (all) {
        loop_.Run(4000);
        return true;
      }
    }
    return false;
  }
  const std::vector<std::unique_ptr<Gateway>>& gateways() const {
    return gateways_;
  }

  /// Whether the platform forwards new connections to the machine: two misses
  /// of the ready probe take it out.
  bool InRotation(size_t gateway) const { return ready_[gateway] < 2; }

  std::string NewId() {
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(random_()));
    return text;
  }

 private:
  void AskReady() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      gateways_[i]->AskReady([this, i](bool ready) {
        ready_[i] = ready ? 0 : ready_[i] + 1;
      });
    }
    loop_.After(1000, [this] { AskReady(); });
  }

  std::ofstream record_;
  const std::string folder_;
  const double started_at_;
  Loop loop_;
  Store store_;
  uint16_t promotion_port_ = 0;
  std::vector<std::unique_ptr<Service>> services_;
  std::vector<std::unique_ptr<Database>> databases_;
  std::vector<Run> runs_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<int> ready_;
  std::mt19937_64 random_{std::random_device()()};
};

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
