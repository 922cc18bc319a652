#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "document_impl.h"
#include "json_value.h"
#include "ryefold/wire/document.h"

namespace ryefold::wire {

/// One object being read. Without a value (missing, or broken document) every
/// accessor quietly gives its default.
struct Reader::Node {
  static constexpr size_t kUsualMembers = 16;

  const Json::Value* value = nullptr;
  std::string path;
  /// Names that were asked for, also more than once.
  std::vector<std::string> known;

  /// Looks a member up and notes that it is known.
  const Json::Value* Find(std::string_view name) {
    if (known.empty()) known.reserve(kUsualMembers);
    known.emplace_back(name);
    return Lookup(name);
  }

  const Json::Value* Lookup(std::string_view name) const {
    if (value == nullptr) return nullptr;
    return value->find(name.data(), name.data() + name.size());
  }

  /// Names asked for, each once, in the order of asking.
  std::vector<std::string> UniqueKnown() const {
    std::vector<std::string> unique;
    for (const std::string& name : known) {
      if (std::find(unique.begin(), unique.end(), name) == unique.end()) {
        unique.push_back(name);
      }
    }
    return unique;
  }

  std::string PathOf(std::string_view name) const {
    std::string full = path;
    if (!full.empty() && !name.empty()) full += '.';
    return full.append(name);
  }
};

namespace {

/// Number of single-letter edits between two names.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < a.size(); ++i) {
    size_t diagonal = std::exchange(row[0], i + 1);
    for (size_t j = 0; j < b.size(); ++j) {
      const size_t replace = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replace, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

std::string Nearest(const std::string& name,
                    const std::vector<std::string>& known) {
  constexpr size_t kFarthest = 3;
  std::string best;
  size_t best_distance = kFarthest + 1;
  for (const std::string& candidate : known) {
    const size_t distance = EditDistance(name, candidate);
    if (distance < best_distance && distance < candidate.size()) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

template <class Names>
std::string Join(const Names& names) {
  std::string text;
  for (const auto& name : names) {
    if (!text.empty()) text += ", ";
    text += name;
  }
  return text;
}

const char* TypeName(const Json::Value& value) {
  switch (value.type()) {
    case Json::nullValue:
      return "null";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
      return "a number";
    case Json::stringValue:
      return "a string";
    case Json::booleanValue:
      return "a boolean";
    case Json::arrayValue:
      return "an array";
    case Json::objectValue:
      return "an object";
  }
  return "a value";
}

std::string WrongType(const Json::Value& value) {
  return std::string("is ") + TypeName(value);
}

std::string Range(int64_t least, int64_t most) {
  return "an integer from " + std::to_string(least) + " to " +
         std::to_string(most);
}

std::string NumberText(double value) { return Json::valueToString(value); }

}  // namespace

Reader::Reader(Document* document, Findings* findings)
    : document_(document),
      findings_(findings),
      node_(std::make_shared<Node>()) {
  const Document::Impl& impl = *document->impl();
  if (!impl.ok) {
    findings->insert(findings->end(), impl.findings.begin(),
                     impl.findings.end());
    return;
  }
  if (impl.root.isObject()) {
    node_->value = &impl.root;
    return;
  }
  findings->push_back(
      impl.At(&impl.root, "", WrongType(impl.root), "an object"));
}

Reader::Reader(Document* document, Findings* findings,
               std::shared_ptr<Node> node)
    : document_(document), findings_(findings), node_(std::move(node)) {}

std::string Reader::String(std::string_view name, std::string_view otherwise) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return std::string(otherwise);
  if (value->isString()) return value->asString();
  Report(name, WrongType(*value), "a string");
  return std::string(otherwise);
}

std::string Reader::RequiredString(std::string_view name) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) {
    if (node_->value != nullptr) Report(name, "is missing", "a string");
    return {};
  }
  if (!value->isString()) {
    Report(name, WrongType(*value), "a string");
    return {};
  }
  std::string text = value->asString();
  if (text.empty()) Report(name, "is empty", "a string that is not empty");
  return text;
}

int64_t Reader::Int(std::string_view name, int64_t otherwise, int64_t least,
                    int64_t most) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return otherwise;
  if (!value->isNumeric()) {
    Report(name, WrongType(*value), Range(least, most));
    return otherwise;
  }
  if (!value->isIntegral() || !value->isInt64()) {
    Report(name, "is not an integer in range", Range(least, most));
    return otherwise;
  }
  const int64_t number = value->asInt64();
  if (number >= least && number <= most) return number;
  Report(name, "is out of range", Range(least, most));
  return otherwise;
}

int64_t Reader::RequiredInt(std::string_view name, int64_t least,
                            int64_t most) {
  if (node_->Lookup(name) == nullptr && node_->value != nullptr) {
    Report(name, "is missing", Range(least, most));
  }
  return Int(name, least, least, most);
}

double Reader::Number(std::string_view name, double otherwise, double least,
                      double most) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return otherwise;
  const std::string allowed =
      "a number from " + NumberText(least) + " to " + NumberText(most);
  if (!value->isNumeric()) {
    Report(name, WrongType(*value), allowed);
    return otherwise;
  }
  const double number = value->asDouble();
  if (std::isfinite(number) && number >= least && number <= most) return number;
  Report(name, "is out of range", allowed);
  return otherwise;
}

bool Reader::Bool(std::string_view name, bool otherwise) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return otherwise;
  if (value->isBool()) return value->asBool();
  Report(name, WrongType(*value), "true or false");
  return otherwise;
}

size_t Reader::Choice(std::string_view name,
                      const std::vector<std::string_view>& names,
                      size_t otherwise) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return otherwise;
  const std::string text = value->isString() ? value->asString() : "";
  const auto found = std::find(names.begin(), names.end(), text);
  if (value->isString() && found != names.end()) {
    return static_cast<size_t>(found - names.begin());
  }
  const std::string problem = value->isString()
                                  ? "is none of the choices: \"" + text + '"'
                                  : WrongType(*value);
  Report(name, problem, Join(names));
  return otherwise;
}

std::vector<std::string> Reader::Strings(std::string_view name) {
  std::vector<std::string> texts;
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return texts;
  if (!value->isArray()) {
    Report(name, WrongType(*value), "an array of strings");
    return texts;
  }
  for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
    const Json::Value& item = (*value)[i];
    if (item.isString()) {
      texts.push_back(item.asString());
      continue;
    }
    findings_->push_back(document_->impl()->At(
        &item, node_->PathOf(name) + '[' + std::to_string(i) + ']',
        WrongType(item), "a string"));
  }
  return texts;
}

std::string Reader::RawArray(std::string_view name,
                             std::string_view otherwise) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return std::string(otherwise);
  if (value->isArray()) {
    return std::string(RawText(document_->impl()->text, *value));
  }
  Report(name, WrongType(*value), "an array");
  return std::string(otherwise);
}

std::string Reader::RawObject(std::string_view name,
                              std::string_view otherwise) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return std::string(otherwise);
  if (value->isObject()) {
    return std::string(RawText(document_->impl()->text, *value));
  }
  Report(name, WrongType(*value), "an object");
  return std::string(otherwise);
}

void Reader::Objects(std::string_view name,
                     const std::function<void(Reader*)>& each) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return;
  if (!value->isArray()) {
    Report(name, WrongType(*value), "an array of objects");
    return;
  }
  for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
    const Json::Value& item = (*value)[i];
    auto node = std::make_shared<Node>();
    node->path = node_->PathOf(name) + '[' + std::to_string(i) + ']';
    if (!item.isObject()) {
      findings_->push_back(document_->impl()->At(&item, node->path,
                                                 WrongType(item), "an object"));
      continue;
    }
    node->value = &item;
    Reader reader(document_, findings_, std::move(node));
    each(&reader);
  }
}

void Reader::Members(
    std::string_view name,
    const std::function<void(const std::string&, Reader*)>& each) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return;
  if (!value->isObject()) {
    Report(name, WrongType(*value), "an object of objects");
    return;
  }
  for (const std::string& key : value->getMemberNames()) {
    const Json::Value& item = (*value)[key];
    auto node = std::make_shared<Node>();
    node->path = node_->PathOf(name) + '.' + key;
    if (!item.isObject()) {
      findings_->push_back(document_->impl()->At(&item, node->path,
                                                 WrongType(item), "an object"));
      continue;
    }
    node->value = &item;
    Reader reader(document_, findings_, std::move(node));
    each(key, &reader);
  }
}

bool Reader::Object(std::string_view name,
                    const std::function<void(Reader*)>& read) {
  const Json::Value* value = node_->Find(name);
  if (value == nullptr) return false;
  if (!value->isObject()) {
    Report(name, WrongType(*value), "an object");
    return true;
  }
  auto node = std::make_shared<Node>();
  node->path = node_->PathOf(name);
  node->value = value;
  Reader reader(document_, findings_, std::move(node));
  read(&reader);
  return true;
}

bool Reader::Has(std::string_view name) const {
  return node_->Find(name) != nullptr;
}

void Reader::Report(std::string_view name, std::string problem,
                    std::string allowed) {
  const Json::Value* value = name.empty() ? nullptr : node_->Lookup(name);
  if (value == nullptr) value = node_->value;
  findings_->push_back(document_->impl()->At(
      value, node_->PathOf(name), std::move(problem), std::move(allowed)));
}

void Reader::Finish() {
  if (node_->value == nullptr) return;
  const Json::Value& object = *node_->value;
  for (auto member = object.begin(); member != object.end(); ++member) {
    const char* end = nullptr;
    const char* begin = member.memberName(&end);
    const std::string_view key(begin, static_cast<size_t>(end - begin));
    const std::vector<std::string>& known = node_->known;
    if (std::find(known.begin(), known.end(), key) != known.end()) continue;
    ReportUnknown(std::string(key));
  }
}

void Reader::ReportUnknown(const std::string& key) {
  const std::vector<std::string> known = node_->UniqueKnown();
  const std::string nearest = Nearest(key, known);
  std::string problem = "is not known";
  if (!nearest.empty()) problem += ", did you mean \"" + nearest + "\"?";
  findings_->push_back(document_->impl()->At(
      node_->Lookup(key), node_->PathOf(key), std::move(problem), Join(known)));
}

}  // namespace ryefold::wire
