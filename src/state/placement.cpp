#include "state/placement.hpp"

#include "state/job.hpp"

namespace dunebridge::state {

TaskRef Placement::ref() const { return {job->spec.id, index}; }

}  // namespace dunebridge::state
