#include <engine/StoreMirror.h>

#include <algorithm>

namespace sapphirewind::engine {

void
OnMirroredPage(MirroredKind& aKind,
               const std::string& aAfter,
               std::shared_ptr<const std::string> aBody,
               base::Instant aNow)
{
  if (aAfter.empty()) {
    aKind.pagesToCome.clear();
  }
  aKind.pagesToCome[aAfter] = std::move(aBody);
  aKind.heardAt = aNow;
}

void
OnMirroredList(MirroredKind& aKind, uint64_t aRevision)
{
  aKind.pages = std::move(aKind.pagesToCome);
  aKind.pagesToCome.clear();
  aKind.listRevision = aRevision;
  aKind.revision = aRevision;
  aKind.history.clear();
  aKind.hasList = true;
}

void
OnMirroredChanges(MirroredKind& aKind,
                  uint64_t aTo,
                  MirroredNews aNews,
                  std::shared_ptr<const std::string> aBody,
                  base::Instant aNow)
{
  aKind.heardAt = aNow;
  if (aNews == MirroredNews::None || aTo <= aKind.revision) {
    return;
  }
  if (aNews == MirroredNews::Newest) {
    aKind.history.clear();
  }
  aKind.history.push_back({ .from = aKind.revision, .to = aTo, .body = std::move(aBody) });
  aKind.revision = aTo;
}

MirrorAnswer
FindChanges(const MirroredKind& aKind, uint64_t aRevision)
{
  if (!aKind.hasList || aRevision < aKind.listRevision) {
    return { .verdict = MirrorVerdict::Gone };
  }
  auto next =
    std::find_if(aKind.history.begin(),
                 aKind.history.end(),
                 [&](const MirroredKind::Changes& aChanges) { return aChanges.to > aRevision; });
  if (next == aKind.history.end()) {
    return { .verdict = MirrorVerdict::Wait };
  }
  return { .verdict = MirrorVerdict::Changes, .body = next->body };
}

bool
IsFresh(const MirroredKind& aKind, base::Duration aWithin, base::Instant aNow)
{
  return aKind.hasList && aNow - aKind.heardAt <= aWithin;
}

bool
IsOverfull(const MirroredKind& aKind)
{
  size_t bytes = 0;
  for (const MirroredKind::Changes& changes : aKind.history) {
    bytes += changes.body->size();
  }
  return bytes > kMostMirroredBytes;
}

} // namespace sapphirewind::engine
