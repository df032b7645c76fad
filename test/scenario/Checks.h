/// @file Safety checks over a whole run. They verify what instances answered against the records of
/// the fake upstreams.
#pragma once

#include <fakes/Fleet.h>
#include <load/Load.h>
#include <string>
#include <vector>

namespace sapphirewind::test {

/// The violations that a check found; empty if it holds.
using Violations = std::vector<std::string>;

/// Every answer is to its own request, and its hits are the correct page for its query over the
/// shards and the snapshot that it states.
Violations
CheckAnswersCorrect(const std::vector<load::Sample>& aSamples,
                    const std::vector<model::Snapshot>& aSnapshots);

/// No request that was answered with `not_run` is in an upstream's record.
Violations
CheckRefusedNotExecuted(const std::vector<load::Sample>& aSamples,
                        const fakes::UpstreamRecord& aRecord);

/// No booking key ran more than once, and every key that was answered with `ran` did run.
Violations
CheckBookingsAtMostOnce(const std::vector<load::Sample>& aSamples,
                        const fakes::UpstreamRecord& aRecord);

/// Every request was answered.
Violations
CheckAllAnswered(const std::vector<load::Sample>& aSamples);

} // namespace sapphirewind::test
