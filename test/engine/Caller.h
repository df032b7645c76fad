/// @file A caller of the tier with one connection, for tests.
#pragma once

#include <engine/Asio.h>
#include <optional>
#include <string>

namespace sapphirewind::test {

/// What a caller's request carries.
struct TestRequest
{
  std::string target = "/q/1";
  std::string id = "id-1";
  std::string method = "GET";
  std::string body;
  int deadlineMs = 2000;
  std::string host = "search.example";
};

/// A caller with one connection.
class Caller
{
public:
  /// Far beyond what anything here takes, so that a busy machine does not fail a test.
  static constexpr std::chrono::seconds kTimeout{ 30 };

  explicit Caller(const std::string& aAddress, std::chrono::seconds aTimeout = kTimeout);

  /// Sends bytes as they are.
  void Send(const std::string& aBytes);
  /// Reads one answer; empty when the connection ends first or nothing comes for long.
  std::optional<engine::HttpResponse> Receive();
  std::optional<engine::HttpResponse> Exchange(const TestRequest& aRequest);
  /// Whether the other side ended the connection.
  bool IsEnded();
  void Close();

private:
  boost::asio::io_context loop;
  engine::Tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

std::string
SerializeRequest(const TestRequest& aRequest);

/// A header of an answer as text.
std::string
Header(const engine::HttpResponse& aResponse, const std::string& aName);

} // namespace sapphirewind::test
