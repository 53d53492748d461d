/// \file
/// Reads and writes MessagePack. Reading accepts every encoding of a value that the protocol
/// allows.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "wire/decode_error.hpp"

namespace dunebridge::wire {

/// Maximum size of a request body, in bytes.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

/// A view of one decoded value, valid as long as its Document. For an absent value it is a view of
/// nil.
class Value {
  public:
    Value() = default;
    explicit Value(const msgpack::object& o) : object_(&o) {}

    bool is_null() const { return !object_ || object_->type == msgpack::type::NIL; }
    bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
    bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }

    /// Returns a field of a map; nil if this is not a map or has no such field.
    Value operator[](std::string_view name) const;
    /// Returns the number of elements of a list; 0 if this is not a list.
    std::size_t size() const { return is_list() ? object_->via.array.size : 0; }
    /// Returns an element of a list. The value must be a list, and `i` less than size().
    Value at(std::size_t i) const { return Value(object_->via.array.ptr[i]); }
    /// Returns whether this is a map with a field of that name that is not nil.
    bool contains(std::string_view name) const;

    /// Returns a string; nullopt if the value is of another type.
    std::optional<std::string_view> text() const;
    /// Returns an integer or a finite float; nullopt if the value is of another type.
    std::optional<double> number() const;
    /// Returns a non-negative integer; nullopt if the value is anything else. A float is accepted
    /// if it is a whole number up to 2^53, because whole numbers may be sent as floats.
    std::optional<std::uint64_t> count() const;
    /// Returns a boolean; nullopt if the value is of another type.
    std::optional<bool> boolean() const;

    /// Returns the same as text(), number(), count() and boolean(), but throws a DecodeError that
    /// names the field where they return nullopt.
    std::string need_text(const char* field) const;
    double need_number(const char* field) const;
    std::uint64_t need_count(const char* field) const;
    bool need_bool(const char* field) const;

    /// Returns the value encoded as MessagePack.
    std::string pack() const;

  private:
    const msgpack::object* object_ = nullptr;
};

/// Owns a decoded message. Views of its values are valid as long as it exists.
class Document {
  public:
    Document() = default;
    /// Decodes a message; nullopt if the bytes are not exactly one MessagePack value, or exceed the
    /// limits on depth and size.
    static std::optional<Document> parse(std::string_view bytes);
    /// Like parse(), but throws DecodeError instead of returning nullopt.
    static Document parse_or_throw(std::string_view bytes);
    Value root() const { return Value(handle_.get()); }

  private:
    msgpack::object_handle handle_;
};

/// Output buffer of the writer.
using Buffer = msgpack::sbuffer;

/// Writes a message as MessagePack. Maps and lists begin with their number of fields or elements,
/// as MessagePack requires; the caller must then write exactly that many. A field is a name written
/// with text() and a value. The writer also computes an upper bound of the size of the message as
/// JSON, because the key-value store's size limits apply to the JSON form.
class Writer {
  public:
    Writer() : packer_(buffer_) {}
    Writer& map(std::size_t n) {
        json_size_ += kJsonBracketsBytes;
        packer_.pack_map(static_cast<std::uint32_t>(n));
        return *this;
    }
    Writer& list(std::size_t n) {
        json_size_ += kJsonBracketsBytes;
        packer_.pack_array(static_cast<std::uint32_t>(n));
        return *this;
    }
    Writer& text(std::string_view s) {
        json_size_ += json_text_size(s);
        packer_.pack_str(static_cast<std::uint32_t>(s.size()));
        packer_.pack_str_body(s.data(), static_cast<std::uint32_t>(s.size()));
        return *this;
    }
    Writer& count(std::uint64_t v) {
        std::size_t digits = 1;
        for (auto rest = v; rest >= 10; rest /= 10) ++digits;
        json_size_ += digits + 1;
        packer_.pack_uint64(v);
        return *this;
    }
    Writer& number(double v) {
        json_size_ += kJsonNumberBytes;
        packer_.pack_double(v);
        return *this;
    }
    Writer& boolean(bool v) {
        json_size_ += kJsonBooleanBytes;
        if (v) {
            packer_.pack_true();
        } else {
            packer_.pack_false();
        }
        return *this;
    }
    Writer& null() {
        json_size_ += kJsonNullBytes;
        packer_.pack_nil();
        return *this;
    }
    /// Appends a value that is already encoded. `json_size` is the size of its JSON form;
    /// json_size() is too low if this argument is left out.
    Writer& raw(std::string_view packed, std::size_t json_size = 0) {
        json_size_ += json_size;
        buffer_.write(packed.data(), packed.size());
        return *this;
    }
    /// Returns the number of bytes of MessagePack written so far.
    std::size_t size() const { return buffer_.size(); }
    /// Returns an upper bound of the size of the message as JSON, in bytes.
    std::size_t json_size() const { return json_size_; }
    /// Returns a copy of the bytes written so far.
    std::string take() { return std::string(buffer_.data(), buffer_.size()); }

  private:
    // Upper bounds of the JSON sizes in bytes, including the separator that follows.
    static constexpr std::size_t kJsonBracketsBytes = 3;
    static constexpr std::size_t kJsonNumberBytes = 25;
    static constexpr std::size_t kJsonBooleanBytes = 6;
    static constexpr std::size_t kJsonNullBytes = 5;

    /// Returns the JSON size of a string in bytes, with quotes, escapes and the separator that
    /// follows.
    static std::size_t json_text_size(std::string_view s) {
        std::size_t n = 3;
        for (const char c : s)
            n += c == '"' || c == '\\' ? 2 : static_cast<unsigned char>(c) < 32 ? 6 : 1;
        return n;
    }

    Buffer buffer_;
    msgpack::packer<Buffer> packer_;
    std::size_t json_size_ = 0;
};

}  // namespace dunebridge::wire
