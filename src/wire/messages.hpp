/// \file
/// Includes all messages of the protocol as typed structs.
///
/// Each codec maps the protocol's field names to the standard terms that the rest of the code uses.
/// docs/architecture.md lists the terms. Responses of the key-value store are decoded in the kv
/// package.
#pragma once

#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"
#include "wire/worker_messages.hpp"
