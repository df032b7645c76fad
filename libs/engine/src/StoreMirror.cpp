#include <engine/StoreMirror.h>

#include <algorithm>

namespace sapphirewind::engine {

void
AddListPage(MirrorCache& aCache,
            const std::string& aAfter,
            std::shared_ptr<const RelayedBody> aBody,
            base::Instant aNow)
{
  if (aAfter.empty()) {
    aCache.pendingPages.clear();
  }
  aCache.pendingPages[aAfter] = std::move(aBody);
  aCache.lastAnswerAt = aNow;
}

void
CommitList(MirrorCache& aCache, uint64_t aRevision)
{
  aCache.pages = std::move(aCache.pendingPages);
  aCache.pendingPages.clear();
  aCache.listRevision = aRevision;
  aCache.revision = aRevision;
  aCache.history.clear();
  aCache.hasList = true;
}

void
AddChanges(MirrorCache& aCache,
           uint64_t aTo,
           MirroredUpdate aUpdate,
           std::shared_ptr<const RelayedBody> aBody,
           base::Instant aNow)
{
  aCache.lastAnswerAt = aNow;
  if (aUpdate == MirroredUpdate::None || aTo <= aCache.revision) {
    return;
  }
  if (aUpdate == MirroredUpdate::FullState) {
    aCache.history.clear();
  }
  aCache.history.push_back({ .from = aCache.revision, .to = aTo, .body = std::move(aBody) });
  aCache.revision = aTo;
}

WatchResponse
FindChanges(const MirrorCache& aCache, uint64_t aRevision)
{
  if (!aCache.hasList || aRevision < aCache.listRevision) {
    return { .status = WatchStatus::Gone };
  }
  auto next =
    std::find_if(aCache.history.begin(),
                 aCache.history.end(),
                 [&](const MirrorCache::Changes& aChanges) { return aChanges.to > aRevision; });
  if (next == aCache.history.end()) {
    return { .status = WatchStatus::Wait };
  }
  return { .status = WatchStatus::Changes, .body = next->body };
}

bool
IsFresh(const MirrorCache& aCache, base::Duration aWithin, base::Instant aNow)
{
  return aCache.hasList && aNow - aCache.lastAnswerAt <= aWithin;
}

bool
IsOverSizeLimit(const MirrorCache& aCache)
{
  size_t bytes = 0;
  for (const MirrorCache::Changes& changes : aCache.history) {
    bytes += changes.body->Text().size();
  }
  return bytes > kMaxMirroredBytes;
}

} // namespace sapphirewind::engine
