// In a drill the store goes away for a second and comes back from a copy some
// seconds old; primaries are replaced before and after it. Checks the rule ONE
// where the platform doesn't check fences: a promotion carries a lower
// generation number than an earlier one of the same service, or the same one
// under another holder.
//
// Usage: store_restored RECORD FOLDER

#include <iostream>

#include "deployment.h"

namespace review {
namespace {

constexpr int kGateways = 3;
constexpr int kSessions = 9;
constexpr const char* kHost = "desk1";
/// The copy is taken this long after the start, before the first claim of the
/// duty.
constexpr double kCopyAtMs = 800;
constexpr double kAwayMs = 1000;

class Case {
 public:
  Case(const std::string& record, const std::string& folder)
      : deployment_(record, folder) {}

  int Run() {
    DatabaseSettings common;
    common.slots = 5;
    common.work_ms = 8;
    common.lag_ms = 8;
    deployment_.AddService("bookings", common);
    deployment_.AddService("idle-one", common);
    deployment_.AddService("idle-two", common);
    Configure();
    Loop* loop = deployment_.loop();
    Store* store = deployment_.store();
    loop->After(kCopyAtMs, [this, store] {
      store->Copy();
      deployment_.Record("copy of the store at " +
                         std::to_string(store->revision()));
    });
    if (!deployment_.StartGateways(kGateways)) return kCouldNotRun;
    for (int i = 0; i < kSessions; ++i) Open(i);
    loop->Run(500);
    Release();
    loop->Run(3000);
    if (HasTrouble()) {
      deployment_.Record("the store goes away at " +
                         std::to_string(store->revision()));
      store->Restore(kAwayMs);
      loop->Run(kAwayMs + 50);
      deployment_.Record("the store is back at " +
                         std::to_string(store->revision()));
      Configure();  // the operator writes it again
    }
    loop->Run(4500);
    Release();
    loop->Run(6000);
    return Judge();
  }

 private:
  void Configure() {
    RouteSettings route{kHost, "primary", "bookings", 1000, 200, 1, 0};
    deployment_.Configure(7, {route}, 34);
  }

  void Open(int number) {
    sessions_[number] = std::make_shared<Session>(
        deployment_.loop(),
        deployment_.gateways()[number % kGateways]->session_port());
    sessions_[number]->Start(kHost, [this, number](const Reply& reply) {
      if (!reply.lost && reply.code.empty()) Turn(number, 0);
    });
  }
  void Turn(int number, int turn) {
    const std::string item = "item" + std::to_string(number);
    sessions_[number]->Query(
        deployment_.NewId(), turn % 3 == 0 ? "WRITE " + item + " x" : "READ " + item,
        [this, number, turn](const Reply& reply) {
          if (reply.lost) return;
          deployment_.loop()->After(
              20, [this, number, turn] { Turn(number, turn + 1); });
        });
  }

  /// The primary reports that it is draining; a while later one like it is back.
  void Release() {
    for (const auto& each : deployment_.databases()) {
      Database* database = each.get();
      if (!database->primary() || database->id().rfind("i-bookings", 0) != 0) {
        continue;
      }
      deployment_.Record("primary " + database->id() + " is draining");
      database->Drain();
      deployment_.loop()->After(6000, [database] { database->Return(); });
      return;
    }
  }

  int Judge() {
    int lower = 0;
    int same = 0;
    size_t promotions = 0;
    uint64_t highest = 0;
    std::string holder;
    for (const Deployment::Promotion& each : deployment_.promotions) {
      if (each.service != "bookings") continue;
      ++promotions;
      if (each.token < highest) ++lower;
      if (each.token == highest && each.holder != holder) ++same;
      highest = std::max(highest, each.token);
      holder = each.holder;
    }
    std::cout << promotions << " promotions; with a lower generation number: "
              << lower << ", with the same one by two holders: " << same << "\n";
    if (promotions < 2) return kCouldNotRun;
    return lower + same > 0 ? kBroken : kHeld;
  }

  Deployment deployment_;
  std::map<int, std::shared_ptr<Session>> sessions_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kCouldNotRun;
  return review::Case(argv[1], argv[2]).Run();
}
