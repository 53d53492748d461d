/// \file
/// All messages of the protocol as typed structs.
///
/// The wire package is the only place that knows the protocol's field names: each codec maps them
/// to the terms of the field that the rest of the code uses. docs/architecture.md lists the terms.
#pragma once

#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"
#include "wire/worker_messages.hpp"
