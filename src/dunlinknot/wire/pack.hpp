// Reading and writing MessagePack. Reading never trusts what it gets: a missing or odd field is an
// empty optional, and the caller decides what that means.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dunlinknot::wire {

class View {
 public:
  View() = default;
  explicit View(const msgpack::object* o) : o_(o) {}

  View operator[](std::string_view key) const;
  bool null() const { return !o_ || o_->type == msgpack::type::NIL; }
  bool is_map() const { return o_ && o_->type == msgpack::type::MAP; }
  bool is_list() const { return o_ && o_->type == msgpack::type::ARRAY; }
  size_t size() const { return is_list() ? o_->via.array.size : 0; }
  View at(size_t i) const { return View(&o_->via.array.ptr[i]); }
  size_t map_size() const { return is_map() ? o_->via.map.size : 0; }
  std::string_view key_at(size_t i) const {
    return View(&o_->via.map.ptr[i].key).text().value_or(std::string_view());
  }
  View value_at(size_t i) const { return View(&o_->via.map.ptr[i].val); }

  std::optional<std::string_view> text() const;
  std::optional<uint64_t> count() const;  // a whole number of at least 0
  std::optional<double> amount() const;   // whole or decimal, finite
  std::optional<bool> flag() const;

 private:
  const msgpack::object* o_ = nullptr;
};

class Document {
 public:
  static std::optional<Document> parse(std::string_view bytes);
  View root() const { return View(&handle_.get()); }

 private:
  msgpack::object_handle handle_;
};

class Writer {
 public:
  Writer& map(size_t n) { return p_.pack_map(static_cast<uint32_t>(n)), *this; }
  Writer& list(size_t n) { return p_.pack_array(static_cast<uint32_t>(n)), *this; }
  Writer& text(std::string_view s) {
    p_.pack_str(static_cast<uint32_t>(s.size()));
    p_.pack_str_body(s.data(), static_cast<uint32_t>(s.size()));
    return *this;
  }
  Writer& key(std::string_view s) { return text(s); }
  Writer& count(uint64_t n) { return p_.pack_uint64(n), *this; }
  Writer& amount(double d) { return p_.pack_double(d), *this; }
  Writer& flag(bool b) { return b ? (p_.pack_true(), *this) : (p_.pack_false(), *this); }
  Writer& null() { return p_.pack_nil(), *this; }
  // A value packed before.
  Writer& raw(std::string_view packed) {
    buffer_.write(packed.data(), packed.size());
    return *this;
  }
  std::string take() const { return std::string(buffer_.data(), buffer_.size()); }
  size_t size() const { return buffer_.size(); }

 private:
  msgpack::sbuffer buffer_{512};
  msgpack::packer<msgpack::sbuffer> p_{buffer_};
};

// The size of a value in JSON, with a space after each separator: no smaller than what an outside
// service counts that limits its values in that form.
size_t json_size(View value);
// The same for one number, as part of a value.
size_t json_size_of_amount(double d);
size_t json_size_of_count(uint64_t n);

}  // namespace dunlinknot::wire
