#include <uri/RequestTarget.h>

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace sapphirewind::uri {

std::string
EncodeComponent(std::string_view aText)
{
  return boost::urls::encode({ aText.data(), aText.size() }, boost::urls::unreserved_chars);
}

std::string
EncodePath(std::string_view aText)
{
  constexpr auto kPathChars = boost::urls::unreserved_chars + '/';
  return boost::urls::encode({ aText.data(), aText.size() }, kPathChars);
}

std::optional<RequestTarget>
ParseTarget(std::string_view aText)
{
  auto parsed = boost::urls::parse_origin_form({ aText.data(), aText.size() });
  if (!parsed) {
    return std::nullopt;
  }
  RequestTarget target;
  for (const auto& segment : parsed->segments()) {
    target.path.emplace_back(segment);
  }
  for (const auto& parameter : parsed->params()) {
    target.parameters.emplace(parameter.key, parameter.value);
  }
  return target;
}

} // namespace sapphirewind::uri
