/// \file
/// Small types for ids, versions and times, so that one cannot be taken for another.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dunebridge {

/// A value with a type of its own, so that ids, versions and times cannot be confused.
template <class Tag, class T>
class Strong {
  public:
    Strong() = default;
    explicit Strong(T value) : value_(std::move(value)) {}
    const T& get() const { return value_; }
    auto operator<=>(const Strong&) const = default;

  private:
    T value_{};
};

using JobId = Strong<struct JobIdTag, std::string>;
using MachineName = Strong<struct MachineNameTag, std::string>;
using ControllerName = Strong<struct ControllerNameTag, std::string>;

using Term = Strong<struct TermTag, std::uint64_t>;
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
using Attempt = Strong<struct AttemptTag, std::uint64_t>;
using KeyRevision = Strong<struct KeyRevisionTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;
using CallId = Strong<struct CallIdTag, std::uint64_t>;
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;

using Millis = std::chrono::milliseconds;
/// Estimates and other spans that are computed with, in seconds and fractions of them.
using Seconds = std::chrono::duration<double>;

/// The steady clock as the core sees it; only the I/O layer (or a test) advances it.
struct SteadyTime {
    using duration = Millis;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyTime, duration>;
    static constexpr bool is_steady = true;
};
using Instant = SteadyTime::time_point;

inline Millis from_seconds(double s) { return Millis(static_cast<std::int64_t>(s * 1000.0)); }
inline double to_seconds(Millis d) { return static_cast<double>(d.count()) / 1000.0; }

/// The order of a worker's messages: the larger (session, sequence) is the newer one.
struct HeartbeatSequence {
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const HeartbeatSequence&) const = default;
};

/// One task of a job: "req-000412/3".
struct TaskRef {
    JobId job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskRef&) const = default;
    std::string str() const { return job.get() + "/" + std::to_string(index); }
};

}  // namespace dunebridge

/// Hashes as the value does.
template <class Tag, class T>
struct std::hash<dunebridge::Strong<Tag, T>> {
    std::size_t operator()(const dunebridge::Strong<Tag, T>& v) const {
        return std::hash<T>{}(v.get());
    }
};
