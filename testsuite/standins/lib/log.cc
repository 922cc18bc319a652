#include "testsuite/standins/lib/log.h"

#include <algorithm>
#include <utility>

#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

constexpr std::string_view kKindNames[] = {"statement", "transaction", "fence",
                                           "term_start"};

uint64_t TermOf(const std::vector<core::TermStart>& starts, uint64_t index) {
  uint64_t term = 0;
  for (const core::TermStart& start : starts) {
    if (start.index > index) break;
    term = start.term;
  }
  return term;
}

int64_t Micros(core::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

std::string_view EntryKindName(EntryKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

std::optional<EntryKind> EntryKindFromName(std::string_view name) {
  const auto* found =
      std::find(std::begin(kKindNames), std::end(kKindNames), name);
  if (found == std::end(kKindNames)) return std::nullopt;
  return static_cast<EntryKind>(found - std::begin(kKindNames));
}

void Serialise(Entry* entry) {
  std::string& out = entry->json;
  out = "{\"term\":";
  AppendUint(&out, entry->position.term);
  out.append(",\"index\":");
  AppendUint(&out, entry->position.index);
  out.append(",\"kind\":");
  AppendString(&out, EntryKindName(entry->kind));
  out.append(",\"workspace\":");
  AppendString(&out, entry->workspace);
  out.append(",\"request_id\":");
  AppendString(&out, entry->request_id);
  out.append(",\"record\":").append(entry->record ? "true" : "false");
  out.append(",\"written_us\":");
  AppendInt(&out, Micros(entry->written));
  out.append(",\"statements\":[");
  for (size_t i = 0; i < entry->statements.size(); ++i) {
    out.append(i == 0 ? "{\"sql\":" : ",{\"sql\":");
    AppendString(&out, entry->statements[i].sql);
    out.append(",\"params\":").append(entry->statements[i].params_json);
    out.push_back('}');
  }
  out.append("],\"result\":");
  out.append(entry->result_json.empty() ? "{}" : entry->result_json);
  out.push_back('}');
}

core::LogPosition Log::last() const {
  return entries_.empty() ? core::LogPosition{} : entries_.back().position;
}

uint64_t Log::TermAt(uint64_t index) const {
  if (index == 0 || index > entries_.size()) return 0;
  return entries_[index - 1].position.term;
}

bool Log::Holds(const core::LogPosition& position) const {
  if (position.index == 0) return position.term == 0;
  return TermAt(position.index) == position.term && position.term != 0;
}

void Log::Append(Entry entry) {
  const core::LogPosition position = entry.position;
  if (starts_.empty() || starts_.back().term != position.term) {
    starts_.push_back({position.term, position.index});
  }
  entries_.push_back(std::move(entry));
}

void Log::CutAfter(uint64_t index) {
  if (index >= entries_.size()) return;
  entries_.resize(index);
  while (!starts_.empty() && starts_.back().index > index) starts_.pop_back();
}

core::LogPosition Log::CommonWith(const std::vector<core::TermStart>& starts,
                                  const core::LogPosition& other_last) const {
  uint64_t index = std::min(last().index, other_last.index);
  while (index > 0 && TermAt(index) != TermOf(starts, index)) --index;
  return {TermAt(index), index};
}

}  // namespace ryefold::standins
