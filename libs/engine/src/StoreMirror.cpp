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
CommitList(MirrorCache& aCache, const directory::StorePosition& aPosition)
{
  aCache.pages = std::move(aCache.pendingPages);
  aCache.pendingPages.clear();
  aCache.listPosition = aPosition;
  aCache.position = aPosition;
  aCache.history.clear();
  aCache.hasList = true;
  aCache.renewing = false;
}

void
BeginEra(MirrorCache& aCache)
{
  aCache.pages.clear();
  aCache.pendingPages.clear();
  aCache.history.clear();
  aCache.renewing = aCache.renewing || aCache.hasList;
  aCache.hasList = false;
}

void
AddChanges(MirrorCache& aCache,
           const directory::StorePosition& aTo,
           MirroredUpdate aUpdate,
           std::shared_ptr<const RelayedBody> aBody,
           base::Instant aNow)
{
  aCache.lastAnswerAt = aNow;
  if (aUpdate == MirroredUpdate::None || aTo <= aCache.position) {
    return;
  }
  if (aUpdate == MirroredUpdate::FullState) {
    aCache.history.clear();
  }
  aCache.history.push_back({ .from = aCache.position, .to = aTo, .body = std::move(aBody) });
  aCache.position = aTo;
}

WatchResponse
FindChanges(const MirrorCache& aCache, const directory::StorePosition& aPosition)
{
  if (aCache.renewing) {
    return { .status = WatchStatus::Wait };
  }
  if (!aCache.hasList || aPosition < aCache.listPosition) {
    return { .status = WatchStatus::Gone };
  }
  if (aPosition.era > aCache.position.era) {
    return { .status = WatchStatus::Behind };
  }
  auto next =
    std::find_if(aCache.history.begin(),
                 aCache.history.end(),
                 [&](const MirrorCache::Changes& aChanges) { return aChanges.to > aPosition; });
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
