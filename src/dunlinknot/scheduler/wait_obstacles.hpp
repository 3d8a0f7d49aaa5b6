// Distinguishes, for the log, the decisions that keep a job off machines that have room for it.
#pragma once
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The cause to report for a job none of whose tasks was placed. If the job has waited for long and
// `cause` is a lack of room, although a ready machine that the job may use has room for one of its
// tasks: what keeps the job off such a machine. Otherwise `cause`.
WaitCause refined_cause(CycleState& state, const Job& job, WaitCause cause);

}  // namespace dunlinknot::scheduler
