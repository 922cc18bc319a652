// standin_fleet: the platform's store, a database group on the line protocol
// and the interface that promotes, in one process on loopback. Prints the
// addresses as JSON; takes faults as HTTP posts (testsuite/standins/README.md).

#include <event2/event.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "ryefold/wire/document.h"
#include "ryefold/wire/http.h"
#include "testsuite/standins/lib/key_value.h"
#include "testsuite/standins/lib/line_databases.h"

namespace ryefold::standins {
namespace {

constexpr const char* kConfig =
    R"({"version":1,"routes":[
{"name":"r1","host":"records","type":"primary","timeout_ms":1000,"goal_ms":200,"priority":1,"service":"group"},
{"name":"r2","host":"gates","type":"bounded","timeout_ms":2000,"goal_ms":600,"priority":2,"service":"group","max_staleness_ms":1500},
{"name":"r3","host":"renewals","type":"session","timeout_ms":1000,"goal_ms":400,"priority":2,"service":"group","max_staleness_ms":2500}],
"services":[{"name":"group","max_conns":21}],"limits":{"tx_idle_ms":3000}})";

int Serve() {
  event_base* base = event_base_new();
  KeyValueStandin store(base);
  LineDatabases databases(base, &store, "group");
  wire::HttpServer control(
      base, wire::HttpLimits(), [&](const wire::HttpExchange& exchange) {
        wire::Findings findings;
        wire::Document document("call", exchange.body(), /*comments=*/false);
        wire::Reader reader(&document, &findings);
        const std::string id = reader.String("id");
        wire::HttpReply reply;
        if (exchange.path() == "/promote") {
          const std::string token = exchange.header("Ryefold-Fence-Token");
          reply.status =
              databases.Promote(id, std::strtoull(token.c_str(), nullptr, 10));
        } else if (exchange.path() == "/fault/crash") {
          databases.Crash(id);
        } else if (exchange.path() == "/fault/mute") {
          databases.cluster().database(id).lose_one_in = 1;
        } else if (exchange.path() == "/fault/lag") {
          databases.cluster().database(id).lag =
              std::chrono::milliseconds(reader.Int("ms", 0, 0, 100000));
        } else if (exchange.path() == "/fault/store") {
          store.faults().down = reader.Bool("down", false);
        } else if (exchange.path() == "/config") {
          store.Put("op/config", exchange.body());
        } else {
          reply.status = 404;
        }
        exchange.Reply(reply);
      });
  store.Put("op/config", kConfig);
  for (const std::string& error :
       {store.Listen("127.0.0.1:0"), control.Listen("127.0.0.1:0"),
        databases.Start()}) {
    if (error.empty()) continue;
    std::cerr << "standin_fleet: " << error << "\n";
    return 1;
  }
  std::cout << R"({"store":"127.0.0.1:)" << store.port()
            << R"(","control":"127.0.0.1:)" << control.port() << "\"}"
            << std::endl;
  event_base_dispatch(base);
  return 0;
}

}  // namespace
}  // namespace ryefold::standins

int main() { return ryefold::standins::Serve(); }
