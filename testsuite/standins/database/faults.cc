#include "testsuite/standins/database/faults.h"

#include <json/value.h>

#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::set<std::string> Names(const Json::Value& list) {
  std::set<std::string> names;
  for (const Json::Value& name : list) names.insert(name.asString());
  return names;
}

bool ChangeSwitch(const std::string& name, const Json::Value& value,
                  Faults* faults) {
  if (name == "cut_from" && value.isArray()) {
    faults->cut_from = Names(value);
    return true;
  }
  if (!value.isBool()) return false;
  if (name == "cut") {
    faults->cut = value.asBool();
  } else if (name == "down") {
    faults->down = value.asBool();
  } else {
    return false;
  }
  return true;
}

bool ChangeNumber(const std::string& name, uint64_t value, Faults* faults) {
  if (name == "lag_ms") {
    faults->lag = milliseconds(value);
  } else if (name == "stall_ms") {
    faults->stall = milliseconds(value);
  } else if (name == "delay_ms") {
    faults->delay = milliseconds(value);
  } else if (name == "connect_ms") {
    faults->connect = milliseconds(value);
  } else if (name == "service_us") {
    faults->service = microseconds(value);
  } else if (name == "drop_answers") {
    faults->drop_answers = value;
  } else if (name == "truncate_answers") {
    faults->truncate_answers = value;
  } else {
    return false;
  }
  return true;
}

}  // namespace

bool ChangeFaults(std::string_view body, Faults* faults) {
  const auto object = ParseObject(body);
  if (!object) return false;
  Faults changed = *faults;
  for (const std::string& name : object->getMemberNames()) {
    const Json::Value& value = (*object)[name];
    const bool known = value.isUInt64()
                           ? ChangeNumber(name, value.asUInt64(), &changed)
                           : ChangeSwitch(name, value, &changed);
    if (!known) return false;
  }
  *faults = changed;
  return true;
}

}  // namespace ryefold::standins
