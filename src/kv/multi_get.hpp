/// \file
/// Reads several keys that share a prefix with few requests.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kv/connection.hpp"
#include "kv/results.hpp"

namespace dunebridge::kv {

/// A read of several keys that is in progress. The callbacks of its pending requests own it.
///
/// The store has no request that reads a set of keys. This class lists pages that begin just before
/// the next requested key instead, and skips other keys that lie between the requested ones. If a
/// single key remains, it is read with a request of its own.
class MultiGet : public std::enable_shared_from_this<MultiGet> {
  public:
    /// Called once, when all keys have been read or a request has failed. If there are no keys, it
    /// is called before start() returns.
    using OnRead = std::function<void(const MultiGetResult&)>;

    /// Reads the keys formed by the prefix and each of the names. Each name must end in a digit.
    /// The timeout applies to each request. The connection must outlive the operation.
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
    std::size_t next_ = 0;            ///< Index of the first name that is still to be read.
    Millis timeout_;
    OnRead on_read_;
    MultiGetResult result_;
};

}  // namespace dunebridge::kv
