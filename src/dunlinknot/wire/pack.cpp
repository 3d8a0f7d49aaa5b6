// Reading of MessagePack, and the size of a value in JSON.
#include "dunlinknot/wire/pack.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace dunlinknot::wire {

View View::operator[](std::string_view key) const {
  if (!is_map()) return View();
  const auto& m = object_->via.map;
  for (uint32_t i = 0; i < m.size; ++i) {
    const auto& k = m.ptr[i].key;
    if (k.type == msgpack::type::STR && std::string_view(k.via.str.ptr, k.via.str.size) == key) {
      return View(&m.ptr[i].val);
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

// Quotes, and twice the text where each of its characters might be escaped.
size_t json_size_of_text(std::string_view text) {
  constexpr size_t kQuotes = 2;
  const auto escaped = std::count_if(text.begin(), text.end(), [](char c) {
    return c == '"' || c == '\\' || static_cast<unsigned char>(c) < ' ';
  });
  return kQuotes + text.size() + static_cast<size_t>(escaped);
}

// Brackets, and a separator with its space between items.
size_t json_size_of_brackets(size_t items) {
  constexpr size_t kBrackets = 2;
  constexpr size_t kSeparator = 2;
  return kBrackets + kSeparator * (items > 0 ? items - 1 : 0);
}

}  // namespace

size_t json_size_of_count(uint64_t n) {
  return fmt::formatted_size("{}", n);
}

size_t json_size_of_amount(double d) {
  constexpr size_t kPointAndZero = 2;  // "4" here is "4.0" elsewhere
  return fmt::formatted_size("{}", d) + kPointAndZero;
}

size_t json_size(View value) {
  constexpr size_t kColon = 2;
  constexpr size_t kWord = 5;  // null, true, false
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
  return kWord;
}

std::optional<Document> Document::parse(std::string_view bytes) {
  // Hostile input: bounded depth, and no container may announce more than the bytes could hold.
  const size_t n = bytes.size();
  const msgpack::unpack_limit limits(n, n, n, n, n, 24);
  try {
    Document document;
    size_t used = 0;
    document.handle_ = msgpack::unpack(bytes.data(), n, used, nullptr, nullptr, limits);
    if (used != n) return std::nullopt;
    return document;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dunlinknot::wire
