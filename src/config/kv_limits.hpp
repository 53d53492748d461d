/// \file
/// Limits of the key-value store: those in force today, and those that come into force at some
/// moment that is not announced.
#pragma once

#include <algorithm>
#include <cstddef>

namespace dunebridge::config {

/// The only place that knows both sets of limits. What can keep to the smaller of them at no cost
/// does so from the start: rates and the size of transactions. Values of the record format that is
/// in force before all controllers know the new one may be as large as today's until the store
/// refuses one.
class KvLimits {
  public:
    struct Set {
        double rps = 200;          ///< Requests a second.
        double write_rps = 80;     ///< Writes a second.
        double value_kb = 16;      ///< Size of a value.
        std::size_t txn_ops = 48;  ///< Writes of a transaction.
    };

    KvLimits() = default;
    explicit KvLimits(const Set& today) : KvLimits(today, today) {}
    KvLimits(const Set& today, const Set& next) : today_(today), next_(next) {}

    double rps() const { return std::min(today_.rps, next_.rps); }
    double write_rps() const { return std::min(today_.write_rps, next_.write_rps); }
    std::size_t txn_ops() const { return std::min(today_.txn_ops, next_.txn_ops); }
    /// Preconditions of a transaction.
    std::size_t max_preconditions() const { return 4 * txn_ops(); }
    /// The size of a value that is accepted whenever it is sent.
    std::size_t value_bytes() const { return bytes(std::min(today_.value_kb, next_.value_kb)); }
    /// The size of a value that is accepted now, as far as is known: `lowered` says that the store
    /// has refused a larger value, so that the next limits are in force.
    std::size_t value_bytes_now(bool lowered) const {
        return lowered ? value_bytes() : bytes(today_.value_kb);
    }

  private:
    static std::size_t bytes(double kb) { return static_cast<std::size_t>(kb * 1024); }

    Set today_;
    Set next_;
};

}  // namespace dunebridge::config
