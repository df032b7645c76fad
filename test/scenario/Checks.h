/// @file Safety checks over a whole run. The upstreams' own record is the witness, not the tier's
/// word.
#pragma once

#include <fakes/Fleet.h>
#include <load/Load.h>
#include <string>
#include <vector>

namespace sapphirewind::test {

/// What a check found wrong; empty when it holds.
using Violations = std::vector<std::string>;

/// Every answer is exactly the right page over the shards it states, of the one snapshot it states,
/// for its own query and request.
Violations
CheckAnswersCorrect(const std::vector<load::Sample>& aSamples,
                    const std::vector<model::Snapshot>& aSnapshots);

/// No request that was answered `not_run` stands in an upstream's record.
Violations
CheckRefusedNotExecuted(const std::vector<load::Sample>& aSamples,
                        const fakes::UpstreamRecord& aRecord);

/// No key ran more than once, and every key whose caller was told `ran` did run.
Violations
CheckBookingsAtMostOnce(const std::vector<load::Sample>& aSamples,
                        const fakes::UpstreamRecord& aRecord);

/// Every request got an answer.
Violations
CheckAllAnswered(const std::vector<load::Sample>& aSamples);

} // namespace sapphirewind::test
