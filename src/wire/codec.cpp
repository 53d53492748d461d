#include "wire/codec.hpp"

#include <cmath>

namespace dunebridge::wire {

namespace {
// 2^53. Above it a double no longer represents every integer exactly.
constexpr double kLargestExactInteger = 9007199254740992.0;
// Limits on the elements of one list or map, and on the bytes of one string.
constexpr std::size_t kMaxItems = 0x100000;
constexpr std::size_t kMaxTextBytes = 0x4000000;
// Limits recursion, so that a malicious body cannot exhaust the stack.
constexpr std::size_t kMaxDepth = 64;
}  // namespace

Value Value::operator[](std::string_view name) const {
    if (!is_map()) return Value();
    const auto& map = object_->via.map;
    for (std::uint32_t i = 0; i < map.size; ++i) {
        const auto& key = map.ptr[i].key;
        if (key.type == msgpack::type::STR &&
            std::string_view(key.via.str.ptr, key.via.str.size) == name) {
            return Value(map.ptr[i].val);
        }
    }
    return Value();
}

bool Value::contains(std::string_view name) const { return !(*this)[name].is_null(); }

std::optional<std::string_view> Value::text() const {
    if (!object_ || object_->type != msgpack::type::STR) return std::nullopt;
    return std::string_view(object_->via.str.ptr, object_->via.str.size);
}

std::optional<double> Value::number() const {
    if (!object_) return std::nullopt;
    switch (object_->type) {
        case msgpack::type::POSITIVE_INTEGER:
            return static_cast<double>(object_->via.u64);
        case msgpack::type::NEGATIVE_INTEGER:
            return static_cast<double>(object_->via.i64);
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            if (!std::isfinite(object_->via.f64)) return std::nullopt;
            return object_->via.f64;
        default:
            return std::nullopt;
    }
}

std::optional<std::uint64_t> Value::count() const {
    if (!object_) return std::nullopt;
    if (object_->type == msgpack::type::POSITIVE_INTEGER) return object_->via.u64;
    const auto n = number();
    if (!n || *n < 0 || *n > kLargestExactInteger || *n != std::floor(*n)) return std::nullopt;
    return static_cast<std::uint64_t>(*n);
}

std::optional<bool> Value::boolean() const {
    if (!object_ || object_->type != msgpack::type::BOOLEAN) return std::nullopt;
    return object_->via.boolean;
}

namespace {
template <class T>
T need(std::optional<T> v, const char* field) {
    if (!v) throw DecodeError(std::string(field));
    return *v;
}
}  // namespace

std::string Value::need_text(const char* field) const { return std::string(need(text(), field)); }
double Value::need_number(const char* field) const { return need(number(), field); }
std::uint64_t Value::need_count(const char* field) const { return need(count(), field); }
bool Value::need_bool(const char* field) const { return need(boolean(), field); }

std::string Value::pack() const {
    Buffer buffer;
    if (object_) {
        msgpack::pack(buffer, *object_);
    } else {
        msgpack::packer<Buffer>(buffer).pack_nil();
    }
    return std::string(buffer.data(), buffer.size());
}

std::optional<Document> Document::parse(std::string_view bytes) {
    try {
        Document doc;
        std::size_t offset = 0;
        doc.handle_ = msgpack::unpack(
            bytes.data(), bytes.size(), offset, nullptr, nullptr,
            msgpack::unpack_limit(kMaxItems, kMaxItems, kMaxTextBytes, 0, 0, kMaxDepth));
        if (offset != bytes.size()) return std::nullopt;
        return doc;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

Document Document::parse_or_throw(std::string_view bytes) {
    auto document = parse(bytes);
    if (!document) throw DecodeError(DecodeProblem::not_messagepack);
    return std::move(*document);
}

}  // namespace dunebridge::wire
