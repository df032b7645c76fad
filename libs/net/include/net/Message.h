/// @file HTTP requests and responses as plain values, and the errors of a request.
#pragma once

#include <base/ErrorCategory.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace sapphirewind::net {

/// An IP address with a port, written "127.0.0.1:8080".
struct Endpoint
{
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "127.0.0.1:8080". False if the text is malformed, the address is empty or the port is 0.
bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint);

std::string
ToString(const Endpoint& aEndpoint);

struct Header
{
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

/// A request. On the client side the path includes the query string; on the server side the query
/// parameters are parsed into `parameters`.
struct Request
{
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<Header> headers;
  std::vector<Header> parameters;
  /// For clients: asked once the connection stands, before the body is sent. If it returns false,
  /// the body is withheld, so that the server cannot run the request. Only for requests with a
  /// body.
  std::function<bool()> mayStillSend;

  /// The value of the first header with that name, ignoring case; empty if absent.
  std::string HeaderValue(std::string_view aName) const;
  /// The value of a query parameter; empty if absent.
  std::string Parameter(std::string_view aName) const;
};

struct Response
{
  int status = 200;
  std::string body;
  std::vector<Header> headers;
  std::string contentType = "application/json";
  /// For fake servers: the server drops the connection instead of sending the response.
  bool dropConnection = false;

  std::string HeaderValue(std::string_view aName) const;
};

/// Why a request ended without a complete response, or a server could not start.
enum class Errc
{
  ConnectFailed = 1, ///< No connection could be opened; nothing was sent.
  ConnectionLost,    ///< The connection was lost after data may have been sent.
  TimedOut,          ///< No complete response within the timeout; the request may have run.
  Aborted,           ///< The client aborted the request.
  Withheld,          ///< mayStillSend returned false; the server cannot have run the request.
  CannotListen,      ///< The server could not bind its address.
};

std::error_code
make_error_code(Errc aError);

/// Whether the error proves that the server cannot have run the request.
bool
FailedBeforeSending(const std::error_code& aCode);

} // namespace sapphirewind::net

template<>
struct std::is_error_code_enum<sapphirewind::net::Errc> : std::true_type
{
};
