#include <engine/Asio.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace sapphirewind::engine {

std::optional<Tcp::endpoint>
ParseEndpoint(const std::string& aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ErrorCode error;
  auto address = asio::ip::make_address(aText.substr(0, colon), error);
  uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, port);
}

std::string
FormatEndpoint(const Tcp::endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" + std::to_string(aEndpoint.port());
}

ErrorCode
Listen(Tcp::acceptor& aAcceptor, const Tcp::endpoint& aEndpoint)
{
  /// Accept queue length while the loop is busy; clients retry a refused connection
  /// only after seconds.
  constexpr int kBacklog = 512;
  ErrorCode error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(kBacklog, error);
  }
  return error;
}

bool
HasCertainLength(const http::fields& aFields, unsigned aVersion)
{
  auto codings = aFields.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return true;
  }
  constexpr unsigned kHttp11 = 11;
  return aVersion == kHttp11 && std::next(codings.first) == codings.second &&
         boost::beast::iequals(codings.first->value(), "chunked");
}

void
OmitForbiddenBody(HttpResponse& aResponse, http::verb aMethod)
{
  bool isForbidden = aMethod == http::verb::head ||
                     aResponse.result() == http::status::no_content ||
                     aResponse.result() == http::status::not_modified;
  if (isForbidden) {
    aResponse.body().clear();
  }
}

bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

bool
IsHopByHop(http::field aField)
{
  constexpr std::array kFields = {
    http::field::connection,         http::field::keep_alive, http::field::proxy_connection,
    http::field::proxy_authenticate, http::field::te,         http::field::trailer,
    http::field::transfer_encoding,  http::field::upgrade,    http::field::proxy_authorization
  };
  return std::find(kFields.begin(), kFields.end(), aField) != kFields.end();
}

void
RemoveHopByHop(http::fields& aFields)
{
  std::vector<std::string> named;
  auto connection = aFields.equal_range(http::field::connection);
  for (auto field = connection.first; field != connection.second; ++field) {
    for (const auto& token : http::token_list(field->value())) {
      named.emplace_back(token);
    }
  }
  for (const std::string& name : named) {
    aFields.erase(name);
  }
  for (auto field = aFields.begin(); field != aFields.end();) {
    auto current = field++;
    if (IsHopByHop(current->name())) {
      aFields.erase(current);
    }
  }
}

} // namespace sapphirewind::engine
