// Reading and writing MessagePack. Reading never trusts what it gets: a missing or odd field is an
// empty optional, and the caller decides what that means.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dunlinknot::wire {

// A value inside a Document, which must outlive it; also of a field that is not there.
class View {
 public:
  View() = default;
  explicit View(const msgpack::object* object) : object_(object) {}

  View operator[](std::string_view key) const;
  bool null() const { return !object_ || object_->type == msgpack::type::NIL; }
  bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
  bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }
  size_t size() const { return is_list() ? object_->via.array.size : 0; }
  View at(size_t index) const { return View(&object_->via.array.ptr[index]); }
  size_t map_size() const { return is_map() ? object_->via.map.size : 0; }
  std::string_view key_at(size_t index) const {
    return View(&object_->via.map.ptr[index].key).text().value_or(std::string_view());
  }
  View value_at(size_t index) const { return View(&object_->via.map.ptr[index].val); }

  std::optional<std::string_view> text() const;
  std::optional<uint64_t> count() const;  // a whole number of at least 0
  std::optional<double> amount() const;   // whole or decimal, finite
  std::optional<bool> flag() const;

 private:
  const msgpack::object* object_ = nullptr;
};

// A parsed message; owns what its views point into.
class Document {
 public:
  static std::optional<Document> parse(std::string_view bytes);
  View root() const { return View(&handle_.get()); }

 private:
  msgpack::object_handle handle_;
};

// Packs one value, element by element; maps and lists are announced with their size.
class Writer {
 public:
  Writer& map(size_t size) { return packer_.pack_map(static_cast<uint32_t>(size)), *this; }
  Writer& list(size_t size) { return packer_.pack_array(static_cast<uint32_t>(size)), *this; }
  Writer& text(std::string_view value) {
    packer_.pack_str(static_cast<uint32_t>(value.size()));
    packer_.pack_str_body(value.data(), static_cast<uint32_t>(value.size()));
    return *this;
  }
  Writer& key(std::string_view name) { return text(name); }
  Writer& count(uint64_t value) { return packer_.pack_uint64(value), *this; }
  Writer& amount(double value) { return packer_.pack_double(value), *this; }
  Writer& flag(bool value) {
    return value ? (packer_.pack_true(), *this) : (packer_.pack_false(), *this);
  }
  Writer& null() { return packer_.pack_nil(), *this; }
  // A value packed before.
  Writer& raw(std::string_view packed) {
    buffer_.write(packed.data(), packed.size());
    return *this;
  }
  std::string take() const { return std::string(buffer_.data(), buffer_.size()); }
  size_t size() const { return buffer_.size(); }

 private:
  msgpack::sbuffer buffer_{512};
  msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

// The size of a value in JSON, with a space after each separator: no smaller than what an outside
// service counts that limits its values in that form.
size_t json_size(View value);
// The same for one number, as part of a value.
size_t json_size_of_amount(double value);
size_t json_size_of_count(uint64_t value);

}  // namespace dunlinknot::wire
