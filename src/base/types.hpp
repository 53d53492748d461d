/// \file
/// Distinct types for identifiers, versions and times.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dunebridge {

/// Wraps a value in a distinct type, so that the compiler rejects, say, a job id in place of a
/// machine name. `Tag` is never defined; it only distinguishes the types.
template <class Tag, class T>
class StrongType {
  public:
    StrongType() = default;
    explicit StrongType(T value) : value_(std::move(value)) {}
    const T& get() const { return value_; }
    auto operator<=>(const StrongType&) const = default;

  private:
    T value_{};
};

using JobId = StrongType<struct JobIdTag, std::string>;
using MachineName = StrongType<struct MachineNameTag, std::string>;
using ControllerName = StrongType<struct ControllerNameTag, std::string>;

using Term = StrongType<struct TermTag, std::uint64_t>;
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
using KeyRevision = StrongType<struct KeyRevisionTag, std::uint64_t>;
using LeaseId = StrongType<struct LeaseIdTag, std::uint64_t>;
using CallId = StrongType<struct CallIdTag, std::uint64_t>;
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;

using Millis = std::chrono::milliseconds;
/// A duration in fractional seconds, for estimates and other calculations.
using Seconds = std::chrono::duration<double>;

/// Clock type for the time points that the controller is given. It has no now(): the I/O layer, or
/// a test, passes the current time in.
struct SteadyTime {
    using duration = Millis;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyTime, duration>;
    static constexpr bool is_steady = true;
};
using Instant = SteadyTime::time_point;

/// Converts seconds to milliseconds, rounded towards zero.
inline Millis from_seconds(double s) { return Millis(static_cast<std::int64_t>(s * 1000.0)); }
inline double to_seconds(Millis d) { return static_cast<double>(d.count()) / 1000.0; }

/// Orders the heartbeats of a worker: the larger (agent_epoch, sequence) is the newer one.
struct HeartbeatSequence {
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const HeartbeatSequence&) const = default;
};

/// Identifies one task of a job by its index, written as "req-000412/3".
struct TaskRef {
    JobId job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskRef&) const = default;
    std::string str() const { return job.get() + "/" + std::to_string(index); }
};

}  // namespace dunebridge

/// Hashes the wrapped value.
template <class Tag, class T>
struct std::hash<dunebridge::StrongType<Tag, T>> {
    std::size_t operator()(const dunebridge::StrongType<Tag, T>& v) const {
        return std::hash<T>{}(v.get());
    }
};
