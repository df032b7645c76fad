#include <net/Message.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sapphirewind::net {

namespace {

const char*
DescribeErrc(Errc aError)
{
  switch (aError) {
    case Errc::ConnectFailed:
      return "could not connect";
    case Errc::ConnectionLost:
      return "the connection was lost before the response was complete";
    case Errc::TimedOut:
      return "the response was not complete within the timeout";
    case Errc::Aborted:
      return "the request was aborted";
    case Errc::Withheld:
      return "the request was withheld once the connection stood";
    case Errc::CannotListen:
      return "cannot listen on the address";
  }
  return "unknown network error";
}

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  auto same = [](unsigned char aA, unsigned char aB) {
    return std::tolower(aA) == std::tolower(aB);
  };
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), same);
}

std::string
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (EqualIgnoringCase(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

} // namespace

std::error_code
make_error_code(Errc aError)
{
  static const base::EnumCategory<Errc> kCategory("net", &DescribeErrc);
  return { static_cast<int>(aError), kCategory };
}

bool
FailedBeforeSending(const std::error_code& aCode)
{
  return aCode == Errc::ConnectFailed || aCode == Errc::Withheld;
}

bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  std::string_view digits = aText.substr(colon + 1);
  uint16_t port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) {
    return false;
  }
  aEndpoint = Endpoint{ .address = std::string(aText.substr(0, colon)), .port = port };
  return true;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

std::string
Request::HeaderValue(std::string_view aName) const
{
  return FindHeader(this->headers, aName);
}

std::string
Request::Parameter(std::string_view aName) const
{
  return FindHeader(this->parameters, aName);
}

std::string
Response::HeaderValue(std::string_view aName) const
{
  return FindHeader(this->headers, aName);
}

} // namespace sapphirewind::net
