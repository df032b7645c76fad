#include <telemetry/Events.h>

namespace sapphirewind::telemetry {

const std::vector<EventInfo>&
AllEvents()
{
  static const std::vector<EventInfo> kEvents = {
    { Event::Started, Level::Info, "Started" },
    { Event::Ready, Level::Info, "Ready" },
    { Event::Stopping, Level::Info, "Stopping" },
    { Event::Drained, Level::Info, "Drained" },
    { Event::Stopped, Level::Info, "Stopped" },
    { Event::StopForced, Level::Error, "StopForced" },
    { Event::CannotStart, Level::Error, "CannotStart" },
    { Event::SettingsReloaded, Level::Info, "SettingsReloaded" },
    { Event::LogLinesDropped, Level::Warning, "LogLinesDropped" },
    { Event::ClockJumped, Level::Warning, "ClockJumped" },
    { Event::LoopStalled, Level::Warning, "LoopStalled" },
    { Event::ConfigurationInForce, Level::Info, "ConfigurationInForce" },
    { Event::ConfigurationRejected, Level::Error, "ConfigurationRejected" },
    { Event::ObjectMalformed, Level::Error, "ObjectMalformed" },
    { Event::StoreLost, Level::Warning, "StoreLost" },
    { Event::StoreBack, Level::Info, "StoreBack" },
    { Event::StoreHistoryGone, Level::Info, "StoreHistoryGone" },
    { Event::RegistrationFailed, Level::Warning, "RegistrationFailed" },
    { Event::InstancesCounted, Level::Info, "InstancesCounted" },
    { Event::MirrorFailed, Level::Info, "MirrorFailed" },
    { Event::StoreCallFailed, Level::Info, "StoreCallFailed" },
    { Event::MemberChanged, Level::Info, "MemberChanged" },
    { Event::RumourRefuted, Level::Info, "RumourRefuted" },
    { Event::PeerMessageRefused, Level::Warning, "PeerMessageRefused" },
    { Event::PeerUnreachable, Level::Warning, "PeerUnreachable" },
    { Event::CellOpened, Level::Debug, "CellOpened" },
    { Event::CellClosed, Level::Debug, "CellClosed" },
    { Event::ServerEjected, Level::Warning, "ServerEjected" },
    { Event::ServerLeaving, Level::Info, "ServerLeaving" },
    { Event::ServerLost, Level::Warning, "ServerLost" },
    { Event::AnswerDiscarded, Level::Warning, "AnswerDiscarded" },
    { Event::ServerShed, Level::Debug, "ServerShed" },
    { Event::ServerTakenIn, Level::Info, "ServerTakenIn" },
    { Event::ServerLimited, Level::Info, "ServerLimited" },
    { Event::ServerLimitEnded, Level::Info, "ServerLimitEnded" },
    { Event::ServerEntryKept, Level::Info, "ServerEntryKept" },
    { Event::ServerEntryExpired, Level::Info, "ServerEntryExpired" },
    { Event::RequestSuspect, Level::Warning, "RequestSuspect" },
    { Event::RequestCondemned, Level::Error, "RequestCondemned" },
    { Event::RequestCleared, Level::Info, "RequestCleared" },
    { Event::ServerHeaderMalformed, Level::Info, "ServerHeaderMalformed" },
    { Event::ServerHeld, Level::Info, "ServerHeld" },
    { Event::QuarantineLearned, Level::Info, "QuarantineLearned" },
    { Event::QuarantineNotLearned, Level::Warning, "QuarantineNotLearned" },
    { Event::SnapshotRestart, Level::Info, "SnapshotRestart" },
    { Event::SnapshotProven, Level::Info, "SnapshotProven" },
    { Event::AttemptFailed, Level::Info, "AttemptFailed" },
    { Event::RequestEnded, Level::Info, "RequestEnded" },
    { Event::CallerLeft, Level::Info, "CallerLeft" },
    { Event::RequestRejected, Level::Info, "RequestRejected" },
    { Event::BookingUnknown, Level::Warning, "BookingUnknown" },
    { Event::ClaimGivenUp, Level::Info, "ClaimGivenUp" },
    { Event::ClaimWriteFailed, Level::Warning, "ClaimWriteFailed" },
    { Event::AlertFiring, Level::Warning, "AlertFiring" },
    { Event::AlertResolved, Level::Info, "AlertResolved" },
  };
  return kEvents;
}

} // namespace sapphirewind::telemetry
