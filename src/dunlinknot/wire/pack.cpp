#include "dunlinknot/wire/pack.hpp"

#include <cmath>

namespace dunlinknot::wire {

View View::operator[](std::string_view key) const {
  if (!is_map()) return View();
  const auto& m = o_->via.map;
  for (uint32_t i = 0; i < m.size; ++i) {
    const auto& k = m.ptr[i].key;
    if (k.type == msgpack::type::STR && std::string_view(k.via.str.ptr, k.via.str.size) == key) {
      return View(&m.ptr[i].val);
    }
  }
  return View();
}

std::optional<std::string_view> View::text() const {
  if (!o_ || o_->type != msgpack::type::STR) return std::nullopt;
  return std::string_view(o_->via.str.ptr, o_->via.str.size);
}

std::optional<uint64_t> View::count() const {
  if (!o_ || o_->type != msgpack::type::POSITIVE_INTEGER) return std::nullopt;
  return o_->via.u64;
}

std::optional<double> View::amount() const {
  if (!o_) return std::nullopt;
  switch (o_->type) {
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(o_->via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(o_->via.i64);
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      if (std::isfinite(o_->via.f64)) return o_->via.f64;
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

std::optional<bool> View::flag() const {
  if (!o_ || o_->type != msgpack::type::BOOLEAN) return std::nullopt;
  return o_->via.boolean;
}

std::optional<Document> Document::parse(std::string_view bytes) {
  // Hostile input: bounded depth, and no container may announce more than the bytes could hold.
  const size_t n = bytes.size();
  const msgpack::unpack_limit limits(n, n, n, n, n, 24);
  try {
    Document d;
    size_t used = 0;
    d.handle_ = msgpack::unpack(bytes.data(), n, used, nullptr, nullptr, limits);
    if (used != n) return std::nullopt;
    return d;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dunlinknot::wire
