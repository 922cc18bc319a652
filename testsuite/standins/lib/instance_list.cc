#include "testsuite/standins/lib/instance_list.h"

#include <json/writer.h>

#include <utility>

#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

InstanceList::InstanceList() : snapshots_(1) {}

bool InstanceList::Change(core::TimePoint now, const std::string& body) {
  const auto change = ParseObject(body);
  if (!change) return false;
  const std::string name = StringOf(*change, "name");
  if (name.empty()) return false;
  Snapshot next = snapshots_.back();
  next.shown_from = now + lag_;
  ++next.version;
  if (StringOf(*change, "state") == "gone") {
    next.entries.erase(name);
  } else {
    Json::Value entry(Json::objectValue);
    entry["state"] = "live";
    const auto known = next.entries.find(name);
    if (known != next.entries.end()) entry = *ParseObject(known->second);
    for (const std::string& member : change->getMemberNames()) {
      entry[member] = (*change)[member];
    }
    next.entries[name] = Write(entry);
  }
  snapshots_.push_back(std::move(next));
  return true;
}

void InstanceList::Omit(std::set<std::string> names) {
  omitted_ = std::move(names);
  ++omissions_;
}

std::string InstanceList::Show(core::TimePoint now) {
  while (snapshots_.size() > 1 && snapshots_[1].shown_from <= now) {
    snapshots_.pop_front();
  }
  const Snapshot& shown = snapshots_.front();
  std::string out = "{\"version\":";
  AppendUint(&out, shown.version + omissions_);
  out.append(",\"instances\":[");
  bool first = true;
  for (const auto& [name, entry] : shown.entries) {
    if (omitted_.count(name) > 0) continue;
    if (!first) out.push_back(',');
    first = false;
    out.append(entry);
  }
  out.append("]}");
  return out;
}

}  // namespace ryefold::standins
