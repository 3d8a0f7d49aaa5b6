// Reads MessagePack, and computes the size of a value encoded as JSON.
#include "dunlinknot/wire/pack.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace dunlinknot::wire {

View View::operator[](std::string_view key) const {
  if (!is_map()) return View();
  const auto& map = object_->via.map;
  for (uint32_t i = 0; i < map.size; ++i) {
    const auto& name = map.ptr[i].key;
    if (name.type == msgpack::type::STR &&
        std::string_view(name.via.str.ptr, name.via.str.size) == key) {
      return View(&map.ptr[i].val);
    }
  }
  return View();
}

std::optional<std::string_view> View::text() const {
  if (!object_ || object_->type != msgpack::type::STR) return std::nullopt;
  return std::string_view(object_->via.str.ptr, object_->via.str.size);
}

std::optional<uint64_t> View::count() const {
  if (!object_ || object_->type != msgpack::type::POSITIVE_INTEGER) return std::nullopt;
  return object_->via.u64;
}

std::optional<double> View::amount() const {
  if (!object_) return std::nullopt;
  switch (object_->type) {
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(object_->via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(object_->via.i64);
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      if (std::isfinite(object_->via.f64)) return object_->via.f64;
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

std::optional<bool> View::flag() const {
  if (!object_ || object_->type != msgpack::type::BOOLEAN) return std::nullopt;
  return object_->via.boolean;
}

namespace {

// Two quotes, the text, and one more byte for each character that is escaped.
size_t json_size_of_text(std::string_view text) {
  constexpr size_t kQuotes = 2;
  const auto escaped = std::count_if(text.begin(), text.end(), [](char c) {
    return c == '"' || c == '\\' || static_cast<unsigned char>(c) < ' ';
  });
  return kQuotes + text.size() + static_cast<size_t>(escaped);
}

// The brackets, and a separator with a space between any two items.
size_t json_size_of_brackets(size_t items) {
  constexpr size_t kBrackets = 2;
  constexpr size_t kSeparator = 2;
  return kBrackets + kSeparator * (items > 0 ? items - 1 : 0);
}

}  // namespace

size_t json_size_of_count(uint64_t value) {
  return fmt::formatted_size("{}", value);
}

size_t json_size_of_amount(double value) {
  constexpr size_t kDecimalSuffix = 2;  // fmt prints "4" where other encoders print "4.0"
  return fmt::formatted_size("{}", value) + kDecimalSuffix;
}

size_t json_size(View value) {
  constexpr size_t kColon = 2;    // with the space after it
  constexpr size_t kLiteral = 5;  // the longest of null, true and false
  if (value.is_list()) {
    size_t size = json_size_of_brackets(value.size());
    for (size_t i = 0; i < value.size(); ++i) size += json_size(value.at(i));
    return size;
  }
  if (value.is_map()) {
    size_t size = json_size_of_brackets(value.map_size());
    for (size_t i = 0; i < value.map_size(); ++i) {
      size += json_size_of_text(value.key_at(i)) + kColon + json_size(value.value_at(i));
    }
    return size;
  }
  if (const auto text = value.text()) return json_size_of_text(*text);
  if (const auto count = value.count()) return json_size_of_count(*count);
  if (const auto amount = value.amount()) return json_size_of_amount(*amount);
  return kLiteral;
}

std::optional<Document> Document::parse(std::string_view bytes) {
  // Bounds for hostile input: no container may declare more elements than the input has bytes, and
  // values may be nested up to 24 levels deep.
  const size_t size = bytes.size();
  const msgpack::unpack_limit limits(size, size, size, size, size, 24);
  try {
    Document document;
    size_t used = 0;
    document.handle_ = msgpack::unpack(bytes.data(), size, used, nullptr, nullptr, limits);
    if (used != size) return std::nullopt;
    return document;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dunlinknot::wire
