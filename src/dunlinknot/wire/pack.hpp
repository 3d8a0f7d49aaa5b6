// Reads and writes MessagePack. Input is not trusted: a field that is missing or has an unexpected
// type is read as an empty optional, and the caller decides how to handle it.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dunlinknot::wire {

// A reference to a value inside a Document, which must outlive the view. The view of a missing
// field is empty; it reads like a nil value.
class View {
 public:
  View() = default;
  explicit View(const msgpack::object* object) : object_(object) {}

  // The field `key` of a map; an empty view if there is none or this is not a map.
  View operator[](std::string_view key) const;
  bool null() const { return !object_ || object_->type == msgpack::type::NIL; }
  bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
  bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }
  size_t size() const { return is_list() ? object_->via.array.size : 0; }
  // `index` must be less than size().
  View at(size_t index) const { return View(&object_->via.array.ptr[index]); }
  size_t map_size() const { return is_map() ? object_->via.map.size : 0; }
  // `index` must be less than map_size(). A key that is not text is returned as an empty string.
  std::string_view key_at(size_t index) const {
    return View(&object_->via.map.ptr[index].key).text().value_or(std::string_view());
  }
  View value_at(size_t index) const { return View(&object_->via.map.ptr[index].val); }

  std::optional<std::string_view> text() const;
  std::optional<uint64_t> count() const;  // a non-negative integer
  std::optional<double> amount() const;   // an integer or a finite decimal
  std::optional<bool> flag() const;

 private:
  const msgpack::object* object_ = nullptr;
};

// A parsed message. It owns the memory that its views refer to.
class Document {
 public:
  // Empty unless `bytes` are exactly one valid value.
  static std::optional<Document> parse(std::string_view bytes);
  View root() const { return View(&handle_.get()); }

 private:
  msgpack::object_handle handle_;
};

// Packs one value, element by element. The size of a map or list is written before its elements,
// and the caller must then write exactly as many.
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
  // Appends a value that is packed already.
  Writer& raw(std::string_view packed) {
    buffer_.write(packed.data(), packed.size());
    return *this;
  }
  // A copy of the bytes written so far.
  std::string take() const { return std::string(buffer_.data(), buffer_.size()); }
  size_t size() const { return buffer_.size(); }

 private:
  msgpack::sbuffer buffer_{512};
  msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

// Returns the size in bytes of a value encoded as JSON, with a space after each separator. This is
// an upper bound of the size that the key-value store counts against its limit for values.
size_t json_size(View value);
// Return the same bound for a number inside a value.
size_t json_size_of_amount(double value);
size_t json_size_of_count(uint64_t value);

}  // namespace dunlinknot::wire
