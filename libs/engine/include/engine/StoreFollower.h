/// @file Follows one kind of the store's objects: lists it, then watches for changes from there.
///
/// A watch that waits is told from a connection that fell silent by its own short wait: the store
/// answers in any case within it.
#pragma once

#include <base/Random.h>
#include <engine/Metrics.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
  struct Options
  {
    Loop& loop;
    const StoreCodec& codec;
    StoreKind kind = StoreKind::Configuration;
    Tcp::endpoint endpoint;
    std::string host;
    base::Random& random;
    Metrics& metrics;
    /// A whole list, with the store's revision that it reflects.
    std::function<void(const std::vector<StoredObject>&, uint64_t)> onList;
    /// Changes, in order.
    std::function<void(const std::vector<StoredObject>&)> onChanges;
    /// The store does not answer this instance any more, or answers again. The return is told
    /// before what it brings.
    std::function<void(const char* aCause)> onLost;
    std::function<void()> onReturned;
  };

  explicit StoreFollower(Options aOptions);

  void Start();
  void Stop();

private:
  using Parser = http::response_parser<http::string_body>;

  void Call();
  void ListFrom(const std::string& aAfter);
  void Send(const std::string& aTarget, base::Duration aTimeout);
  void SendOnConnection(const std::string& aTarget, uint64_t aCall);
  void OnAnswer(const HttpResponse& aResponse);
  void OnListPage(const HttpResponse& aResponse);
  void OnChanges(const HttpResponse& aResponse);
  void Fail(const char* aCause);
  void Succeed();
  void CallAfter(base::Duration aDelay);
  void Disconnect();

  Options options;
  Tcp::socket socket;
  Timer callTimer;
  Timer pauseTimer;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<http::request<http::empty_body>> request;
  std::optional<Parser> parser;
  /// Increases with each call, so that what belongs to an earlier one is known as such.
  uint64_t call = 0;
  bool connected = false;
  bool listing = true;
  bool lost = false;
  bool stopped = false;
  unsigned failuresInRow = 0;
  std::string listAfter;
  std::vector<StoredObject> listed;
  uint64_t listRevision = 0;
  uint64_t revision = 0;
};

} // namespace sapphirewind::engine
