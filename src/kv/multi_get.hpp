/// \file
/// Reads many keys that share a prefix with few requests.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kv/connection.hpp"
#include "kv/results.hpp"

namespace dunebridge::kv {

/// One read of many keys in progress. It owns itself through the callbacks of its requests.
///
/// The store has no request for a set of keys. Pages of a listing that begins just before the next
/// wanted key are read instead, including what lies between the wanted keys; a single key that is
/// left is read by itself.
class MultiGet : public std::enable_shared_from_this<MultiGet> {
  public:
    /// Called once, when all keys have been read or one could not be. For no keys it is called
    /// before start() returns.
    using OnRead = std::function<void(const MultiGetResult&)>;

    /// Reads the keys that are the prefix followed by one of the names. Names end in a digit.
    /// The timeout is that of each request. The connection must outlive the read.
    static void start(KvConnection& connection, std::string prefix, std::vector<std::string> names,
                      Millis timeout, OnRead on_read);

  private:
    MultiGet(KvConnection& connection, std::string prefix, std::vector<std::string> names,
             Millis timeout, OnRead on_read);

    void request_next();
    void request_page();
    void request_single_key();
    void handle_page(const sansio::HttpResult& response);
    void handle_single_key(const std::string& key, const sansio::HttpResult& response);

    std::size_t remaining() const { return names_.size() - next_; }
    std::string next_key() const { return prefix_ + names_[next_]; }

    KvConnection& connection_;
    std::string prefix_;
    std::vector<std::string> names_;  ///< Sorted.
    std::size_t next_ = 0;            ///< Index of the first name that has not been read.
    Millis timeout_;
    OnRead on_read_;
    MultiGetResult result_;
};

}  // namespace dunebridge::kv
