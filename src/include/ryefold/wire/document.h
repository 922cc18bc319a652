#pragma once

// Reads JSON with comments into aggregates while collecting findings.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/wire/finding.h"

namespace ryefold::wire {

/// A parsed document. Duplicate keys, broken syntax and nesting deeper than
/// 64 are findings. Kept apart from jsoncpp's header, which is heavy.
class Document {
 public:
  /// `comments` allows // and /* */.
  Document(std::string source, std::string text, bool comments);
  ~Document();
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  /// Whether the syntax is sound; if not, `findings()` says why.
  bool ok() const;
  const Findings& findings() const;

  class Impl;
  Impl* impl() const { return impl_.get(); }

 private:
  std::unique_ptr<Impl> impl_;
};

/// Reads the members of one JSON object. Each accessor reports a finding when
/// the member is missing (if required), of a wrong type or out of range, and
/// then returns the default, so that one pass finds everything. `Finish`
/// reports members that nobody asked for, with the nearest known name.
class Reader {
 public:
  /// The root object of `document`. When the document is not sound, its
  /// findings are added and every accessor gives its default.
  Reader(Document* document, Findings* findings);

  std::string String(std::string_view name, std::string_view otherwise = {});
  std::string RequiredString(std::string_view name);
  int64_t Int(std::string_view name, int64_t otherwise, int64_t least,
              int64_t most);
  int64_t RequiredInt(std::string_view name, int64_t least, int64_t most);
  double Number(std::string_view name, double otherwise, double least,
                double most);
  bool Bool(std::string_view name, bool otherwise);
  /// Index of the value in `names`; `otherwise` when absent.
  size_t Choice(std::string_view name,
                const std::vector<std::string_view>& names, size_t otherwise);
  std::vector<std::string> Strings(std::string_view name);
  /// Text of the member exactly as written, for values passed on untouched;
  /// reports when it is not an array. `otherwise` when absent.
  std::string RawArray(std::string_view name, std::string_view otherwise);
  /// The same for a member that must be an object.
  std::string RawObject(std::string_view name, std::string_view otherwise);
  /// Calls `each` for every object in the array `name`.
  void Objects(std::string_view name, const std::function<void(Reader*)>& each);
  /// Calls `each` with key and value for every member of the object `name`
  /// whose value is an object.
  void Members(std::string_view name,
               const std::function<void(const std::string&, Reader*)>& each);
  /// Reads the object `name` if present; false when absent.
  bool Object(std::string_view name, const std::function<void(Reader*)>& read);
  bool Has(std::string_view name) const;

  /// Adds a finding at the place of `name`, or of the object when `name` is
  /// empty.
  void Report(std::string_view name, std::string problem, std::string allowed);
  /// Reports unknown members. Call it last.
  void Finish();

 private:
  friend class Document;
  struct Node;
  Reader(Document* document, Findings* findings, std::shared_ptr<Node> node);
  void ReportUnknown(const std::string& key);

  Document* document_;
  Findings* findings_;
  std::shared_ptr<Node> node_;
};

}  // namespace ryefold::wire
