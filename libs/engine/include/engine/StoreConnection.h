/// @file A kept connection to the platform's store, or to an instance that passes its answers on or
/// takes news, that carries one call at a time, each with a time limit.
#pragma once

#include <engine/Asio.h>
#include <engine/Metrics.h>
#include <functional>

namespace sapphirewind::engine {

/// A call's answer, or why there is none. A write without an answer may have been done.
struct StoreAnswer
{
  std::optional<HttpResponse> response;
  const char* cause = "";
};

class StoreConnection : public std::enable_shared_from_this<StoreConnection>
{
public:
  using OnAnswer = std::function<void(StoreAnswer&&)>;

  struct Options
  {
    Loop& loop;
    Tcp::endpoint endpoint;
    std::string host;
    Metrics& metrics;
    /// The other side is an instance, not the store itself.
    bool toInstance = false;
  };

  struct Call
  {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    base::Duration timeout{ 0 };
  };

  explicit StoreConnection(Options aOptions);

  /// Makes a call, connecting first if need be. The answer comes later, exactly once unless the
  /// connection is stopped. Precondition: no call is under way.
  void Make(Call aCall, OnAnswer aOnAnswer);

  /// Closes the connection; a call under way is not answered any more.
  void Stop();

private:
  using Parser = http::response_parser<http::string_body>;

  /// One call's state, kept alive by the operations that use it.
  struct Exchange
  {
    HttpRequest request;
    Parser parser;
    boost::beast::flat_buffer buffer;
  };

  void Send(const std::shared_ptr<Exchange>& aExchange, uint64_t aNumber);
  void Fail(uint64_t aNumber, const char* aCause);
  void Finish(uint64_t aNumber, HttpResponse&& aResponse);
  void Disconnect();

  Options options;
  std::shared_ptr<Tcp::socket> socket;
  Timer timer;
  OnAnswer onAnswer;
  /// Increases with each call, so that what belongs to an earlier one is known as such.
  uint64_t number = 0;
  bool connected = false;
};

} // namespace sapphirewind::engine
