/// @file A keep-alive connection to the platform's store or to another instance, which mirrors the
/// store or receives quarantine updates. Carries one call at a time, each with a timeout.
#pragma once

#include <engine/Asio.h>
#include <engine/Metrics.h>
#include <engine/OneShotTimer.h>
#include <functional>

namespace sapphirewind::engine {

/// The answer to a call, or why there is none. A write without an answer may have taken effect.
struct StoreAnswer
{
  /// Its status is one from 200 to 599; any other is a failure.
  std::optional<HttpResponse> response;
  const char* cause = "";
  /// Bytes received, also when the answer is incomplete.
  uint64_t received = 0;
  /// Time since the call was made, including the connect.
  base::Duration took{ 0 };
};

/// The content coding between instances.
constexpr const char* kGzip = "gzip";

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
    /// The remote end is an instance, not the store; selects the metrics.
    bool toInstance = false;
  };

  struct Call
  {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    /// Further headers.
    http::fields fields;
    /// Time from the connection to the complete answer, extended by the time that the bytes
    /// received so far take on a slow link.
    base::Duration timeout{ 0 };
    /// Counts the calls to the store of this kind.
    Counter kind = Counter::StoreWrite;
  };

  explicit StoreConnection(Options aOptions);

  /// Makes a call, connecting first if necessary. The callback runs exactly once, after this
  /// function returned, unless the connection is stopped. Precondition: no call is in progress.
  void Make(Call aCall, OnAnswer aOnAnswer);

  /// Closes the connection; the callback of a call in progress is dropped.
  void Stop();

private:
  using Parser = http::response_parser<http::string_body>;

  /// The state of one call, shared by the asynchronous operations that use it.
  struct Exchange
  {
    HttpRequest request;
    base::Duration timeout{ 0 };
    base::Instant sentAt{};
    Parser parser;
    boost::beast::flat_buffer buffer;
    uint64_t received = 0;
  };

  void ArmTimer(base::Duration aAfter, const char* aCause);
  void Send(const std::shared_ptr<Exchange>& aExchange, uint64_t aNumber);
  void Receive(const std::shared_ptr<Exchange>& aExchange, uint64_t aNumber);
  void AwaitMore(const Exchange& aExchange);
  void Fail(uint64_t aNumber, const char* aCause);
  void Finish(uint64_t aNumber, HttpResponse&& aResponse);
  void Disconnect();

  Options options;
  std::shared_ptr<Tcp::socket> socket;
  OneShotTimer timer;
  OnAnswer onAnswer;
  /// Of the current call, for its answer.
  base::Instant startedAt{};
  uint64_t received = 0;
  /// Sequence number of the current call, so that completions of earlier calls are ignored.
  uint64_t number = 0;
  bool connected = false;
};

} // namespace sapphirewind::engine
