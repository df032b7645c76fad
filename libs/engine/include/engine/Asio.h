/// @file Short aliases for the event loop and HTTP message types of Boost.Asio and Boost.Beast.
#pragma once

// Boost.Asio 1.81 uses std::exchange without including it under C++20.
#include <utility>

#include <base/Time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

namespace sapphirewind::engine {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Loop = asio::io_context;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Timer = asio::steady_timer;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Parses an address such as "10.1.0.39:8226"; empty when it is malformed.
std::optional<Tcp::endpoint>
ParseEndpoint(const std::string& aText);

std::string
FormatEndpoint(const Tcp::endpoint& aEndpoint);

/// Binds an acceptor to an address and listens.
ErrorCode
Listen(Tcp::acceptor& aAcceptor, const Tcp::endpoint& aEndpoint);

/// Whether a header is hop-by-hop and must not be forwarded.
bool
IsHopByHop(http::field aField);

/// Removes hop-by-hop headers, including those listed in the Connection header.
void
RemoveHopByHop(http::fields& aFields);

/// Whether the length of a message's body is certain: no transfer coding, or chunked alone, once,
/// in HTTP/1.1. The parser takes a request with any other coding as one without a body, and what
/// follows as the next request.
bool
HasCertainLength(const http::fields& aFields, unsigned aVersion);

/// Takes the body off a response that must have none: the answer to HEAD, a 204 and a 304. Its
/// length stays, as that of the body which it stands for. The caller would take the body for the
/// next response.
void
OmitForbiddenBody(HttpResponse& aResponse, http::verb aMethod);

/// Whether a status is that of a whole answer, from 200 to 599. An interim answer (1xx) only
/// precedes one, and the parser accepts any three digits.
bool
IsFinalStatus(unsigned aStatus);

} // namespace sapphirewind::engine
