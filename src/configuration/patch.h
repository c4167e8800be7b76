#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace elderkeel::configuration {

// Returns the document that results from applying `patch` to `base`; both are JSON texts. Removals
// are applied before upserts. The result is not checked to be a valid configuration. Error:
// kInvalidArgument, with a reason that is sent to the operator.
base::Result<std::string> ApplyPatch(std::string_view base, std::string_view patch);

}  // namespace elderkeel::configuration
