#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace elderkeel::configuration {

// The document that a PATCH makes of `base`; both are JSON texts. What is removed goes before what
// is put. Errors: kInvalidArgument, with the reason that the operator is answered. The result need
// not be a valid configuration.
base::Result<std::string> ApplyPatch(std::string_view base, std::string_view patch);

}  // namespace elderkeel::configuration
