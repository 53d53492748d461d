/// \file
/// Reading and writing of MessagePack, tolerant of what the protocol lets a peer send.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "wire/decode_error.hpp"

namespace dunebridge::wire {

/// The largest body of a request that is accepted, in bytes.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

/// A view of one decoded value, valid as long as its Document. An absent or null value is a view of
/// nil.
class Value {
  public:
    Value() = default;
    explicit Value(const msgpack::object& o) : object_(&o) {}

    bool is_null() const { return !object_ || object_->type == msgpack::type::NIL; }
    bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
    bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }

    /// Field of a map; nil if this is not a map or has no such field.
    Value operator[](std::string_view name) const;
    std::size_t size() const { return is_list() ? object_->via.array.size : 0; }
    Value at(std::size_t i) const { return Value(object_->via.array.ptr[i]); }
    bool contains(std::string_view name) const;

    /// Empty if of another type. Whole numbers may come as integers or as floats.
    std::optional<std::string_view> text() const;
    std::optional<double> number() const;
    std::optional<std::uint64_t> count() const;
    std::optional<bool> boolean() const;

    /// As above, throwing DecodeError that names the field.
    std::string need_text(const char* field) const;
    double need_number(const char* field) const;
    std::uint64_t need_count(const char* field) const;
    bool need_bool(const char* field) const;

    /// Packs the value as it is.
    std::string pack() const;

  private:
    const msgpack::object* object_ = nullptr;
};

/// Owns a decoded body.
class Document {
  public:
    Document() = default;
    /// Empty if the bytes are not MessagePack.
    static std::optional<Document> parse(std::string_view bytes);
    /// Throws DecodeError if they are not.
    static Document parse_or_throw(std::string_view bytes);
    Value root() const { return Value(handle_.get()); }

  private:
    msgpack::object_handle handle_;
};

/// Bytes of a message that is being written.
using Buffer = msgpack::sbuffer;

/// Writer of maps and lists. The caller states sizes first, as MessagePack requires. It also adds
/// up the size in JSON, never too low, since the limits of the key-value store count that form.
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
    /// Appends a value packed earlier, of that size in JSON.
    Writer& raw(std::string_view packed, std::size_t json_size = 0) {
        json_size_ += json_size;
        buffer_.write(packed.data(), packed.size());
        return *this;
    }
    std::size_t size() const { return buffer_.size(); }
    std::size_t json_size() const { return json_size_; }
    std::string take() { return std::string(buffer_.data(), buffer_.size()); }

  private:
    // Bytes in JSON, each with the separator that follows.
    static constexpr std::size_t kJsonBracketsBytes = 3;
    static constexpr std::size_t kJsonNumberBytes = 25;
    static constexpr std::size_t kJsonBooleanBytes = 6;
    static constexpr std::size_t kJsonNullBytes = 5;

    /// With the separator that follows.
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
