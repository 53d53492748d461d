/// \file
/// Limits of the key-value store: the current ones, and those that replace them at a time that is
/// not announced.
#pragma once

#include <algorithm>
#include <cstddef>

namespace dunebridge::config {

/// Combines the current and the next limits of the key-value store. Other code does not need to
/// know that there are two sets.
///
/// Request rates and the size of transactions respect the smaller of the two limits from the start,
/// which costs nothing. Values in the older record format, used until every controller supports the
/// newer one, may be as large as the current limit until the store rejects one.
class KvLimits {
  public:
    /// One set of limits.
    struct Set {
        double rps = 200;          ///< Requests per second.
        double write_rps = 80;     ///< Writes per second.
        double value_kb = 16;      ///< Largest value, in KiB.
        std::size_t txn_ops = 48;  ///< Largest number of writes in a transaction.
    };

    KvLimits() = default;
    /// No change of the limits is expected.
    explicit KvLimits(const Set& today) : KvLimits(today, today) {}
    KvLimits(const Set& today, const Set& next) : today_(today), next_(next) {}

    double rps() const { return std::min(today_.rps, next_.rps); }
    double write_rps() const { return std::min(today_.write_rps, next_.write_rps); }
    std::size_t txn_ops() const { return std::min(today_.txn_ops, next_.txn_ops); }
    /// Returns the largest number of preconditions in a transaction.
    std::size_t max_preconditions() const { return 4 * txn_ops(); }
    /// Returns the largest value, in bytes, that the store accepts under both sets of limits.
    std::size_t value_bytes() const { return bytes(std::min(today_.value_kb, next_.value_kb)); }
    /// Returns the largest value, in bytes, that the store is expected to accept at present.
    /// `lowered` means that the store has rejected a larger value, so the next limits apply.
    std::size_t value_bytes_now(bool lowered) const {
        return lowered ? value_bytes() : bytes(today_.value_kb);
    }

  private:
    static std::size_t bytes(double kb) { return static_cast<std::size_t>(kb * 1024); }

    Set today_;
    Set next_;
};

}  // namespace dunebridge::config
