#include "json_value.h"

#include <exception>
#include <memory>

namespace ryefold::wire {
namespace {

std::unique_ptr<Json::CharReader> MakeReader(bool comments) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["allowComments"] = comments;
  builder["allowTrailingCommas"] = false;
  builder["strictRoot"] = true;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["allowSpecialFloats"] = false;
  builder["stackLimit"] = kMaxNesting;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

/// Making a reader costs more than reading a small body, so each thread keeps
/// one of either kind.
std::unique_ptr<Json::CharReader>& ReaderFor(bool comments) {
  thread_local std::unique_ptr<Json::CharReader> plain;
  thread_local std::unique_ptr<Json::CharReader> commented;
  std::unique_ptr<Json::CharReader>& reader = comments ? commented : plain;
  if (reader == nullptr) reader = MakeReader(comments);
  return reader;
}

}  // namespace

bool ParseJson(std::string_view text, bool comments, Json::Value* root,
               std::string* errors) {
  std::unique_ptr<Json::CharReader>& reader = ReaderFor(comments);
  try {
    return reader->parse(text.data(), text.data() + text.size(), root, errors);
  } catch (const std::exception& e) {
    // Thrown for nesting beyond the limit, in the middle of a value.
    reader.reset();
    *root = Json::Value();
    if (errors != nullptr) *errors = e.what();
    return false;
  }
}

Fields::Fields(std::string_view text, const Json::Value* value)
    : text_(text), value_(value) {
  if (value_ != nullptr && !value_->isObject()) {
    value_ = nullptr;
    ok_ = false;
  }
}

const Json::Value* Fields::Find(std::string_view name) const {
  if (value_ == nullptr) return nullptr;
  return value_->find(name.data(), name.data() + name.size());
}

Fields& Fields::String(std::string_view name, std::string* out) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return *this;
  const char* begin = nullptr;
  const char* end = nullptr;
  if (value->isString() && value->getString(&begin, &end)) {
    out->assign(begin, end);
  } else {
    ok_ = false;
  }
  return *this;
}

Fields& Fields::Uint(std::string_view name, uint64_t* out) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return *this;
  if (value->isUInt64()) {
    *out = value->asUInt64();
  } else {
    ok_ = false;
  }
  return *this;
}

Fields& Fields::Bool(std::string_view name, bool* out) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return *this;
  if (value->isBool()) {
    *out = value->asBool();
  } else {
    ok_ = false;
  }
  return *this;
}

Fields& Fields::RawArray(std::string_view name, std::string* out) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return *this;
  if (value->isArray()) {
    *out = RawText(text_, *value);
  } else {
    ok_ = false;
  }
  return *this;
}

Fields& Fields::RawObject(std::string_view name, std::string* out) {
  const Json::Value* value = Find(name);
  if (value == nullptr) return *this;
  if (value->isObject()) {
    *out = RawText(text_, *value);
  } else {
    ok_ = false;
  }
  return *this;
}

std::string_view RawText(std::string_view text, const Json::Value& value) {
  const auto start = static_cast<size_t>(value.getOffsetStart());
  const auto limit = static_cast<size_t>(value.getOffsetLimit());
  return text.substr(start, limit - start);
}

}  // namespace ryefold::wire
